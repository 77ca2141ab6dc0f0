package scheduler

import (
	"fmt"
	"testing"

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
			s.runToCompletion(all, 20*time.Minute)
			s.checkCancelledDependents(all)
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
	s.failOver()
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
		hosts := s.sortedMachineIDs()
		for range len(hosts) / 40 {
			w := s.workers[hosts[s.rng.IntN(len(hosts))]]
			switch s.rng.IntN(4) {
			case 0:
				w.partitionedUntil = s.now.Add(time.Duration(5+s.rng.IntN(60)) * time.Second)
			case 1:
				w.commandsLostUntil = s.now.Add(time.Duration(5+s.rng.IntN(60)) * time.Second)
			case 2: // hangs, and goes on within its lease or after it
				w.hungUntil = s.now.Add(time.Duration(5+s.rng.IntN(60)) * time.Second)
			default:
				w.dead = w.incarnation > 0
			}
		}
		if round%4 == 3 {
			work += s.core.admission.MachinesExamined
			s.failOver()
		}
		s.run(4 * time.Second)
		most = max(most, len(s.workers))
		if len(s.violations) > 0 {
			t.Fatalf("rules broken: %v", s.violations)
		}
	}
	work += s.core.admission.MachinesExamined
	s.runToCompletion(all, 5*time.Minute)
	if most < 1700 {
		t.Fatalf("the day had only %d machines", most)
	}
	if per := float64(work) / float64(s.starts); per > 400 {
		t.Errorf("%.0f machines were looked at for each of %d tasks started", per, s.starts)
	}
}

// runToCompletion ends the faults and the services. Every array must then come to its
// end in time, with no rule broken.
func (s *sim) runToCompletion(all []ids.JobID, within time.Duration) {
	s.t.Helper()
	s.faults = false
	s.pausedUntil = min(s.pausedUntil, s.now)
	s.storeOutageUntil, s.leaderRefusedUntil, s.cloudOutageUntil, s.isolatedZoneUntil = min(s.storeOutageUntil, s.now), min(s.leaderRefusedUntil, s.now), min(s.cloudOutageUntil, s.now), 0
	for _, w := range s.workers {
		w.unhealthy = false
		w.partitionedUntil, w.commandsLostUntil, w.heartbeatsLostUntil, w.hungUntil = min(w.partitionedUntil, s.now), min(w.commandsLostUntil, s.now), min(w.heartbeatsLostUntil, s.now), min(w.hungUntil, s.now)
	}
	for _, id := range all {
		if s.specs[id].Service || s.failing[id] {
			s.cancel(id)
		}
	}
	const part = 10 * time.Second
	starvation := newStarvationCheck(s)
	for passed := time.Duration(0); passed < within; passed += part {
		s.run(part)
		starvation.check(all, part)
		if s.allTerminal(all) {
			break
		}
	}
	if len(s.violations) > 0 {
		s.t.Fatalf("rules broken: %v", s.violations)
	}
	if !s.allTerminal(all) {
		s.t.Fatalf("jobs never ended: %v\n%s", s.unfinished(all), s.core.Summary())
	}
}

// unfinished lists the jobs that are not terminal, with their specifications.
func (s *sim) unfinished(all []ids.JobID) []string {
	var out []string
	for _, id := range all {
		var rec records.Job
		s.must(wire.Decode(s.store[records.JobKey(id)].value, &rec))
		if !rec.Terminal() {
			out = append(out, fmt.Sprintf("%s %+v", id, *s.specs[id]))
		}
	}
	return out
}

func (s *sim) allTerminal(all []ids.JobID) bool { return len(s.unfinished(all)) == 0 }
