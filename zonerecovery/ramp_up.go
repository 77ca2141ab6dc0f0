package zonerecovery

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// probeStep is the first step of a recovery, in which a few small tasks show whether the zone works.
const probeStep = 0

// minFailedJobs is the number of jobs that must have failed starts before these count against the
// zone. A single job may fail in every zone, so its failures are no evidence.
const minFailedJobs = 2

// rampDecision represents how a recovery continues.
type rampDecision uint8

const (
	// rampContinue means that the step continues.
	rampContinue rampDecision = iota
	// rampTimedOut means that the recovery has reached its deadline.
	rampTimedOut
	// rampStartsSlow means that starts take much longer than in zones that do not recover.
	rampStartsSlow
	// rampStartsFailing means that too many starts fail.
	rampStartsFailing
	// rampLacksProbes means that tasks were denied in the probe, and none was placed.
	rampLacksProbes
	// rampStepSucceeded means that the step has succeeded.
	rampStepSucceeded
)

// rampUp holds the progress of a recovery through its steps, and the results of starts in the current
// step. It decides when a step has succeeded or failed. The state machine acts on the decision.
type rampUp struct {
	policy *Policy
	// baseline is the latency of starts in zones that do not recover.
	baseline *startLatencies

	began monotonic.Instant
	// step is probeStep, then the number of a step of the settings, and finally Policy.lastStep.
	step      int
	stepBegan monotonic.Instant
	// started, succeeded and failed count the starts of this step. failedJobs holds the jobs
	// whose starts failed.
	started, succeeded, failed int
	failedJobs                 map[ids.JobID]bool
	latencies                  *startLatencies
	// denied reports whether a task was denied in this step that a later step may admit.
	denied bool
	// anyTaskMayProbe reports whether any task may be a probe, because the recovery lacks eligible
	// ones.
	anyTaskMayProbe bool
}

func newRampUp(policy *Policy, baseline *startLatencies) rampUp {
	return rampUp{policy: policy, baseline: baseline, latencies: newStartLatencies()}
}

// begin starts a recovery with the probe.
func (r *rampUp) begin(now monotonic.Instant) {
	r.began = now
	r.enterStep(probeStep, now)
}

// enterStep begins a step and resets the results of starts. A negative step counts as the probe.
func (r *rampUp) enterStep(step int, now monotonic.Instant) {
	r.step, r.stepBegan = max(probeStep, step), now
	r.started, r.succeeded, r.failed = 0, 0, 0
	r.failedJobs = map[ids.JobID]bool{}
	r.latencies.reset()
	r.denied, r.anyTaskMayProbe = false, false
}

// restartTimers sets the beginning of the recovery and of its step to now.
func (r *rampUp) restartTimers(now monotonic.Instant) { r.began, r.stepBegan = now, now }

// pause excludes a duration from the time that the recovery and its step take.
func (r *rampUp) pause(duration time.Duration) {
	r.began, r.stepBegan = r.began.Add(duration), r.stepBegan.Add(duration)
}

// deadline returns when the recovery ends at the latest.
func (r *rampUp) deadline() monotonic.Instant { return r.began.Add(r.policy.MaxRecovery) }

// startPlaced counts a start whose task was placed.
func (r *rampUp) startPlaced() { r.started++ }

// startAborted removes a start that ended before its task ran. The start may belong to an earlier
// step and not be counted, so the count does not fall below 0.
func (r *rampUp) startAborted() { r.started = max(0, r.started-1) }

// startSucceeded counts a start whose task runs.
func (r *rampUp) startSucceeded(latency time.Duration) {
	r.succeeded++
	r.latencies.record(latency)
}

// startFailed counts a start whose task failed.
func (r *rampUp) startFailed(job ids.JobID) {
	r.failed++
	r.failedJobs[job] = true
}

// decide returns how the recovery continues. startsInFlight counts the starts that are not critical.
func (r *rampUp) decide(now monotonic.Instant, startsInFlight int) rampDecision {
	switch {
	case now >= r.deadline():
		return rampTimedOut
	case r.latencies.slowerThan(r.baseline, r.policy.SlowStartFactor):
		return rampStartsSlow
	case now < r.stepBegan.Add(r.policy.MinStepTime):
		return rampContinue
	case r.lacksProbes():
		return rampLacksProbes
	case r.startsFailing():
		return rampStartsFailing
	case r.stepSucceeded(startsInFlight):
		return rampStepSucceeded
	}
	return rampContinue
}

// lacksProbes reports whether tasks were denied in the probe and none was placed.
func (r *rampUp) lacksProbes() bool { return r.step == probeStep && r.denied && r.started == 0 }

// startsFailing reports whether too many starts fail, and those of at least minFailedJobs jobs.
func (r *rampUp) startsFailing() bool {
	finished := float64(r.succeeded + r.failed)
	return len(r.failedJobs) >= minFailedJobs && float64(r.failed) > r.policy.FailureTolerance*finished
}

// stepSucceeded reports whether the recovery may continue with the next step. That is so after
// MinStepSuccesses starts succeeded, after all starts finished and at least one of them succeeded, or
// if there was neither a start nor a denial.
func (r *rampUp) stepSucceeded(startsInFlight int) bool {
	if r.succeeded >= r.policy.MinStepSuccesses {
		return true
	}
	if startsInFlight > 0 {
		return false
	}
	if r.started == 0 {
		return !r.denied
	}
	return r.succeeded > 0 && r.succeeded+r.failed >= r.started
}

// backlogCleared reports whether the last step is reached and no task was denied in it. Until then the
// recovery continues: without its limits, all tasks that wait would start at the same time.
func (r *rampUp) backlogCleared() bool { return r.step >= r.policy.lastStep() && !r.denied }
