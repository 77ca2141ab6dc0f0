package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// A machine on which tasks take much longer than other tasks of the same jobs on other machines is
// ranked last. After several such jobs it is quarantined and gets no tasks.
func TestSlowMachineIsQuarantined(t *testing.T) {
	h := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 640}, Limit: quota.Amount{CPUs: 640}}}})
	h.c.Begin(h.now)
	for round := range 8 {
		slow := newSlowMachineRound(h, ids.JobID(fmt.Sprintf("job-%d", round)))
		if h.c.cluster.Machine("n-3").Health.SlowStreak >= slowStreakLimit {
			if tasks := len(slow.tasks["n-3"]); tasks > 0 {
				t.Fatalf("round %d: the slow machine got %d tasks, although it was quarantined", round, tasks)
			}
			return
		}
		slow.runTasks()
	}
	t.Fatalf("the slow machine was not quarantined: slowness %v", h.c.cluster.Machine("n-3").Health.Slowness)
}

// slowMachineRound represents a job on three machines. Its tasks take three times as long on n-3.
type slowMachineRound struct {
	*harness
	machines []ids.MachineID
	token    ids.FencingToken
	tasks    map[ids.MachineID][]wire.TaskStatus
}

// newSlowMachineRound submits the job and runs a step that places its tasks.
func newSlowMachineRound(h *harness, id ids.JobID) *slowMachineRound {
	r := &slowMachineRound{harness: h, machines: []ids.MachineID{"n-1", "n-2", "n-3"}, token: ids.NewFencingToken(5, 0),
		tasks: map[ids.MachineID][]wire.TaskStatus{}}
	r.heartbeats()
	h.submit(id, wire.JobSpec{Tasks: 12})
	h.step()
	for i, task := range h.c.cluster.Job(id).Tasks() {
		if a := task.Assignment(); a != nil {
			status := wire.TaskStatus{Name: fmt.Sprintf("%s/%d", id, i), Attempt: task.Attempt(), State: wire.TaskRunning}
			r.tasks[a.Machine.ID] = append(r.tasks[a.Machine.ID], status)
		}
	}
	return r
}

// runTasks reports the start of the tasks and their ends, with those on n-3 ending last.
func (r *slowMachineRound) runTasks() {
	for _, machine := range r.machines {
		r.heartbeat(machine, "a", r.token)
		r.heartbeat(machine, "a", r.token, r.tasks[machine]...)
	}
	r.runFor(10 * time.Second)
	r.end("n-1")
	r.end("n-2")
	r.runFor(20 * time.Second)
	r.end("n-3")
	r.step()
}

// heartbeats sends a heartbeat of each machine.
func (r *slowMachineRound) heartbeats() {
	for _, machine := range r.machines {
		r.heartbeat(machine, "a", r.token, r.tasks[machine]...)
	}
}

// runFor lets the tasks run for a duration in short steps, because the run time of a task excludes
// pauses of the leader.
func (r *slowMachineRound) runFor(d time.Duration) {
	for until := r.now.Add(d); r.now < until; {
		r.now = r.now.Add(500 * time.Millisecond)
		r.heartbeats()
		r.step()
	}
}

// end reports the successful end of the tasks on a machine.
func (r *slowMachineRound) end(machine ids.MachineID) {
	tasks := r.tasks[machine]
	for i := range tasks {
		tasks[i].State, tasks[i].Cause = wire.TaskEnded, wire.CauseDone
	}
	r.heartbeat(machine, "a", r.token, tasks...)
}

// A machine is ranked behind the others after one slow job. It is quarantined once its slowness has been
// high after several consecutive jobs.
func TestUpdateSlowness(t *testing.T) {
	const slow, ordinary = 8, 1 // run time relative to other machines
	for _, c := range []struct {
		name        string
		ratios      []float64
		slow        bool
		quarantined bool
	}{
		{"ordinary", []float64{ordinary, ordinary}, false, false},
		{"slow once", []float64{slow}, true, false},
		{"slow until one before the limit", []float64{slow, slow, slow}, true, false},
		{"slow up to the limit", []float64{slow, slow, slow, slow}, true, true},
		{"the mean is still high at the limit", []float64{slow, slow, slow, ordinary}, true, true},
		{"the mean fell in between", []float64{slow, ordinary, ordinary, slow, ordinary}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			present := clock.New(0)
			present.Set(monotonic.Instant(time.Hour))
			d := &slownessDetector{clock: present}
			m := &cluster.Machine{}
			for _, ratio := range c.ratios {
				d.updateSlowness(m, ratio)
			}
			if got := m.Health.SlowUntil != 0; got != c.slow {
				t.Errorf("found slow: %v", got)
			}
			if got := m.Health.QuarantinedUntil != 0; got != c.quarantined {
				t.Errorf("quarantined: %v", got)
			}
		})
	}
}
