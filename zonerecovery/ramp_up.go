package zonerecovery

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// probeStep is the first step of a recovery: a few small tasks show that the zone works.
const probeStep = 0

// minFailedJobs is how many jobs must have failed starts until these count against the zone. One
// job that fails everywhere is no evidence.
const minFailedJobs = 2

// rampDecision is how a recovery goes on.
type rampDecision uint8

const (
	// rampContinue: the step goes on.
	rampContinue rampDecision = iota
	// rampTimedOut: the recovery has taken as long as it may.
	rampTimedOut
	// rampStartsSlow: starts take much longer than elsewhere.
	rampStartsSlow
	// rampStartsFailing: too many starts fail.
	rampStartsFailing
	// rampLacksProbes: tasks were denied, but none of them may be a probe.
	rampLacksProbes
	// rampStepSucceeded: the step has succeeded.
	rampStepSucceeded
)

// rampUp owns the progress of a recovery through its steps, and the evidence of the present step.
// It decides when a step has succeeded or failed; the state machine acts on that.
type rampUp struct {
	policy *Policy
	// baseline is the latency of starts in zones that do not recover.
	baseline *startLatencies

	began monotonic.Instant
	// step is probeStep, then the number of a share, up to Policy.lastStep.
	step      int
	stepBegan monotonic.Instant
	// started, succeeded and failed count the starts of this step. failedJobs are the jobs
	// whose starts failed.
	started, succeeded, failed int
	failedJobs                 map[ids.JobID]bool
	latencies                  *startLatencies
	// denied is set if a task was denied in this step, so that a later step matters.
	denied bool
	// anyTaskMayProbe is set if any task may be a probe, since no eligible one came.
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

// enterStep begins a step without any evidence. A negative step counts as the probe.
func (r *rampUp) enterStep(step int, now monotonic.Instant) {
	r.step, r.stepBegan = max(probeStep, step), now
	r.started, r.succeeded, r.failed = 0, 0, 0
	r.failedJobs = map[ids.JobID]bool{}
	r.latencies.reset()
	r.denied, r.anyTaskMayProbe = false, false
}

// restartTimers lets the recovery and its step begin now.
func (r *rampUp) restartTimers(now monotonic.Instant) { r.began, r.stepBegan = now, now }

// pause excludes a duration from the time that the recovery and its step take.
func (r *rampUp) pause(duration time.Duration) {
	r.began, r.stepBegan = r.began.Add(duration), r.stepBegan.Add(duration)
}

// deadline is when the recovery ends at the latest.
func (r *rampUp) deadline() monotonic.Instant { return r.began.Add(r.policy.MaxRecovery) }

// startPlaced counts a start.
func (r *rampUp) startPlaced() { r.started++ }

// startAborted removes a start that ended before its task ran. It may belong to an earlier step.
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

// decide returns how the recovery goes on. startsInFlight are the starts that are not critical.
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

// lacksProbes reports whether tasks were denied in the probe, and none has started.
func (r *rampUp) lacksProbes() bool { return r.step == probeStep && r.denied && r.started == 0 }

// startsFailing reports whether too many starts fail, of too many jobs.
func (r *rampUp) startsFailing() bool {
	finished := float64(r.succeeded + r.failed)
	return len(r.failedJobs) >= minFailedJobs && float64(r.failed) > r.policy.FailureTolerance*finished
}

// stepSucceeded reports whether the starts of this step are evidence enough for the next: so many have
// succeeded, or all that there were, or no task wanted to start.
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

// backlogCleared reports whether no task was denied in the last step. Until then the recovery goes
// on: all tasks that wait would start at once otherwise.
func (r *rampUp) backlogCleared() bool { return r.step >= r.policy.lastStep() && !r.denied }
