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
	h, agents := newFailingJobs(t)
	const settled = 40 * time.Second
	began := h.now
	mostActive, quarantines := 0, 0
	inspect := func() {
		if h.now <= began.Add(settled) {
			return
		}
		mostActive = max(mostActive, h.activeTasks())
		quarantines += h.quarantinedMachines()
	}
	starts := agents.run(h, wire.CauseError, 3*time.Minute, inspect)
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
	h, agents := newFailingJobs(t)
	noInspection := func() {}
	agents.run(h, wire.CauseError, 3*time.Minute, noInspection)
	starts := agents.run(h, wire.CauseDone, 75*time.Second, noInspection)
	if starts == 0 || len(h.c.cluster.Jobs()) > 0 {
		t.Errorf("after %d successful starts, %d jobs are not done", starts, len(h.c.cluster.Jobs()))
	}
}

// newFailingJobs returns a harness with six machines and three arrays.
func newFailingJobs(t *testing.T) (*harness, *instantAgents) {
	t.Helper()
	h := newHarness(t, Options{})
	agents := &instantAgents{ended: map[ids.MachineID][]wire.TaskStatus{}}
	for i := range 6 {
		machine := ids.MachineID(fmt.Sprintf("n-%d", i))
		agents.machines = append(agents.machines, machine)
		h.heartbeat(machine, "a", 0)
	}
	for i := range 3 {
		h.submit(ids.JobID(fmt.Sprintf("job-bad%d", i)), wire.JobSpec{Class: "c", Tasks: 5, CPUs: 1, EstimateS: 10})
	}
	return h, agents
}

// activeTasks returns the number of tasks that are assigned to machines.
func (h *harness) activeTasks() int {
	active := 0
	for _, j := range h.c.cluster.Jobs() {
		active += len(j.Active())
	}
	return active
}

// quarantinedMachines returns the number of machines that are in quarantine.
func (h *harness) quarantinedMachines() int {
	count := 0
	for _, m := range h.c.cluster.Machines() {
		if h.now < m.Health.QuarantinedUntil {
			count++
		}
	}
	return count
}

// Failures of different jobs quarantine a machine that is at fault even if a permanently failing job
// has failed there as well. The failures of that job must not count against the machine.
func TestUnhealthyMachineIsQuarantinedDespitePermanentlyFailingJob(t *testing.T) {
	h := newHarness(t, Options{})
	h.heartbeat("n-0", "a", 0)
	m := h.c.cluster.Machine("n-0")
	fail := func(id ids.JobID) {
		h.c.failures.recordFailure(&cluster.Assignment{Job: h.c.cluster.Job(id), Machine: m, Attempt: 1})
	}
	h.submit("job-bad", wire.JobSpec{Class: "c", Tasks: 1})
	h.submit("job-1", wire.JobSpec{Class: "c", Tasks: 4})
	h.submit("job-2", wire.JobSpec{Class: "c", Tasks: 4})
	h.c.cluster.Job("job-bad").Failures.FailedRounds = 1
	fail("job-bad")
	fail("job-1")
	if h.c.clock.Now() < m.Health.QuarantinedUntil {
		t.Error("quarantined for one job's failure")
	}
	fail("job-2")
	if h.c.clock.Now() >= m.Health.QuarantinedUntil {
		t.Error("not quarantined for the failures of two jobs")
	}
	h.c.failures.clearFailureHistory(h.c.cluster.Job("job-2"))
	if h.c.clock.Now() < m.Health.QuarantinedUntil {
		t.Error("still quarantined although one of the jobs fails on all machines")
	}
}

// A machine on which tasks of two jobs failed is quarantined: no more tasks are placed there.
func TestUnhealthyMachineIsQuarantined(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	token := h.heartbeat("n-1", "a", 0).FencingToken
	for n := range 2 {
		id := ids.JobID(fmt.Sprintf("job-%d", n))
		h.submit(id, wire.JobSpec{Tasks: 1})
		h.step()
		o := h.heartbeat("n-1", "a", token)
		run := commandsWith(o.Commands, wire.VerbRun)
		if len(run) != 1 {
			t.Fatalf("job %d: run commands %v, want one", n, run)
		}
		h.heartbeat("n-1", "a", o.FencingToken, wire.TaskStatus{Name: string(id) + "/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError})
		h.c.ObserveJob(h.now, id, &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: h.c.cluster.Job(id).Spec}, 900)
		h.step()
		token = h.heartbeat("n-1", "a", o.FencingToken).FencingToken
	}
	h.submit("job-9", wire.JobSpec{Tasks: 1})
	h.step()
	if a := h.c.cluster.Job("job-9").Task(0).Assignment(); a != nil {
		t.Fatalf("placed on %s, where all tasks failed", a.Machine.ID)
	}
}
