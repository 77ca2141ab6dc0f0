package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// scenario is a simulation in which chosen faults overlap.
type scenario struct {
	*sim
	jobs []ids.JobID // jobs submitted so far
}

func newScenario(t *testing.T, seed uint64) *scenario {
	s := &scenario{sim: newSim(t, seed)}
	s.capacity = 3
	return s
}

// submitJobs submits random jobs. modify, if not nil, changes each specification.
func (s *scenario) submitJobs(count int, modify func(*wire.JobSpec)) {
	for range count {
		spec := s.randomSpec()
		if modify != nil {
			modify(spec)
		}
		id := ids.JobID(fmt.Sprintf("job-%03d", len(s.jobs)))
		s.submit(id, spec)
		s.jobs = append(s.jobs, id)
	}
}

// asService turns a specification into that of a service that may run in any zone.
func asService(spec *wire.JobSpec) {
	spec.Service, spec.Gang, spec.OneZone, spec.Zone, spec.EstimateS = true, false, false, "", 0
}

// asArray turns a specification into that of an array without placement constraints.
func asArray(spec *wire.JobSpec) {
	*spec = wire.JobSpec{Class: "c", Team: spec.Team, Priority: spec.Priority, Tasks: spec.Tasks, CPUs: spec.CPUs, MemoryGB: 2, Image: "i", ImageGB: 1,
		Spot: spec.Spot, EstimateS: 10}
}

// fromNow returns the time after a duration.
func (s *scenario) fromNow(d time.Duration) monotonic.Instant { return s.now.Add(d) }

// eachNthWorker calls f for every nth worker.
func (s *scenario) eachNthWorker(nth int, f func(w *simWorker)) {
	for i, machine := range s.sortedMachineIDs() {
		if i%nth == 0 {
			f(s.workers[machine])
		}
	}
}

// cancelEachNth has users cancel every nth job.
func (s *scenario) cancelEachNth(nth int) {
	for i, id := range s.jobs {
		if i%nth == 0 && !s.cancelled[id] {
			s.cancel(id)
		}
	}
}

const second = time.Second

// scenarios holds the overlaps of faults on the operators' list that affect which tasks run on which
// machines. Overlaps that affect only responses are tested in packages controller and records. The table
// is in docs/design.md.
var scenarios = []struct {
	name     string
	simulate func(s *scenario)
}{
	{"old heartbeats after newer ones, also of earlier incarnations and attempts", func(s *scenario) {
		s.duplicateChance = 0.6
		s.submitJobs(12, nil)
		for range 8 {
			s.eachNthWorker(3, func(w *simWorker) { w.partitionedUntil = s.fromNow(10 * second) })
			s.run(12 * second)
			s.eachNthWorker(4, func(w *simWorker) { w.commandsLostUntil = s.fromNow(32 * second) }) // its incarnation ends
			s.run(20 * second)
		}
	}},
	{"jobs constrained to one zone lose machines", func(s *scenario) {
		for range 5 {
			s.submitJobs(4, func(spec *wire.JobSpec) { asArray(spec); spec.OneZone = true })
			s.submitJobs(2, func(spec *wire.JobSpec) { asArray(spec); spec.Zone = "b" })
			s.submitJobs(2, func(spec *wire.JobSpec) { asService(spec); spec.Tasks, spec.OneZone = 3, true })
			s.run(15 * second)
			s.eachNthWorker(3, func(w *simWorker) { w.dead = w.incarnation > 0 })
			s.eachNthWorker(4, func(w *simWorker) { w.partitionedUntil = s.fromNow(40 * second) })
			s.run(15 * second)
			s.failOver()
		}
	}},
	{"a failover while services are unreachable or get no commands of the new leader", func(s *scenario) {
		s.submitJobs(10, func(spec *wire.JobSpec) { asService(spec); spec.Tasks = 2 })
		for range 4 {
			s.run(25 * second)
			s.eachNthWorker(2, func(w *simWorker) { w.partitionedUntil = s.fromNow(35 * second) })
			s.eachNthWorker(3, func(w *simWorker) { w.commandsLostUntil = s.fromNow(50 * second) })
			s.failOver()
			s.cancelEachNth(4)
			s.run(40 * second)
		}
	}},
	{"ten failovers in two minutes, also during a store outage", func(s *scenario) {
		s.submitJobs(14, nil)
		s.run(30 * second)
		for i := range 10 {
			if i == 3 {
				s.storeOutageUntil = s.fromNow(40 * second)
			}
			s.cancelEachNth(7)
			s.failOver()
			s.run(12 * second)
		}
	}},
	{"more jobs than capacity, of all priorities, over slow links", func(s *scenario) {
		s.slowLinkLatency = 900 * time.Millisecond
		for range 6 {
			s.submitJobs(10, nil)
			s.run(20 * second)
			s.cancelEachNth(9)
		}
	}},
	{"a zone with workers and a controller is partitioned for longer than an agent lease", func(s *scenario) {
		s.submitJobs(14, func(spec *wire.JobSpec) {
			if spec.Tasks%2 == 0 {
				asService(spec)
				spec.Spread = false
			}
		})
		s.run(40 * second)
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil = "a", s.fromNow(60*second)
		s.cancelEachNth(2)
		s.submitJobs(6, nil)
		s.run(90 * second)
	}},
	{"the same during a cloud outage, so that only the previous leader's grace period limits it", func(s *scenario) {
		s.submitJobs(14, func(spec *wire.JobSpec) { asService(spec); spec.Spread, spec.Zone, spec.OneZone = false, "a", true })
		s.run(40 * second)
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil, s.cloudOutageUntil = "a", s.fromNow(100*second), s.fromNow(100*second)
		s.cancelEachNth(1)
		s.run(120 * second)
	}},
	{"failovers in a cloud outage, in which the new leaders do not know the catalog", func(s *scenario) {
		s.submitJobs(8, nil)
		s.submitJobs(4, asService)
		s.run(40 * second)
		s.cloudOutageUntil, s.catalogUnknownUntil = s.fromNow(100*second), s.fromNow(100*second)
		for range 4 {
			s.failOver()
			s.submitJobs(2, nil)
			s.run(10 * second)
			s.cancelEachNth(5)
			s.eachNthWorker(4, func(w *simWorker) { w.partitionedUntil = s.fromNow(20 * second) })
			s.run(15 * second)
		}
		s.run(30 * second)
	}},
	{"long-running arrays in a zone that is partitioned together with its leader", func(s *scenario) {
		s.runTimeFactor = 8
		s.submitJobs(10, func(spec *wire.JobSpec) { asArray(spec); spec.Zone = "a" })
		s.submitJobs(6, asArray)
		s.submitJobs(3, func(spec *wire.JobSpec) { asService(spec); spec.Spread = false })
		s.run(30 * second)
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil = "a", s.fromNow(100*second)
		s.cancelEachNth(3)
		s.run(130 * second)
	}},
	{"jobs are cancelled immediately before and after a failover", func(s *scenario) {
		for range 5 {
			s.submitJobs(5, nil)
			s.run(20 * second)
			s.cancelEachNth(4)
			s.run(300 * time.Millisecond)
			s.failOver()
			s.run(300 * time.Millisecond)
			s.cancelEachNth(3)
			s.run(15 * second)
		}
	}},
	{"heartbeats are delayed until a new leader begins or has made decisions", func(s *scenario) {
		s.duplicateChance = 0.8
		s.submitJobs(14, nil)
		for range 6 {
			s.run(20 * second)
			s.eachNthWorker(3, func(w *simWorker) { w.partitionedUntil = s.fromNow(15 * second) })
			s.cancelEachNth(8)
			s.failOver()
			s.run(8 * second)
		}
	}},
	{"jobs are cancelled through the new leader while the previous one acts without store and peers", func(s *scenario) {
		s.submitJobs(12, func(spec *wire.JobSpec) { asService(spec); spec.Tasks = 2 })
		s.run(40 * second)
		s.failOverWithPreviousLeaderActive()
		s.run(500 * time.Millisecond)
		s.cancelEachNth(2)
		s.run(60 * second)
	}},
	{"jobs are cancelled at about the time at which their last task ends", func(s *scenario) {
		s.cancelAtEndChance = 0.7
		for range 6 {
			s.submitJobs(6, func(spec *wire.JobSpec) { asArray(spec); spec.Tasks = 1 + spec.Tasks%3 })
			s.run(20 * second)
		}
		s.failOver()
		s.run(20 * second)
	}},
	{"new machines boot quickly and get tasks while writes are delayed, then a failover", func(s *scenario) {
		s.quickBootChance = 1
		for range 5 {
			s.submitJobs(6, asArray)
			s.run(time.Duration(500+s.rng.IntN(2500)) * time.Millisecond)
			s.leaderRefusedUntil = s.fromNow(2 * second) // record changes are delayed
			s.run(time.Duration(200+s.rng.IntN(1500)) * time.Millisecond)
			s.failOver()
			s.run(25 * second)
		}
	}},
	{"all teams are at their limits while machines of cancelled jobs are partitioned or hang, then a failover", func(s *scenario) {
		s.capacity = 6
		for range 4 {
			s.submitJobs(14, func(spec *wire.JobSpec) { asArray(spec); spec.Tasks = 6 })
			s.run(30 * second)
			s.cancelRunning(s.jobs, 6, s.fromNow(45*second))
			s.eachNthWorker(3, func(w *simWorker) { w.partitionedUntil = s.fromNow(40 * second) })
			s.run(time.Second)
			s.failOver()
			s.run(20 * second)
		}
	}},
	{"workers reach no controller, but commands reach the workers", func(s *scenario) {
		for range 4 {
			s.submitJobs(5, nil)
			s.run(15 * second)
			s.eachNthWorker(2, func(w *simWorker) { w.heartbeatsLostUntil = s.fromNow(40 * second) })
			s.cancelEachNth(3)
			s.run(10 * second)
			s.failOver()
			s.run(30 * second)
		}
	}},
	{"four single-task jobs per second, a quarter of them cancelled", func(s *scenario) {
		s.capacity = 6
		for i := range 240 {
			s.submitJobs(1, func(spec *wire.JobSpec) { asArray(spec); spec.Tasks, spec.CPUs = 1, 1 })
			if i%4 == 3 {
				s.cancel(s.jobs[s.rng.IntN(len(s.jobs))])
			}
			if i == 100 || i == 180 {
				s.failOver()
			}
			s.run(250 * time.Millisecond)
		}
	}},
	{"the store refuses the leader alone, jobs are cancelled, then a store outage", func(s *scenario) {
		s.submitJobs(14, func(spec *wire.JobSpec) { asService(spec); spec.Tasks = 2 })
		s.run(40 * second)
		s.leaderRefusedUntil = s.fromNow(14 * second)
		s.run(1200 * time.Millisecond)
		s.cancelEachNth(2)
		s.run(time.Duration(300+s.rng.IntN(1500)) * time.Millisecond)
		s.storeOutageUntil = s.fromNow(64 * second)
		s.cancelEachNth(1)
		s.run(90 * second)
	}},
	{"jobs are cancelled through a controller that follows the previous leader, then a store outage", func(s *scenario) {
		s.submitJobs(14, func(spec *wire.JobSpec) { asService(spec); spec.Tasks = 2 })
		s.run(40 * second)
		s.failOverWithPreviousLeaderActive()
		s.cancelEachNth(2)
		s.storeOutageUntil = s.fromNow(64 * second) // before the new leader's watch delivers the cancellations
		s.run(90 * second)
	}},
	{"tasks of small jobs end at different times, before and after a failover", func(s *scenario) {
		for range 8 {
			s.submitJobs(4, func(spec *wire.JobSpec) { asArray(spec); spec.Tasks = 2 + spec.Tasks%2 })
			s.run(time.Duration(4+s.rng.IntN(14)) * second)
			s.failOver()
		}
		s.run(20 * second)
	}},
	{"two failovers in a row, then an outage of all controllers, then one returns immediately", func(s *scenario) {
		s.submitJobs(14, nil)
		for range 6 {
			s.run(15 * second)
			s.failOver()
			s.run(300 * time.Millisecond)
			s.failOver()
			s.controllersDownUntil, s.previousCore = s.fromNow(time.Duration(100+s.rng.IntN(900))*time.Millisecond), nil
			s.run(s.controllersDownUntil.Sub(s.now))
			s.failOver()
			s.cancelEachNth(6)
		}
	}},
	{"transactions without a response are executed late", func(s *scenario) {
		for range 6 {
			s.submitJobs(6, nil)
			s.leaderRefusedUntil = s.fromNow(2500 * time.Millisecond) // all transactions sent during it arrive together after it
			s.run(3 * second)
			s.cancelEachNth(5)
			s.run(15 * second)
		}
	}},
	{"an outage of all controllers for longer than an agent lease", func(s *scenario) {
		s.submitJobs(14, nil)
		for range 3 {
			s.run(30 * second)
			s.cancelEachNth(5)
			s.run(time.Second)
			s.controllersDownUntil, s.previousCore = s.fromNow(40*second), nil
			s.run(40 * second)
			s.failOver()
		}
	}},
	{"an array of more tasks than the heartbeats of its machines have space for", func(s *scenario) {
		s.opt.SliceTasks, s.opt.MaxTxnOps, s.opt.WriteRate = 64, 32, 100
		s.capacity = 1
		s.failOver()
		s.submitJobs(1, func(spec *wire.JobSpec) {
			asArray(spec)
			spec.Tasks, spec.CPUs, spec.MemoryGB, spec.Types, spec.Zone, spec.Spot = 1200, 0.01, 0.01, []ids.MachineType{"big"}, "c", false
		})
		s.submitJobs(4, nil)
		s.run(40 * second)
		s.cancel(s.jobs[len(s.jobs)-1])
		s.failOver()
		s.run(30 * second)
	}},
	{"commands or their responses are delayed until a machine no longer hangs", func(s *scenario) {
		for range 6 {
			s.submitJobs(5, nil)
			s.run(time.Duration(500+s.rng.IntN(4000)) * time.Millisecond)
			s.eachNthWorker(2, func(w *simWorker) { w.hungUntil = s.fromNow(time.Duration(2+s.rng.IntN(22)) * second) })
			s.cancelEachNth(5)
			s.run(15 * second)
		}
	}},
}

// TestOverlappingFaults runs each scenario with several seeds, and then continues without faults. No
// rule may be violated, cancelled jobs must end by their deadline, and all others must complete.
func TestOverlappingFaults(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := newScenario(t, 1000+seed)
				c.simulate(s)
				if len(s.violations) > 0 {
					t.Fatalf("seed %d: rules violated: %v", seed, s.violations)
				}
				s.runToCompletion(s.jobs, 20*time.Minute)
				s.checkCancelledDependents(s.jobs)
				if s.starts == 0 {
					t.Fatalf("seed %d: nothing ran", seed)
				}
			}
		})
	}
}

// An unreachable machine with a task of a cancelled job must be terminated before the cancel deadline,
// also while the store does not respond. The fault: another placement on the machine, whose record is
// not committed yet, delays the termination until the end of a store outage.
func TestTerminationDoesNotWaitForARecord(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		t.Run(fmt.Sprintf("terminations recorded: %v", recorded), func(t *testing.T) { checkTerminationWithoutRecord(t, recorded) })
	}
}

func checkTerminationWithoutRecord(t *testing.T, recordTerminations bool) {
	h := newHarness(t, Options{RecordOptions: RecordOptions{RecordTerminations: recordTerminations}})
	spec := wire.JobSpec{Class: "c", Team: "red", Service: true, Tasks: 1, CPUs: 2, Image: "i"}
	h.submit("job-1", spec)
	h.heartbeat("n-1", "a", 0)
	h.step()
	if len(commandsWith(h.heartbeat("n-1", "a", 0).Commands, wire.VerbRun)) != 1 {
		t.Fatal("job-1 was not started")
	}
	h.submit("job-2", spec)
	h.now = h.now.Add(time.Second)
	placed := h.c.Step(h.now).RecordChanges
	if len(placed) != 1 {
		t.Fatal("job-2 was not placed on the machine of job-1")
	}
	h.c.ObserveJob(h.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: &spec}, 900)
	h.c.ObserveLease(h.now)
	cancelledAt := h.now
	for terminated := false; !terminated; {
		h.now = h.now.Add(200 * time.Millisecond)
		if h.now > cancelledAt.Add(simCancelDeadline*3/4) {
			t.Fatal("the machine was not terminated in time")
		}
		if decisions := h.c.Step(h.now); len(decisions.TerminateCancelled) > 0 {
			h.c.MachinesTerminated(h.now, decisions.TerminateCancelled)
			terminated = true
		}
	}
	if j := h.c.cluster.Job("job-1"); j != nil && len(j.Active()) > 0 {
		t.Error("tasks of the terminated machine still count")
	}
	// The record is committed after the termination. Its task was never sent, so it is pending again.
	h.c.CommitResult(h.now, records.CommitResult{Change: placed[0], Revision: 901})
	for range 10 {
		h.now = h.now.Add(200 * time.Millisecond)
		if decisions := h.step(); len(decisions.Terminate)+len(decisions.TerminateCancelled) > 0 {
			t.Errorf("machines were terminated again: %v, %v", decisions.Terminate, decisions.TerminateCancelled)
		}
	}
	if j := h.c.cluster.Job("job-2"); len(j.Pending()) != 1 || h.c.cluster.Machine("n-1") != nil {
		t.Errorf("pending: %v, machine known: %v", j.Pending(), h.c.cluster.Machine("n-1") != nil)
	}
}
