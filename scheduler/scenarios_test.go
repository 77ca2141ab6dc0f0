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
	m := &scenario{sim: newSim(t, seed)}
	m.capacity = 3
	return m
}

// jobs submits some jobs, changed by shape.
func (simulation *scenario) jobs(count int, shape func(*wire.JobSpec)) {
	for range count {
		sp := simulation.randomSpec()
		if shape != nil {
			shape(sp)
		}
		id := ids.JobID(fmt.Sprintf("job-%03d", len(simulation.all)))
		simulation.submit(id, sp)
		simulation.all = append(simulation.all, id)
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
func (simulation *scenario) in(d time.Duration) monotonic.Instant { return simulation.now.Add(d) }

// eachNthWorker does something to every nth machine.
func (simulation *scenario) eachNthWorker(nth int, f func(w *simWorker)) {
	for i, h := range simulation.sortedMachineIDs() {
		if i%nth == 0 {
			f(simulation.workers[h])
		}
	}
}

// cancelEvery has users cancel every nth job.
func (simulation *scenario) cancelEvery(nth int) {
	for i, id := range simulation.all {
		if i%nth == 0 && !simulation.cancelled[id] {
			simulation.cancel(id)
		}
	}
}

const second = time.Second

// scenarios are the overlaps of faults from the operators' list that concern what runs where.
// Those that concern responses alone are tested in packages controller and records
// (docs/design.md has the table).
var scenarios = []struct {
	name  string
	bring func(m *scenario)
}{
	{"old reports after newer ones, also of earlier sessions and attempts", func(m *scenario) {
		m.duplicateChance = 0.6
		m.jobs(12, nil)
		for range 8 {
			m.eachNthWorker(3, func(w *simWorker) { w.partitionedUntil = m.in(10 * second) })
			m.run(12 * second)
			m.eachNthWorker(4, func(w *simWorker) { w.commandsLostUntil = m.in(32 * second) }) // its session ends
			m.run(20 * second)
		}
	}},
	{"jobs bound to one zone lose machines", func(m *scenario) {
		for range 5 {
			m.jobs(4, func(sp *wire.JobSpec) { array(sp); sp.OneZone = true })
			m.jobs(2, func(sp *wire.JobSpec) { array(sp); sp.Zone = "b" })
			m.jobs(2, func(sp *wire.JobSpec) { long(sp); sp.Tasks, sp.OneZone = 3, true })
			m.run(15 * second)
			m.eachNthWorker(3, func(w *simWorker) { w.dead = w.incarnation > 0 })
			m.eachNthWorker(4, func(w *simWorker) { w.partitionedUntil = m.in(40 * second) })
			m.run(15 * second)
			m.failOver()
		}
	}},
	{"a leader ends while long tasks can't be reached, or don't hear the new one", func(m *scenario) {
		m.jobs(10, func(sp *wire.JobSpec) { long(sp); sp.Tasks = 2 })
		for range 4 {
			m.run(25 * second)
			m.eachNthWorker(2, func(w *simWorker) { w.partitionedUntil = m.in(35 * second) })
			m.eachNthWorker(3, func(w *simWorker) { w.commandsLostUntil = m.in(50 * second) })
			m.failOver()
			m.cancelEvery(4)
			m.run(40 * second)
		}
	}},
	{"leaders change ten times in two minutes, also inside an outage", func(m *scenario) {
		m.jobs(14, nil)
		m.run(30 * second)
		for i := range 10 {
			if i == 3 {
				m.storeOutageUntil = m.in(40 * second)
			}
			m.cancelEvery(7)
			m.failOver()
			m.run(12 * second)
		}
	}},
	{"more work than room, urgent and not, over slow links", func(m *scenario) {
		m.extraLatency = 900 * time.Millisecond
		for range 6 {
			m.jobs(10, nil)
			m.run(20 * second)
			m.cancelEvery(9)
		}
	}},
	{"a zone with workers and a controller is cut off for longer than a lease", func(m *scenario) {
		m.jobs(14, func(sp *wire.JobSpec) {
			if sp.Tasks%2 == 0 {
				long(sp)
				sp.Spread = false
			}
		})
		m.run(40 * second)
		m.failOverWithPreviousLeaderActive()
		m.isolatedZone, m.isolatedZoneUntil = "a", m.in(60*second)
		m.cancelEvery(2)
		m.jobs(6, nil)
		m.run(90 * second)
	}},
	{"the same, and the cloud is away: only the old leader's own bound is left", func(m *scenario) {
		m.jobs(14, func(sp *wire.JobSpec) { long(sp); sp.Spread, sp.Zone, sp.OneZone = false, "a", true })
		m.run(40 * second)
		m.failOverWithPreviousLeaderActive()
		m.isolatedZone, m.isolatedZoneUntil, m.cloudOutageUntil = "a", m.in(100*second), m.in(100*second)
		m.cancelEvery(1)
		m.run(120 * second)
	}},
	{"arrays that run for long in a zone that is cut off with its leader", func(m *scenario) {
		m.runFactor = 8
		m.jobs(10, func(sp *wire.JobSpec) { array(sp); sp.Zone = "a" })
		m.jobs(6, array)
		m.jobs(3, func(sp *wire.JobSpec) { long(sp); sp.Spread = false })
		m.run(30 * second)
		m.failOverWithPreviousLeaderActive()
		m.isolatedZone, m.isolatedZoneUntil = "a", m.in(100*second)
		m.cancelEvery(3)
		m.run(130 * second)
	}},
	{"jobs are cancelled while one controller's work changes hands", func(m *scenario) {
		for range 5 {
			m.jobs(5, nil)
			m.run(20 * second)
			m.cancelEvery(4)
			m.run(300 * time.Millisecond)
			m.failOver()
			m.run(300 * time.Millisecond)
			m.cancelEvery(3)
			m.run(15 * second)
		}
	}},
	{"reports are kept until a new leader begins, or has acted", func(m *scenario) {
		m.duplicateChance = 0.8
		m.jobs(14, nil)
		for range 6 {
			m.run(20 * second)
			m.eachNthWorker(3, func(w *simWorker) { w.partitionedUntil = m.in(15 * second) })
			m.cancelEvery(8)
			m.failOver()
			m.run(8 * second)
		}
	}},
	{"jobs are cancelled through the new leader of one that goes on without state and peers", func(m *scenario) {
		m.jobs(12, func(sp *wire.JobSpec) { long(sp); sp.Tasks = 2 })
		m.run(40 * second)
		m.failOverWithPreviousLeaderActive()
		m.run(500 * time.Millisecond)
		m.cancelEvery(2)
		m.run(60 * second)
	}},
	{"a cancellation meets the end of a job's last task", func(m *scenario) {
		m.cancelAtEndChance = 0.7
		for range 6 {
			m.jobs(6, func(sp *wire.JobSpec) { array(sp); sp.Tasks = 1 + sp.Tasks%3 })
			m.run(20 * second)
		}
		m.failOver()
		m.run(20 * second)
	}},
	{"new machines are up at once and get work while writes lag, and the leader ends", func(m *scenario) {
		m.quickBootChance = 1
		for range 5 {
			m.jobs(6, array)
			m.run(time.Duration(500+m.rng.IntN(2500)) * time.Millisecond)
			m.leaderRefusedUntil = m.in(2 * second) // records wait
			m.run(time.Duration(200+m.rng.IntN(1500)) * time.Millisecond)
			m.failOver()
			m.run(25 * second)
		}
	}},
	{"all teams are at their limits while cancelled jobs' machines are cut off or hang, and the leader changes", func(m *scenario) {
		m.capacity = 6
		for range 4 {
			m.jobs(14, func(sp *wire.JobSpec) { array(sp); sp.Tasks = 6 })
			m.run(30 * second)
			m.cancelRunning(m.all, 6, m.in(45*second))
			m.eachNthWorker(3, func(w *simWorker) { w.partitionedUntil = m.in(40 * second) })
			m.run(time.Second)
			m.failOver()
			m.run(20 * second)
		}
	}},
	{"workers reach no controller, while commands reach them", func(m *scenario) {
		for range 4 {
			m.jobs(5, nil)
			m.run(15 * second)
			m.eachNthWorker(2, func(w *simWorker) { w.heartbeatsLostUntil = m.in(40 * second) })
			m.cancelEvery(3)
			m.run(10 * second)
			m.failOver()
			m.run(30 * second)
		}
	}},
	{"one-task jobs come four a second, a quarter of them cancelled", func(m *scenario) {
		m.capacity = 6
		for i := range 240 {
			m.jobs(1, func(sp *wire.JobSpec) { array(sp); sp.Tasks, sp.CPUs = 1, 1 })
			if i%4 == 3 {
				m.cancel(m.all[m.rng.IntN(len(m.all))])
			}
			if i == 100 || i == 180 {
				m.failOver()
			}
			m.run(250 * time.Millisecond)
		}
	}},
	{"the gap: the leader refused alone, cancellations, and then no state service", func(m *scenario) {
		m.jobs(14, func(sp *wire.JobSpec) { long(sp); sp.Tasks = 2 })
		m.run(40 * second)
		m.leaderRefusedUntil = m.in(14 * second)
		m.run(1200 * time.Millisecond)
		m.cancelEvery(2)
		m.run(time.Duration(300+m.rng.IntN(1500)) * time.Millisecond)
		m.storeOutageUntil = m.in(64 * second)
		m.cancelEvery(1)
		m.run(90 * second)
	}},
	{"cancelled through a node that still follows the old leader, and then no state service", func(m *scenario) {
		m.jobs(14, func(sp *wire.JobSpec) { long(sp); sp.Tasks = 2 })
		m.run(40 * second)
		m.failOverWithPreviousLeaderActive()
		m.cancelEvery(2)
		m.storeOutageUntil = m.in(64 * second) // before the new leader's watch brings it
		m.run(90 * second)
	}},
	{"jobs of a few tasks end far apart across a change of leader", func(m *scenario) {
		for range 8 {
			m.jobs(4, func(sp *wire.JobSpec) { array(sp); sp.Tasks = 2 + sp.Tasks%2 })
			m.run(time.Duration(4+m.rng.IntN(14)) * second)
			m.failOver()
		}
		m.run(20 * second)
	}},
	{"controllers hand over and back, all end, and one returns at once", func(m *scenario) {
		m.jobs(14, nil)
		for range 6 {
			m.run(15 * second)
			m.failOver()
			m.run(300 * time.Millisecond)
			m.failOver()
			m.controllersDownUntil, m.previousCore = m.in(time.Duration(100+m.rng.IntN(900))*time.Millisecond), nil
			m.run(m.controllersDownUntil.Sub(m.now))
			m.failOver()
			m.cancelEvery(6)
		}
	}},
	{"transactions without an answer are carried out late", func(m *scenario) {
		for range 6 {
			m.jobs(6, nil)
			m.leaderRefusedUntil = m.in(2500 * time.Millisecond) // all that was sent comes at once after it
			m.run(3 * second)
			m.cancelEvery(5)
			m.run(15 * second)
		}
	}},
	{"all controllers are away for longer than a lease", func(m *scenario) {
		m.jobs(14, nil)
		for range 3 {
			m.run(30 * second)
			m.cancelEvery(5)
			m.run(time.Second)
			m.controllersDownUntil, m.previousCore = m.in(40*second), nil
			m.run(40 * second)
			m.failOver()
		}
	}},
	{"a command or its answer is held up, and the machine then goes on", func(m *scenario) {
		for range 6 {
			m.jobs(5, nil)
			m.run(time.Duration(500+m.rng.IntN(4000)) * time.Millisecond)
			m.eachNthWorker(2, func(w *simWorker) { w.hungUntil = m.in(time.Duration(2+m.rng.IntN(22)) * second) })
			m.cancelEvery(5)
			m.run(15 * second)
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
				m := newScenario(t, 1000+seed)
				c.bring(m)
				if len(m.violations) > 0 {
					t.Fatalf("day %d: rules broken: %v", seed, m.violations)
				}
				m.runToCompletion(m.all, 20*time.Minute)
				m.checkCancelledDependents(m.all)
				if m.starts == 0 {
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
	b := newHarness(t, Options{})
	spec := wire.JobSpec{Class: "c", Team: "red", Service: true, Tasks: 1, CPUs: 2, Image: "i"}
	b.submit("job-1", spec)
	b.heartbeat("n-1", "a", 0)
	b.step()
	if len(commandsWith(b.heartbeat("n-1", "a", 0).Commands, wire.VerbRun)) != 1 {
		t.Fatal("job-1 was not started")
	}
	b.submit("job-2", spec)
	b.now = b.now.Add(time.Second)
	placed := b.c.Step(b.now).RecordChanges
	if len(placed) != 1 {
		t.Fatal("job-2 was not placed beside job-1")
	}
	b.c.ObserveJob(b.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: &spec}, 900)
	cancelledAt := b.now
	for terminated := false; !terminated; {
		b.now = b.now.Add(200 * time.Millisecond)
		if b.now > cancelledAt.Add(simCancelDeadline*3/4) {
			t.Fatal("not terminated in time")
		}
		if e := b.c.Step(b.now); len(e.Terminate) > 0 {
			b.c.MachinesTerminated(b.now, e.Terminate)
			terminated = true
		}
	}
	if j := b.c.cluster.Job("job-1"); j != nil && len(j.Active()) > 0 {
		t.Error("tasks of the terminated machine still count")
	}
	// The record is committed after all. Its task was never sent, and waits again.
	b.c.CommitResult(b.now, records.CommitResult{Change: placed[0], Revision: 901})
	for range 10 {
		b.now = b.now.Add(200 * time.Millisecond)
		if e := b.step(); len(e.Terminate) > 0 {
			t.Errorf("terminated again: %v", e.Terminate)
		}
	}
	if j := b.c.cluster.Job("job-2"); len(j.Pending()) != 1 || b.c.cluster.Machine("n-1") != nil {
		t.Errorf("waiting: %v, machine known: %v", j.Pending(), b.c.cluster.Machine("n-1") != nil)
	}
}
