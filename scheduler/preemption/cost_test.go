package preemption

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

func TestEvictionCost(t *testing.T) {
	const ran = 10 * time.Second
	for _, c := range []struct {
		name  string
		spec  wire.JobSpec
		phase wire.TaskState
		want  float64
	}{
		{"best effort", wire.JobSpec{}, wire.TaskRunning, 12},
		{"not running yet", wire.JobSpec{}, wire.TaskFetching, 2},
		{"several CPUs", wire.JobSpec{CPUs: 4}, wire.TaskRunning, 48},
		{"normal priority", wire.JobSpec{Priority: wire.Normal}, wire.TaskRunning, 36},
		{"critical priority", wire.JobSpec{Priority: wire.Critical}, wire.TaskRunning, 324},
		{"checkpoint within the run", wire.JobSpec{CheckpointEveryS: 5, CheckpointS: 1}, wire.TaskRunning, 8},
		{"run shorter than the checkpoint interval", wire.JobSpec{CheckpointEveryS: 60, CheckpointS: 1}, wire.TaskRunning, 13},
		{"service", wire.JobSpec{Service: true}, wire.TaskRunning, 1012},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			a := f.run("job-1", c.spec, f.addMachine("m-1", "a"))[0]
			a.Run.Phase = c.phase
			f.clock.Set(startOfTerm.Add(ran))
			if got := f.policy.evictionCost(a); got != c.want {
				t.Errorf("evictionCost = %v, want %v", got, c.want)
			}
		})
	}
}

func TestEvictionCostRisesWithAttempts(t *testing.T) {
	f := newFixture(t)
	m := f.addMachine("m-1", "a")
	first := f.run("job-1", wire.JobSpec{}, m)[0]
	f.state.Release(first)
	second := f.state.Assign(first.Job, 0, m)
	second.Run.Phase = wire.TaskRunning
	if once, twice := f.policy.evictionCost(first), f.policy.evictionCost(second); twice != 2*once {
		t.Errorf("evictionCost = %v for the second attempt, want twice the %v of the first", twice, once)
	}
}

func TestProtected(t *testing.T) {
	for _, c := range []struct {
		name      string
		protected bool
		phase     wire.TaskState
		ran       time.Duration
		want      bool
	}{
		{"not protected", false, wire.TaskRunning, 0, false},
		{"protected, fetching its image", true, wire.TaskFetching, time.Hour, true},
		{"protected, running for less than the period", true, wire.TaskRunning, protectionPeriod - 1, true},
		{"protected, running for the period", true, wire.TaskRunning, protectionPeriod, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			a := f.run("job-1", wire.JobSpec{}, f.addMachine("m-1", "a"))[0]
			a.Protected, a.Run.Phase = c.protected, c.phase
			f.clock.Set(startOfTerm.Add(c.ran))
			if got := f.policy.protected(a); got != c.want {
				t.Errorf("protected = %v", got)
			}
		})
	}
}

func TestPreemptDoesNotStopProtectedTask(t *testing.T) {
	f := newFixture(t)
	a := f.run("job-1", wire.JobSpec{CPUs: machineCPUs}, f.addMachine("m-1", "a"))[0]
	a.Protected = true
	f.preempt(f.addJob("job-2", wire.JobSpec{Priority: wire.High}))
	if a.StopReason() != cluster.StopNone {
		t.Error("a protected task was stopped")
	}
}
