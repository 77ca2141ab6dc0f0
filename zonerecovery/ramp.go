package zonerecovery

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

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
	startTimes *latencies
}

// enter begins a step.
func (r *ramp) enter(step int, now monotonic.Instant) {
	r.step, r.stepSince = max(0, step), now
	r.started, r.succeeded, r.failed, r.denied, r.relaxed = 0, 0, 0, false, false
	r.failedJobs = map[ids.JobID]bool{}
	if r.startTimes == nil {
		r.startTimes = newLatencies()
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

// latencies is a histogram of start times, from placement to running.
type latencies struct{ histogram *hdrhistogram.Histogram }

// The histogram holds times from 1 ms to an hour, to two digits.
const (
	latencyFloorMS   = 1
	latencyCeilingMS = int64(time.Hour / time.Millisecond)
	latencyDigits    = 2
	// minLatencies is how many starts a comparison needs.
	minLatencies = 5
	// latencyQuantile is what of the starts is compared, in percent.
	latencyQuantile = 90
)

// newLatencies makes an empty histogram.
func newLatencies() *latencies {
	return &latencies{hdrhistogram.New(latencyFloorMS, latencyCeilingMS, latencyDigits)}
}

// record adds a start time. What lies outside the histogram counts as its end.
func (l *latencies) record(took time.Duration) {
	ms := min(max(took.Milliseconds(), latencyFloorMS), latencyCeilingMS)
	_ = l.histogram.RecordValue(ms) // it is inside
}

// reset forgets all start times.
func (l *latencies) reset() { l.histogram.Reset() }

// high is the start time that nine in ten did not exceed; ok is false with too few.
func (l *latencies) high() (took time.Duration, ok bool) {
	if l.histogram.TotalCount() < minLatencies {
		return 0, false
	}
	return time.Duration(l.histogram.ValueAtPercentile(latencyQuantile)) * time.Millisecond, true
}

// slowerThan tells whether starts took so many times as long as others.
func (l *latencies) slowerThan(others *latencies, factor float64) bool {
	mine, ok := l.high()
	usual, known := others.high()
	return ok && known && float64(mine) > math.Max(float64(usual), float64(minSlowStart))*factor
}

// minSlowStart is the least time that starts elsewhere are taken to need: where they take a
// few milliseconds, a second is no trouble.
const minSlowStart = 2 * time.Second
