package preemption

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

func TestPreemptStopsNoMoreThanNeeded(t *testing.T) {
	for _, c := range []struct {
		name  string
		tasks int
		cpus  float64
		gang  bool
		want  int
	}{
		{"one task", 1, 1, false, 1},
		{"task that needs the resources of three", 1, 3, false, 3},
		{"array", 2, 1, false, 2},
		{"array of which only a part fits", 3, 4, false, 8},
		{"gang", 2, 2, true, 4},
		{"gang that does not fit", 3, 4, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.run("job-low", wire.JobSpec{Tasks: machineCPUs}, f.addMachine("m-1", "a"))
			f.preempt(f.addJob("job-1", wire.JobSpec{Team: "blue", Priority: wire.High, Tasks: c.tasks, CPUs: c.cpus, Gang: c.gang}))
			if len(f.stopped) != c.want {
				t.Errorf("%d tasks stopped, want %d", len(f.stopped), c.want)
			}
		})
	}
}

// The resources of tasks that are already stopping count as free in later rounds. Otherwise each round
// would stop more tasks for the same waiting job.
func TestPreemptCountsResourcesOfStoppingTasks(t *testing.T) {
	f := newFixture(t)
	f.run("job-low", wire.JobSpec{Tasks: machineCPUs}, f.addMachine("m-1", "a"))
	j := f.addJob("job-1", wire.JobSpec{Team: "blue", Priority: wire.High})
	f.preempt(j)
	f.preempt(j)
	if len(f.stopped) != 1 {
		t.Errorf("%d tasks stopped in two rounds, want 1", len(f.stopped))
	}
}

// The quota of tasks that are already stopping counts as free in later rounds. Otherwise each round
// would stop more tasks for the same waiting job.
func TestPreemptCountsQuotaOfStoppingTasks(t *testing.T) {
	limit := quota.Amount{CPUs: machineCPUs}
	f := newFixture(t, quota.Team{Name: "red", Nominal: limit, Limit: limit})
	f.run("job-low", wire.JobSpec{Tasks: machineCPUs}, f.addMachine("m-1", "a"))
	j := f.addJob("job-1", wire.JobSpec{Priority: wire.High})
	f.preempt(j)
	f.preempt(j)
	if len(f.stopped) != 1 {
		t.Errorf("%d tasks stopped in two rounds, want 1", len(f.stopped))
	}
}

// A team at its limit gets no more quota. Its tasks of lower priority must therefore free the quota
// that the job needs, even if machines have free resources.
func TestPreemptFreesQuotaOfTeamAtItsLimit(t *testing.T) {
	limit := quota.Amount{CPUs: machineCPUs}
	f := newFixture(t, quota.Team{Name: "red", Nominal: limit, Limit: limit})
	f.run("job-a", wire.JobSpec{Tasks: machineCPUs / 2}, f.addMachine("m-1", "a"))
	f.run("job-b", wire.JobSpec{Tasks: machineCPUs / 2}, f.addMachine("m-2", "a"))
	f.addMachine("m-3", "a")
	f.preempt(f.addJob("job-1", wire.JobSpec{Priority: wire.High, CPUs: 2}))
	if len(f.stopped) != 2 {
		t.Errorf("%d tasks stopped, want 2", len(f.stopped))
	}
}

func TestPreemptSkipsProbingJobs(t *testing.T) {
	f := newFixture(t)
	f.probing = true
	f.run("job-low", wire.JobSpec{Tasks: machineCPUs}, f.addMachine("m-1", "a"))
	f.preempt(f.addJob("job-1", wire.JobSpec{Team: "blue", Priority: wire.High}))
	if len(f.stopped) != 0 {
		t.Errorf("%d tasks stopped for a probing job, want 0", len(f.stopped))
	}
}

func TestPreemptDelaysAdmissionOfVictims(t *testing.T) {
	f := newFixture(t)
	victim := f.run("job-low", wire.JobSpec{CPUs: machineCPUs}, f.addMachine("m-1", "a"))[0]
	f.preempt(f.addJob("job-1", wire.JobSpec{Priority: wire.High}))
	if victim.StopReason() != cluster.StopPreempted {
		t.Fatal("the task was not preempted")
	}
	if got, want := victim.Job.Queue.RetryAt, startOfTerm.Add(evictionBackoff); got != want {
		t.Errorf("RetryAt of the victim's job = %v, want %v", got, want)
	}
}

// A team that preempts a task of another team does not lend its quota for a limited time. A team that
// preempts its own task continues to lend.
func TestPreemptSuspendsLending(t *testing.T) {
	one, all := quota.Amount{CPUs: machineCPUs}, quota.Amount{CPUs: 2 * machineCPUs}
	teams := []quota.Team{
		{Name: "blue", Nominal: all, Limit: all, LendingLimit: all}, // the only team that lends
		{Name: "green", Limit: one},
		{Name: "red", Nominal: one, Limit: one},
	}
	for _, c := range []struct {
		name   string
		victim ids.Team
		lends  bool
	}{
		{"victim of the same team", "blue", true},
		{"victim of another team", "red", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, teams...)
			f.run("job-low", wire.JobSpec{Team: c.victim, CPUs: machineCPUs}, f.addMachine("m-1", "a"))
			f.preempt(f.addJob("job-1", wire.JobSpec{Team: "blue", Priority: wire.High}))
			if len(f.stopped) != 1 {
				t.Fatalf("%d tasks stopped, want 1", len(f.stopped))
			}
			if got := f.quotas.FitsBorrowing("green", quota.Amount{CPUs: 1}, startOfTerm); got != c.lends {
				t.Errorf("blue lends = %v", got)
			}
			if !f.quotas.FitsBorrowing("green", quota.Amount{CPUs: 1}, startOfTerm.Add(lendingSuspension)) {
				t.Error("blue does not lend after its lending suspension")
			}
		})
	}
}
