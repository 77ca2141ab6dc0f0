package scheduler

import (
	"fmt"
	"testing"

	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// TestRulesUnderFaults plays random days on which all faults may overlap, and checks the
// users' rules on the machines. When the faults end, every array must complete, and no job
// may starve.
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

// TestDayAtScale injects many faults on over a thousand machines: failovers, partitions,
// lost commands, hangs, late duplicates. The rules hold, the work is done, and what admission
// examines stays in proportion to it.
func TestDayAtScale(t *testing.T) {
	s := newLargeDay(t)
	var all []ids.JobID
	mostMachines, examined := 0, uint64(0)
	for round := range 8 {
		for range 36 {
			id := ids.JobID(fmt.Sprintf("job-%03d", len(all)))
			all = append(all, id)
			s.submit(id, s.largeDaySpec())
		}
		s.injectLargeDayFaults()
		if round%4 == 3 {
			examined += s.core.candidates.examined
			s.failOver()
		}
		s.run(4 * time.Second)
		mostMachines = max(mostMachines, len(s.workers))
		s.requireNoViolations()
	}
	examined += s.core.candidates.examined
	s.runToCompletion(all, 5*time.Minute)
	if mostMachines < 1700 {
		t.Fatalf("the day had only %d machines", mostMachines)
	}
	if perStart := float64(examined) / float64(s.starts); perStart > 400 {
		t.Errorf("%.0f machines were examined for each of %d tasks started", perStart, s.starts)
	}
}

// newLargeDay is a day with hundreds of machines of each site.
func newLargeDay(t *testing.T) *sim {
	s := newSim(t, 11)
	s.capacity = 220
	s.opt.Teams = []quota.Team{simTeam("red", 3000, 7000), simTeam("blue", 2500, 8000), simTeam("gold", 1000, 6000)}
	s.opt.MaxMachines, s.opt.SliceTasks, s.opt.MaxTxnOps, s.opt.WriteRate, s.opt.MaxWorkerCalls = 0, 64, 32, 56, 64
	s.failOver()
	return s
}

// largeDaySpec is a random job, large if it is an array of any zone.
func (s *sim) largeDaySpec() *wire.JobSpec {
	spec := s.randomSpec()
	if !spec.Service && !spec.Gang && !spec.OneZone {
		spec.Tasks, spec.CPUs = 80+s.rng.IntN(160), 4
	}
	return spec
}

// injectLargeDayFaults injects a fault into one of forty machines.
func (s *sim) injectLargeDayFaults() {
	until := func() monotonic.Instant { return s.now.Add(time.Duration(5+s.rng.IntN(60)) * time.Second) }
	machines := s.sortedMachineIDs()
	for range len(machines) / 40 {
		w := s.workers[machines[s.rng.IntN(len(machines))]]
		switch s.rng.IntN(4) {
		case 0:
			w.partitionedUntil = until()
		case 1:
			w.commandsLostUntil = until()
		case 2: // it goes on within its lease or after it
			w.hungUntil = until()
		default:
			w.dead = w.incarnation > 0
		}
	}
}

// runToCompletion ends the faults, the services and the jobs that fail for ever. Every array
// must then complete in time, with no rule broken.
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
	s.requireNoViolations()
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
