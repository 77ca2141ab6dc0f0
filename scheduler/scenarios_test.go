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

// scenario is a day on which chosen faults are made to overlap.
type scenario struct {
	*sim
	all []ids.JobID
}

func newScenario(t *testing.T, seed uint64) *scenario {
	s := &scenario{sim: newSim(t, seed)}
	s.capacity = 3
	return s
}

// jobs submits some jobs, changed by shape.
func (s *scenario) jobs(count int, shape func(*wire.JobSpec)) {
	for range count {
		sp := s.randomSpec()
		if shape != nil {
			shape(sp)
		}
		id := ids.JobID(fmt.Sprintf("job-%03d", len(s.all)))
		s.submit(id, sp)
		s.all = append(s.all, id)
	}
}

func long(sp *wire.JobSpec) {
	sp.Service, sp.Gang, sp.OneZone, sp.Zone, sp.EstimateS = true, false, false, "", 0
}

func array(sp *wire.JobSpec) {
	*sp = wire.JobSpec{Class: "c", Team: sp.Team, Priority: sp.Priority, Tasks: sp.Tasks, CPUs: sp.CPUs, MemoryGB: 2, Image: "i", ImageGB: 1,
		Spot: sp.Spot, EstimateS: 10}
}

// in is the time after a while.
func (s *scenario) in(d time.Duration) monotonic.Instant { return s.now.Add(d) }

// eachNthWorker does something to every nth machine.
func (s *scenario) eachNthWorker(nth int, f func(w *simWorker)) {
	for i, h := range s.sortedMachineIDs() {
		if i%nth == 0 {
			f(s.workers[h])
		}
	}
}

// cancelEvery has users cancel every nth job.
func (s *scenario) cancelEvery(nth int) {
	for i, id := range s.all {
		if i%nth == 0 && !s.cancelled[id] {
			s.cancel(id)
		}
	}
}

const second = time.Second

// scenarios are the overlaps of faults from the operators' list that concern what runs where.
// Those that concern responses alone are tested in packages controller and records
// (docs/design.md has the table).
var scenarios = []struct {
	name  string
	bring func(s *scenario)
}{
	{"old reports after newer ones, also of earlier sessions and attempts", func(s *scenario) {
		s.duplicateChance = 0.6
		s.jobs(12, nil)
		for range 8 {
			s.eachNthWorker(3, func(w *simWorker) { w.partitionedUntil = s.in(10 * second) })
			s.run(12 * second)
			s.eachNthWorker(4, func(w *simWorker) { w.commandsLostUntil = s.in(32 * second) }) // its session ends
			s.run(20 * second)
		}
	}},
	{"jobs bound to one zone lose machines", func(s *scenario) {
		for range 5 {
			s.jobs(4, func(sp *wire.JobSpec) { array(sp); sp.OneZone = true })
			s.jobs(2, func(sp *wire.JobSpec) { array(sp); sp.Zone = "b" })
			s.jobs(2, func(sp *wire.JobSpec) { long(sp); sp.Tasks, sp.OneZone = 3, true })
			s.run(15 * second)
			s.eachNthWorker(3, func(w *simWorker) { w.dead = w.incarnation > 0 })
			s.eachNthWorker(4, func(w *simWorker) { w.partitionedUntil = s.in(40 * second) })
			s.run(15 * second)
			s.failOver()
		}
	}},
	{"a leader ends while long tasks can't be reached, or don't hear the new one", func(s *scenario) {
		s.jobs(10, func(sp *wire.JobSpec) { long(sp); sp.Tasks = 2 })
		for range 4 {
			s.run(25 * second)
			s.eachNthWorker(2, func(w *simWorker) { w.partitionedUntil = s.in(35 * second) })
			s.eachNthWorker(3, func(w *simWorker) { w.commandsLostUntil = s.in(50 * second) })
			s.failOver()
			s.cancelEvery(4)
			s.run(40 * second)
		}
	}},
	{"leaders change ten times in two minutes, also inside an outage", func(s *scenario) {
		s.jobs(14, nil)
		s.run(30 * second)
		for i := range 10 {
			if i == 3 {
				s.storeOutageUntil = s.in(40 * second)
			}
			s.cancelEvery(7)
			s.failOver()
			s.run(12 * second)
		}
	}},
	{"more work than room, urgent and not, over slow links", func(s *scenario) {
		s.extraLatency = 900 * time.Millisecond
		for range 6 {
			s.jobs(10, nil)
			s.run(20 * second)
			s.cancelEvery(9)
		}
	}},
	{"a zone with workers and a controller is cut off for longer than a lease", func(s *scenario) {
		s.jobs(14, func(sp *wire.JobSpec) {
			if sp.Tasks%2 == 0 {
				long(sp)
				sp.Spread = false
			}
		})
		s.run(40 * second)
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil = "a", s.in(60*second)
		s.cancelEvery(2)
		s.jobs(6, nil)
		s.run(90 * second)
	}},
	{"the same, and the cloud is away: only the old leader's own bound is left", func(s *scenario) {
		s.jobs(14, func(sp *wire.JobSpec) { long(sp); sp.Spread, sp.Zone, sp.OneZone = false, "a", true })
		s.run(40 * second)
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil, s.cloudOutageUntil = "a", s.in(100*second), s.in(100*second)
		s.cancelEvery(1)
		s.run(120 * second)
	}},
	{"arrays that run for long in a zone that is cut off with its leader", func(s *scenario) {
		s.runFactor = 8
		s.jobs(10, func(sp *wire.JobSpec) { array(sp); sp.Zone = "a" })
		s.jobs(6, array)
		s.jobs(3, func(sp *wire.JobSpec) { long(sp); sp.Spread = false })
		s.run(30 * second)
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil = "a", s.in(100*second)
		s.cancelEvery(3)
		s.run(130 * second)
	}},
	{"jobs are cancelled while one controller's work changes hands", func(s *scenario) {
		for range 5 {
			s.jobs(5, nil)
			s.run(20 * second)
			s.cancelEvery(4)
			s.run(300 * time.Millisecond)
			s.failOver()
			s.run(300 * time.Millisecond)
			s.cancelEvery(3)
			s.run(15 * second)
		}
	}},
	{"reports are kept until a new leader begins, or has acted", func(s *scenario) {
		s.duplicateChance = 0.8
		s.jobs(14, nil)
		for range 6 {
			s.run(20 * second)
			s.eachNthWorker(3, func(w *simWorker) { w.partitionedUntil = s.in(15 * second) })
			s.cancelEvery(8)
			s.failOver()
			s.run(8 * second)
		}
	}},
	{"jobs are cancelled through the new leader of one that goes on without state and peers", func(s *scenario) {
		s.jobs(12, func(sp *wire.JobSpec) { long(sp); sp.Tasks = 2 })
		s.run(40 * second)
		s.failOverWithPreviousLeaderActive()
		s.run(500 * time.Millisecond)
		s.cancelEvery(2)
		s.run(60 * second)
	}},
	{"a cancellation meets the end of a job's last task", func(s *scenario) {
		s.cancelAtEndChance = 0.7
		for range 6 {
			s.jobs(6, func(sp *wire.JobSpec) { array(sp); sp.Tasks = 1 + sp.Tasks%3 })
			s.run(20 * second)
		}
		s.failOver()
		s.run(20 * second)
	}},
	{"new machines are up at once and get work while writes lag, and the leader ends", func(s *scenario) {
		s.quickBootChance = 1
		for range 5 {
			s.jobs(6, array)
			s.run(time.Duration(500+s.rng.IntN(2500)) * time.Millisecond)
			s.leaderRefusedUntil = s.in(2 * second) // records wait
			s.run(time.Duration(200+s.rng.IntN(1500)) * time.Millisecond)
			s.failOver()
			s.run(25 * second)
		}
	}},
	{"all teams are at their limits while cancelled jobs' machines are cut off or hang, and the leader changes", func(s *scenario) {
		s.capacity = 6
		for range 4 {
			s.jobs(14, func(sp *wire.JobSpec) { array(sp); sp.Tasks = 6 })
			s.run(30 * second)
			s.cancelRunning(s.all, 6, s.in(45*second))
			s.eachNthWorker(3, func(w *simWorker) { w.partitionedUntil = s.in(40 * second) })
			s.run(time.Second)
			s.failOver()
			s.run(20 * second)
		}
	}},
	{"workers reach no controller, while commands reach them", func(s *scenario) {
		for range 4 {
			s.jobs(5, nil)
			s.run(15 * second)
			s.eachNthWorker(2, func(w *simWorker) { w.heartbeatsLostUntil = s.in(40 * second) })
			s.cancelEvery(3)
			s.run(10 * second)
			s.failOver()
			s.run(30 * second)
		}
	}},
	{"one-task jobs come four a second, a quarter of them cancelled", func(s *scenario) {
		s.capacity = 6
		for i := range 240 {
			s.jobs(1, func(sp *wire.JobSpec) { array(sp); sp.Tasks, sp.CPUs = 1, 1 })
			if i%4 == 3 {
				s.cancel(s.all[s.rng.IntN(len(s.all))])
			}
			if i == 100 || i == 180 {
				s.failOver()
			}
			s.run(250 * time.Millisecond)
		}
	}},
	{"the gap: the leader refused alone, cancellations, and then no state service", func(s *scenario) {
		s.jobs(14, func(sp *wire.JobSpec) { long(sp); sp.Tasks = 2 })
		s.run(40 * second)
		s.leaderRefusedUntil = s.in(14 * second)
		s.run(1200 * time.Millisecond)
		s.cancelEvery(2)
		s.run(time.Duration(300+s.rng.IntN(1500)) * time.Millisecond)
		s.storeOutageUntil = s.in(64 * second)
		s.cancelEvery(1)
		s.run(90 * second)
	}},
	{"cancelled through a node that still follows the old leader, and then no state service", func(s *scenario) {
		s.jobs(14, func(sp *wire.JobSpec) { long(sp); sp.Tasks = 2 })
		s.run(40 * second)
		s.failOverWithPreviousLeaderActive()
		s.cancelEvery(2)
		s.storeOutageUntil = s.in(64 * second) // before the new leader's watch brings it
		s.run(90 * second)
	}},
	{"jobs of a few tasks end far apart across a change of leader", func(s *scenario) {
		for range 8 {
			s.jobs(4, func(sp *wire.JobSpec) { array(sp); sp.Tasks = 2 + sp.Tasks%2 })
			s.run(time.Duration(4+s.rng.IntN(14)) * second)
			s.failOver()
		}
		s.run(20 * second)
	}},
	{"controllers hand over and back, all end, and one returns at once", func(s *scenario) {
		s.jobs(14, nil)
		for range 6 {
			s.run(15 * second)
			s.failOver()
			s.run(300 * time.Millisecond)
			s.failOver()
			s.controllersDownUntil, s.previousCore = s.in(time.Duration(100+s.rng.IntN(900))*time.Millisecond), nil
			s.run(s.controllersDownUntil.Sub(s.now))
			s.failOver()
			s.cancelEvery(6)
		}
	}},
	{"transactions without an answer are carried out late", func(s *scenario) {
		for range 6 {
			s.jobs(6, nil)
			s.leaderRefusedUntil = s.in(2500 * time.Millisecond) // all that was sent comes at once after it
			s.run(3 * second)
			s.cancelEvery(5)
			s.run(15 * second)
		}
	}},
	{"all controllers are away for longer than a lease", func(s *scenario) {
		s.jobs(14, nil)
		for range 3 {
			s.run(30 * second)
			s.cancelEvery(5)
			s.run(time.Second)
			s.controllersDownUntil, s.previousCore = s.in(40*second), nil
			s.run(40 * second)
			s.failOver()
		}
	}},
	{"a command or its answer is held up, and the machine then goes on", func(s *scenario) {
		for range 6 {
			s.jobs(5, nil)
			s.run(time.Duration(500+s.rng.IntN(4000)) * time.Millisecond)
			s.eachNthWorker(2, func(w *simWorker) { w.hungUntil = s.in(time.Duration(2+s.rng.IntN(22)) * second) })
			s.cancelEvery(5)
			s.run(15 * second)
		}
	}},
}

// TestOverlappingFaults plays each scenario on several days, and then a time without faults. No
// rule is broken, cancelled jobs end in time, and all others complete.
func TestOverlappingFaults(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := newScenario(t, 1000+seed)
				c.bring(s)
				if len(s.violations) > 0 {
					t.Fatalf("day %d: rules broken: %v", seed, s.violations)
				}
				s.runToCompletion(s.all, 20*time.Minute)
				s.checkCancelledDependents(s.all)
				if s.starts == 0 {
					t.Fatalf("day %d: nothing ran", seed)
				}
			}
		})
	}
}

// A machine of a cancelled job that cannot be reached must be terminated before the deadline of
// cancellations. A placement beside the job whose record waited for the store used to delay
// that until the end of an outage.
func TestTerminationDoesNotWaitForARecord(t *testing.T) {
	h := newHarness(t, Options{})
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
		t.Fatal("job-2 was not placed beside job-1")
	}
	h.c.ObserveJob(h.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: &spec}, 900)
	cancelledAt := h.now
	for terminated := false; !terminated; {
		h.now = h.now.Add(200 * time.Millisecond)
		if h.now > cancelledAt.Add(simCancelDeadline*3/4) {
			t.Fatal("not terminated in time")
		}
		if e := h.c.Step(h.now); len(e.Terminate) > 0 {
			h.c.MachinesTerminated(h.now, e.Terminate)
			terminated = true
		}
	}
	if j := h.c.cluster.Job("job-1"); j != nil && len(j.Active()) > 0 {
		t.Error("tasks of the terminated machine still count")
	}
	// The record is committed after all. Its task was never sent, and waits again.
	h.c.CommitResult(h.now, records.CommitResult{Change: placed[0], Revision: 901})
	for range 10 {
		h.now = h.now.Add(200 * time.Millisecond)
		if e := h.step(); len(e.Terminate) > 0 {
			t.Errorf("terminated again: %v", e.Terminate)
		}
	}
	if j := h.c.cluster.Job("job-2"); len(j.Pending()) != 1 || h.c.cluster.Machine("n-1") != nil {
		t.Errorf("waiting: %v, machine known: %v", j.Pending(), h.c.cluster.Machine("n-1") != nil)
	}
}
