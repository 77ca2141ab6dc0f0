package zonerecovery

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Each step's success opens the next.
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

// If no small task comes, any may be a probe after the minimum time of a step.
func TestAnyTaskMayProbeIfNoEligibleTaskIsRequested(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.wantAdmission("at once", taskRequest("job-2"), DeniedProbeOnly)
	f.runFor(testPolicy().MinStepTime, testMachines)
	task := f.wantAdmission("after the minimum time", taskRequest("job-2"), Admitted)
	f.reportRunning(task)
	f.runFor(time.Second, testMachines)
	f.wantStep("after the probe succeeded", 1)
}

// A job that its failback budget keeps away does not delay a step.
func TestFailbackDenialDoesNotDelayStep(t *testing.T) {
	f := newFixture(t)
	f.recoverToStep1()
	f.zone().displacements.jobs["job-3"] = &displacedJob{losses: 2, lastLossOutage: 2, failbacks: 1, lastFailbackOutage: 1, lostAt: f.at.Now}
	f.wantAdmission("a job that returned before", probeRequest("job-3"), DeniedFailbackBudget)
	f.runFor(testPolicy().MinStepTime+time.Second, testMachines)
	f.wantStep("though nothing else waits", 2)
}

// Failed starts of more than one job take a step back; those of one job do not.
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

// runElsewhere lets tasks start and run in the healthy zone, each within a second.
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

// Starts that take far longer than elsewhere take a step back.
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

// However many starts fail, a recovery ends by its deadline, so that nothing waits beside free
// capacity.
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

// In its last step the zone goes on recovering while tasks are denied: all of them would start at
// once otherwise.
func TestLastStepWaitsForBacklog(t *testing.T) {
	f := newFixture(t)
	f.manager.policy.MaxRecovery = time.Hour
	f.beginRecovery()
	f.runFor(3*5*time.Second, testMachines) // no work: on to the full share
	f.wantStep("without any work", 3)
	for range 5 {
		f.reportRunning(f.startAll(taskRequest("job-1"))...)
		f.runFor(3*time.Second, testMachines) // less than a step, so that tasks are denied in each
		f.wantCondition("while tasks are denied", Recovering)
	}
	f.runFor(10*time.Second, testMachines)
	f.wantCondition("once nothing waits", Serving)
}
