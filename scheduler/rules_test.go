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

// TestRulesUnderFaults runs random simulations in which all faults may overlap, and checks on the
// machines the rules that users rely on. After the faults, every array must complete and no job may
// starve.
func TestRulesUnderFaults(t *testing.T) {
	for seed := range seedCount(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed)
			jobs := s.simulateRandomFaults(40)
			s.runToCompletion(jobs, 20*time.Minute)
			s.checkCancelledDependents(jobs)
			if s.starts == 0 {
				t.Fatal("nothing ran")
			}
		})
	}
}

// TestRulesAtScale injects many faults into a fleet of over a thousand machines: failovers, partitions,
// lost commands, hangs and late duplicates. The rules must hold, all jobs must complete, and the number
// of machines that admission examines must be proportional to the number of tasks.
func TestRulesAtScale(t *testing.T) {
	s := newLargeSim(t)
	var jobs []ids.JobID
	maxMachines, examined := 0, uint64(0)
	for round := range 8 {
		for range 36 {
			id := ids.JobID(fmt.Sprintf("job-%03d", len(jobs)))
			jobs = append(jobs, id)
			s.submit(id, s.randomLargeSpec())
		}
		s.injectMachineFaults()
		if round%4 == 3 {
			examined += s.core.candidates.examined
			s.failOver()
		}
		s.run(4 * time.Second)
		maxMachines = max(maxMachines, len(s.workers))
		s.requireNoViolations()
	}
	examined += s.core.candidates.examined
	s.runToCompletion(jobs, 5*time.Minute)
	if maxMachines < 1700 {
		t.Fatalf("the simulation had only %d machines", maxMachines)
	}
	if perStart := float64(examined) / float64(s.starts); perStart > 400 {
		t.Errorf("%.0f machines were examined for each of %d started tasks", perStart, s.starts)
	}
}

// newLargeSim returns a simulation with hundreds of machines at each site.
func newLargeSim(t *testing.T) *sim {
	s := newSim(t, 11)
	s.capacity = 220
	s.opt.Teams = []quota.Team{simTeam("red", 3000, 7000), simTeam("blue", 2500, 8000), simTeam("gold", 1000, 6000)}
	s.opt.MaxMachines, s.opt.SliceTasks, s.opt.MaxTxnOps, s.opt.WriteRate, s.opt.MaxWorkerCalls = 0, 64, 32, 56, 64
	s.failOver()
	return s
}

// randomLargeSpec returns the specification of a random job. An array without the one-zone
// constraint has many tasks.
func (s *sim) randomLargeSpec() *wire.JobSpec {
	spec := s.randomSpec()
	if !spec.Service && !spec.Gang && !spec.OneZone {
		spec.Tasks, spec.CPUs = 80+s.rng.IntN(160), 4
	}
	return spec
}

// injectMachineFaults injects a fault into one in forty machines.
func (s *sim) injectMachineFaults() {
	until := func() monotonic.Instant { return s.now.Add(time.Duration(5+s.rng.IntN(60)) * time.Second) }
	machines := s.sortedMachineIDs()
	for range len(machines) / 40 {
		w := s.workers[machines[s.rng.IntN(len(machines))]]
		switch s.rng.IntN(4) {
		case 0:
			w.partitionedUntil = until()
		case 1:
			w.commandsLostUntil = until()
		case 2: // the hang ends before or after lease expiry
			w.hungUntil = until()
		default:
			w.dead = w.incarnation > 0
		}
	}
}

// runToCompletion ends all faults and cancels the services and the jobs that fail indefinitely. Every
// array must then complete within the timeout, and no rule may be violated.
func (s *sim) runToCompletion(jobs []ids.JobID, timeout time.Duration) {
	s.t.Helper()
	s.faults = false
	s.pausedUntil = min(s.pausedUntil, s.now)
	s.storeOutageUntil, s.leaderRefusedUntil, s.cloudOutageUntil, s.isolatedZoneUntil = min(s.storeOutageUntil, s.now), min(s.leaderRefusedUntil, s.now), min(s.cloudOutageUntil, s.now), 0
	for _, w := range s.workers {
		w.unhealthy = false
		w.partitionedUntil, w.commandsLostUntil, w.heartbeatsLostUntil, w.hungUntil = min(w.partitionedUntil, s.now), min(w.commandsLostUntil, s.now), min(w.heartbeatsLostUntil, s.now), min(w.hungUntil, s.now)
	}
	for _, id := range jobs {
		if s.specs[id].Service || s.failing[id] {
			s.cancel(id)
		}
	}
	const interval = 10 * time.Second
	starvation := newStarvationCheck(s)
	for elapsed := time.Duration(0); elapsed < timeout; elapsed += interval {
		s.run(interval)
		starvation.check(jobs, interval)
		if s.allTerminal(jobs) {
			break
		}
	}
	s.requireNoViolations()
	if !s.allTerminal(jobs) {
		s.t.Fatalf("jobs did not end: %v\n%s", s.unfinished(jobs), s.core.Summary())
	}
}

// unfinished returns the jobs that are not terminal, with their specifications.
func (s *sim) unfinished(jobs []ids.JobID) []string {
	var out []string
	for _, id := range jobs {
		var rec records.Job
		s.must(wire.Decode(s.store[records.JobKey(id)].value, &rec))
		if !rec.Terminal() {
			out = append(out, fmt.Sprintf("%s %+v", id, *s.specs[id]))
		}
	}
	return out
}

// allTerminal reports whether all jobs are terminal.
func (s *sim) allTerminal(jobs []ids.JobID) bool { return len(s.unfinished(jobs)) == 0 }
