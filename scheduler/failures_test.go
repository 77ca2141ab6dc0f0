package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// Jobs that were submitted with a mistake fail on every machine until their users cancel them. Two
// such jobs must not quarantine, for two minutes, each machine on which both have failed. An array
// that fails on every machine must not start all of its tasks in each round.
func TestPermanentlyFailingJobsQuarantineNoMachine(t *testing.T) {
	b, agents := newFailingJobs(t)
	const settled = 40 * time.Second
	began := b.now
	mostActive, quarantines := 0, 0
	inspect := func() {
		if b.now <= began.Add(settled) {
			return
		}
		mostActive = max(mostActive, b.activeTasks())
		quarantines += b.quarantinedMachines()
	}
	starts := agents.run(b, wire.CauseError, 3*time.Minute, inspect)
	if quarantines > 0 {
		t.Errorf("healthy machines were quarantined in %d steps", quarantines)
	}
	if mostActive > 4 || starts < 30 || starts > 100 {
		t.Errorf("%d tasks started, up to %d at the same time", starts, mostActive)
	}
}

// After the first success of a job that failed on all machines, its remaining tasks start. The cause of
// the failures may have been repaired outside the job, or it may not have been the job.
func TestSuccessEndsTheBackoffOfFailingJobs(t *testing.T) {
	b, agents := newFailingJobs(t)
	noInspection := func() {}
	agents.run(b, wire.CauseError, 3*time.Minute, noInspection)
	starts := agents.run(b, wire.CauseDone, 75*time.Second, noInspection)
	if starts == 0 || len(b.c.cluster.Jobs()) > 0 {
		t.Errorf("after %d successful starts, %d jobs are not done", starts, len(b.c.cluster.Jobs()))
	}
}

// newFailingJobs returns a harness with six machines and three arrays.
func newFailingJobs(t *testing.T) (*harness, *instantAgents) {
	t.Helper()
	b := newHarness(t, Options{})
	agents := &instantAgents{ended: map[ids.MachineID][]wire.TaskStatus{}}
	for i := range 6 {
		machine := ids.MachineID(fmt.Sprintf("n-%d", i))
		agents.machines = append(agents.machines, machine)
		b.heartbeat(machine, "a", 0)
	}
	for i := range 3 {
		b.submit(ids.JobID(fmt.Sprintf("job-bad%d", i)), wire.JobSpec{Class: "c", Tasks: 5, CPUs: 1, EstimateS: 10})
	}
	return b, agents
}

// activeTasks returns the number of tasks that are assigned to machines.
func (b *harness) activeTasks() int {
	active := 0
	for _, j := range b.c.cluster.Jobs() {
		active += len(j.Active())
	}
	return active
}

// quarantinedMachines returns the number of machines that are in quarantine.
func (b *harness) quarantinedMachines() int {
	count := 0
	for _, m := range b.c.cluster.Machines() {
		if b.now < m.Health.QuarantinedUntil {
			count++
		}
	}
	return count
}

// Failures of different jobs quarantine a machine that is at fault even if a permanently failing job
// has failed there as well. The failures of that job must not count against the machine.
func TestUnhealthyMachineIsQuarantinedDespitePermanentlyFailingJob(t *testing.T) {
	b := newHarness(t, Options{})
	b.heartbeat("n-0", "a", 0)
	m := b.c.cluster.Machine("n-0")
	fail := func(id ids.JobID) {
		b.c.failures.recordFailure(&cluster.Assignment{Job: b.c.cluster.Job(id), Machine: m, Attempt: 1})
	}
	b.submit("job-bad", wire.JobSpec{Class: "c", Tasks: 1})
	b.submit("job-1", wire.JobSpec{Class: "c", Tasks: 4})
	b.submit("job-2", wire.JobSpec{Class: "c", Tasks: 4})
	b.c.cluster.Job("job-bad").Failures.FailedRounds = 1
	fail("job-bad")
	fail("job-1")
	if b.c.clock.Now() < m.Health.QuarantinedUntil {
		t.Error("quarantined for one job's failure")
	}
	fail("job-2")
	if b.c.clock.Now() >= m.Health.QuarantinedUntil {
		t.Error("not quarantined for the failures of two jobs")
	}
	b.c.failures.clearFailureHistory(b.c.cluster.Job("job-2"))
	if b.c.clock.Now() < m.Health.QuarantinedUntil {
		t.Error("still quarantined although one of the jobs fails on all machines")
	}
}

// A machine on which tasks of two jobs failed is quarantined: no more tasks are placed there.
func TestUnhealthyMachineIsQuarantined(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	for n := range 2 {
		id := ids.JobID(fmt.Sprintf("job-%d", n))
		b.submit(id, wire.JobSpec{Tasks: 1})
		b.step()
		o := b.heartbeat("n-1", "a", 0)
		run := commandsWith(o.Commands, wire.VerbRun)
		if len(run) != 1 {
			t.Fatalf("job %d: run commands %v, want one", n, run)
		}
		b.heartbeat("n-1", "a", o.FencingToken, wire.TaskStatus{Name: string(id) + "/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError})
		b.c.ObserveJob(b.now, id, &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: b.c.cluster.Job(id).Spec}, 900)
		b.step()
		b.heartbeat("n-1", "a", o.FencingToken)
	}
	b.submit("job-9", wire.JobSpec{Tasks: 1})
	b.step()
	if a := b.c.cluster.Job("job-9").Task(0).Assignment(); a != nil {
		t.Fatalf("placed on %s, where all tasks failed", a.Machine.ID)
	}
}
