package scheduler

import (
	"fmt"
	"testing"

	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// TestRulesUnderFaults plays random days on which all troubles may meet, and checks
// the users' rules on the machines. When the faults end, every array must come to its
// end, and no job may be left waiting beside room.
func TestRulesUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed)
			all := s.playRandomDay(40)
			s.toTheEnd(all, 20*time.Minute)
			s.checkOrphans(all)
			if s.starts == 0 {
				t.Fatal("nothing ran")
			}
		})
	}
}

// TestDayAtScale plays an hour's worth of trouble on over a thousand machines:
// takeovers, cuts, machines that hear nothing, late copies. The rules hold, the
// work is done, and what the passes look at stays in proportion to it.
func TestDayAtScale(t *testing.T) {
	s := newSim(t, 11)
	s.capacity = 220
	team := func(name ids.Team, nominal, limit float64) quota.Team {
		return quota.Team{Name: name, Nominal: quota.Amount{CPUs: nominal}, Limit: quota.Amount{CPUs: limit}, LendingLimit: quota.Amount{CPUs: nominal}}
	}
	s.opt.Teams = []quota.Team{team("red", 3000, 7000), team("blue", 2500, 8000), team("gold", 1000, 6000)}
	s.opt.MaxMachines, s.opt.SliceTasks, s.opt.TxnOps, s.opt.WriteRate, s.opt.MaxWorkerCalls = 0, 64, 32, 56, 64
	s.takeOver()
	var all []ids.JobID
	most, work := 0, uint64(0)
	for round := range 8 {
		for range 36 {
			id := ids.JobID(fmt.Sprintf("job-%03d", len(all)))
			all = append(all, id)
			sp := s.randomSpec()
			if !sp.Service && !sp.Gang && !sp.OneZone {
				sp.Tasks, sp.CPUs = 80+s.rng.IntN(160), 4
			}
			s.submit(id, sp)
		}
		hosts := s.sortedHosts()
		for range len(hosts) / 40 {
			w := s.workers[hosts[s.rng.IntN(len(hosts))]]
			switch s.rng.IntN(4) {
			case 0:
				w.cut = s.now.Add(time.Duration(5+s.rng.IntN(60)) * time.Second)
			case 1:
				w.unreachable = s.now.Add(time.Duration(5+s.rng.IntN(60)) * time.Second)
			case 2: // hangs, and goes on within its lease or after it
				w.hung = s.now.Add(time.Duration(5+s.rng.IntN(60)) * time.Second)
			default:
				w.dead = w.session > 0
			}
		}
		if round%4 == 3 {
			work += s.core.candidates.examined
			s.takeOver()
		}
		s.run(4 * time.Second)
		most = max(most, len(s.workers))
		if len(s.violations) > 0 {
			t.Fatalf("rules broken: %v", s.violations)
		}
	}
	work += s.core.candidates.examined
	s.toTheEnd(all, 5*time.Minute)
	if most < 1700 {
		t.Fatalf("the day had only %d machines", most)
	}
	if per := float64(work) / float64(s.starts); per > 400 {
		t.Errorf("%.0f machines were looked at for each of %d tasks started", per, s.starts)
	}
}

// toTheEnd ends the faults and the services. Every array must then come to its
// end in time, with no rule broken.
func (s *sim) toTheEnd(all []ids.JobID, within time.Duration) {
	s.t.Helper()
	s.faults = false
	s.pausedUntil = min(s.pausedUntil, s.now)
	s.outage, s.refusal, s.cloudAway, s.islandUntil = min(s.outage, s.now), min(s.refusal, s.now), min(s.cloudAway, s.now), 0
	for _, w := range s.workers {
		w.unhealthy = false
		w.cut, w.unreachable, w.cannotReport, w.hung = min(w.cut, s.now), min(w.unreachable, s.now), min(w.cannotReport, s.now), min(w.hung, s.now)
	}
	for _, id := range all {
		if s.specs[id].Service || s.failing[id] {
			s.cancel(id)
		}
	}
	const part = 10 * time.Second
	beside := map[ids.JobID]time.Duration{}
	for passed := time.Duration(0); passed < within; passed += part {
		s.run(part)
		s.checkWaiting(all, beside, part)
		if s.allOver(all) {
			break
		}
	}
	if len(s.violations) > 0 {
		s.t.Fatalf("rules broken: %v", s.violations)
	}
	if !s.allOver(all) {
		s.t.Fatalf("jobs never ended: %v\n%s", s.unfinished(all), s.core.Summary())
	}
}

// checkWaiting sees that no job is left waiting for 90 s while a machine that fits has
// room and its team is under its limit, by what is on the machines.
func (s *sim) checkWaiting(all []ids.JobID, beside map[ids.JobID]time.Duration, passed time.Duration) {
	used := map[ids.Team]float64{}
	free := map[*simWorker]float64{}
	for _, w := range s.workers {
		if w.session == 0 || s.expired(w) {
			continue
		}
		free[w] = s.typeOf(w).CPUs
		for _, t := range w.tasks {
			if t.state != wire.TaskEnded {
				free[w] -= s.specs[t.ref.Job].CPUs
				used[s.specs[t.ref.Job].Team] += s.specs[t.ref.Job].CPUs
			}
		}
	}
	for _, id := range all {
		sp := s.specs[id]
		need := sp.CPUs
		if sp.Service || sp.Gang {
			need *= float64(sp.Tasks)
		}
		room := false
		for w, f := range free {
			room = room || f >= sp.CPUs && (sp.Spot || !w.spot) && (sp.Zone == "" || sp.Zone == w.zone) &&
				(len(sp.Types) == 0 || slices.Contains(sp.Types, w.typ))
		}
		begun := slices.ContainsFunc(s.sent[id], func(p simPlace) bool { return s.here(p.w, p.t) && p.t.state != wire.TaskEnded })
		ready := !slices.ContainsFunc(sp.DependsOn, func(n ids.JobID) bool { return s.status(n) != wire.JobDone })
		i := slices.IndexFunc(s.opt.Teams, func(t quota.Team) bool { return t.Name == sp.Team })
		if begun || !room || !ready || s.status(id) != wire.JobQueued || used[sp.Team]+need > s.opt.Teams[i].Limit.CPUs ||
			(sp.Gang || sp.Service) && sp.Tasks > 1 {
			delete(beside, id)
			continue
		}
		if beside[id] += passed; beside[id] >= 90*time.Second {
			s.violation("%s waits beside room: %+v", id, *sp)
			delete(beside, id)
		}
	}
}

func (s *sim) unfinished(all []ids.JobID) []string {
	var out []string
	for _, id := range all {
		var rec records.Job
		s.must(wire.Decode(s.store[records.JobKey(id)].raw, &rec))
		if !rec.Terminal() {
			out = append(out, fmt.Sprintf("%s %+v", id, *s.specs[id]))
		}
	}
	return out
}

func (s *sim) allOver(all []ids.JobID) bool { return len(s.unfinished(all)) == 0 }
