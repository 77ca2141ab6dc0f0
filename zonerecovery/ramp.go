package zonerecovery

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// probeStep is the first step of a recovery: a few small tasks show that the zone works.
const probeStep = 0

// ramp is the progress of a return.
type ramp struct {
	// step is 0 for the probe, then the number of the share.
	step      int
	stepSince monotonic.Instant
	began     monotonic.Instant
	// started, succeeded and failed count the starts of this step; failedJobs are whose
	// starts failed, since one job that fails everywhere says nothing of the zone.
	started, succeeded, failed int
	failedJobs                 map[ids.JobID]bool
	// denied tells that work was turned away in this step, so there is something to prove.
	denied bool
	// relaxed tells that any task may prove the zone, since no small one came.
	relaxed bool
	// setbacks counts the steps that were taken back.
	setbacks   int
	startTimes *startLatencies
}

// enter begins a step.
func (r *ramp) enter(step int, now monotonic.Instant) {
	r.step, r.stepSince = max(0, step), now
	r.started, r.succeeded, r.failed, r.denied, r.relaxed = 0, 0, 0, false, false
	r.failedJobs = map[ids.JobID]bool{}
	if r.startTimes == nil {
		r.startTimes = newStartLatencies()
	}
	r.startTimes.reset()
}

// standStill leaves a time out of the return.
func (r *ramp) standStill(d time.Duration) {
	r.began, r.stepSince = r.began.Add(d), r.stepSince.Add(d)
}

// fail notes that a start failed.
func (r *ramp) fail(job ids.JobID) {
	r.failed++
	r.failedJobs[job] = true
}

// minFailures is how many starts of how many jobs must fail until it counts against the
// zone rather than against a job.
const minFailures = 2

// failing tells whether too many starts fail.
func (r *ramp) failing(tolerance float64) bool {
	return len(r.failedJobs) >= minFailures && float64(r.failed) > tolerance*float64(r.succeeded+r.failed)
}

// lacksProbes tells whether work was turned away from the probe, and none came that may
// prove the zone.
func (r *ramp) lacksProbes() bool { return r.step == 0 && r.denied && r.started == 0 }

// proven tells whether the starts of this step have shown enough for the next one: so many
// have succeeded, or all that there were, or there was nothing to start.
func (r *ramp) proven(successes, underWay int) bool {
	if r.succeeded >= successes {
		return true
	}
	return underWay == 0 && (r.started == 0 && !r.denied || r.started > 0 && r.succeeded+r.failed >= r.started && r.succeeded > 0)
}
