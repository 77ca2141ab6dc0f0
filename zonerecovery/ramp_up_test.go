package zonerecovery

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// The recovery continues with the next step, and records it, once the starts of a step succeeded.
func TestSuccessfulStartsAdvanceStep(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.wantAdmission("a large task", taskRequest("job-2"), DeniedProbeOnly)
	probes := f.startAll(probeRequest("job-1"))
	f.wantAdmission("critical work", criticalRequest("job-3"), Admitted)
	f.runFor(6*time.Second, testMachines)
	f.wantStep("before any start succeeded", 0)
	f.reportRunning(probes...)
	f.runFor(time.Second, testMachines)
	f.wantStep("after the probes succeeded", 1)
	if got := f.records[testedZone].Step; got != 1 {
		t.Errorf("step %d is recorded", got)
	}
}

// If no eligible task is requested in the probe, any task may be a probe after the minimum time of a
// step. Otherwise the recovery of a zone with only large tasks would wait for its deadline.
func TestAnyTaskMayProbeIfNoEligibleTaskIsRequested(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.wantAdmission("at the beginning of the probe", taskRequest("job-2"), DeniedProbeOnly)
	f.runFor(testPolicy().MinStepTime, testMachines)
	task := f.wantAdmission("after the minimum time", taskRequest("job-2"), Admitted)
	f.reportRunning(task)
	f.runFor(time.Second, testMachines)
	f.wantStep("after the probe succeeded", 1)
}

// A job that is denied because of its failback budget does not delay a step: no later step admits it.
func TestFailbackDenialDoesNotDelayStep(t *testing.T) {
	f := newFixture(t)
	f.recoverToStep1()
	f.zone().displacements.jobs["job-3"] = &displacedJob{losses: 2, lastLossOutage: 2, failbacks: 1, lastFailbackOutage: 1, lostAt: f.at.Now}
	f.wantAdmission("a job that returned before", probeRequest("job-3"), DeniedFailbackBudget)
	f.runFor(testPolicy().MinStepTime+time.Second, testMachines)
	f.wantStep("with no other task waiting", 2)
}

// Failed starts of more than one job return the recovery to the previous step. Those of a single job
// do not: it may fail in every zone.
func TestFailedStartsCauseStepBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed []ids.JobID
		want   int
	}{
		{"one job fails", []ids.JobID{"job-1", "job-1", "job-1"}, 1},
		{"two jobs fail", []ids.JobID{"job-1", "job-2", "job-2"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.recoverToStep1()
			f.wantAdmission("a task that does not run yet", probeRequest("job-9"), Admitted)
			for _, job := range c.failed {
				f.manager.TaskFailed(testedZone, job)
			}
			f.runFor(5*time.Second, testMachines)
			f.wantStep("after failed starts", c.want)
		})
	}
}

// runElsewhere starts tasks in the healthy zone, and reports them as running after a second.
func (f *fixture) runElsewhere(tasks int) {
	f.t.Helper()
	requests := make([]StartRequest, tasks)
	for i := range requests {
		requests[i] = StartRequest{Task: ids.TaskRef{Job: "job-0", Index: i}, Machine: "h"}
		f.manager.TaskPlaced(healthyZone, &requests[i], f.at.Now)
	}
	f.runFor(time.Second, testMachines)
	for i := range requests {
		f.manager.TaskRunning(healthyZone, requests[i].Task, f.at.Now)
	}
}

// Starts that take much longer than in zones that do not recover return the recovery to the previous
// step.
func TestSlowStartsCauseStepBack(t *testing.T) {
	f := newFixture(t)
	f.runElsewhere(10)
	f.recoverToStep1()
	f.manager.policy.ProbeTasks, f.manager.policy.MaxRecovery = 6, time.Hour
	tasks := f.startAll(probeRequest("job-1"))
	if len(tasks) != 6 {
		t.Fatalf("%d tasks started, want 6", len(tasks))
	}
	f.runFor(30*time.Second, testMachines)
	f.reportRunning(tasks...)
	f.runFor(observationInterval, testMachines)
	f.wantStep("after starts of 30 s", 0)
	if got := f.status().Incidents[0].Setbacks; got != 1 {
		t.Errorf("%d setbacks, want 1", got)
	}
}

// A recovery ends by its deadline even if all starts fail: otherwise tasks would wait indefinitely
// although there is free capacity.
func TestRecoveryEndsByDeadline(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	for passed := time.Duration(0); f.manager.Condition(testedZone) == Recovering; passed += time.Second {
		f.manager.TaskFailed(testedZone, ids.JobID(fmt.Sprintf("job-%d", passed)))
		f.start(probeRequest("job-1"))
		f.runFor(time.Second, testMachines)
		if passed > testPolicy().MaxRecovery+time.Second {
			t.Fatalf("still recovering after %v", passed)
		}
	}
}

// The last step of a recovery continues while tasks are denied: without its limits, all of them would
// start at the same time.
func TestLastStepWaitsForBacklog(t *testing.T) {
	f := newFixture(t)
	f.manager.policy.MaxRecovery = time.Hour
	f.beginRecovery()
	f.runFor(3*5*time.Second, testMachines) // no task is requested, so each step succeeds
	f.wantStep("without any work", 3)
	for range 5 {
		f.reportRunning(f.startAll(taskRequest("job-1"))...)
		f.runFor(3*time.Second, testMachines) // less than a step, so that tasks are denied in each step
		f.wantCondition("while tasks are denied", Recovering)
	}
	f.runFor(10*time.Second, testMachines)
	f.wantCondition("once no task waits", Serving)
}
