package zonerecovery

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histogram of start latencies.
const (
	latencyFloorMS           = 1
	latencyCeilingMS         = int64(time.Hour / time.Millisecond)
	latencySignificantDigits = 2
	// latencyPercentile is the percentile that is compared.
	latencyPercentile = 90
	// minLatencySamples is how many starts a comparison needs.
	minLatencySamples = 5
	// minBaselineLatency is the lowest baseline of a comparison. If starts elsewhere take a few
	// milliseconds, a second is not slow.
	minBaselineLatency = 2 * time.Second
)

// startLatencies is a histogram of how long starts took, from placement to running.
type startLatencies struct{ histogram *hdrhistogram.Histogram }

func newStartLatencies() *startLatencies {
	return &startLatencies{hdrhistogram.New(latencyFloorMS, latencyCeilingMS, latencySignificantDigits)}
}

// record adds a latency. One outside the range of the histogram is clamped to it.
func (l *startLatencies) record(latency time.Duration) {
	milliseconds := min(max(latency.Milliseconds(), latencyFloorMS), latencyCeilingMS)
	if err := l.histogram.RecordValue(milliseconds); err != nil {
		panic(err) // the value was clamped to the range
	}
}

// reset removes all latencies.
func (l *startLatencies) reset() { l.histogram.Reset() }

// p90 returns the 90th percentile. ok is false if there are too few samples.
func (l *startLatencies) p90() (latency time.Duration, ok bool) {
	if l.histogram.TotalCount() < minLatencySamples {
		return 0, false
	}
	return time.Duration(l.histogram.ValueAtPercentile(latencyPercentile)) * time.Millisecond, true
}

// p90MS returns the 90th percentile in milliseconds, 0 if there are too few samples.
func (l *startLatencies) p90MS() int64 {
	latency, _ := l.p90()
	return latency.Milliseconds()
}

// slowerThan reports whether the 90th percentile exceeds that of the baseline by the factor. It
// is false while either has too few samples.
func (l *startLatencies) slowerThan(baseline *startLatencies, factor float64) bool {
	latency, ok := l.p90()
	baselineLatency, baselineOK := baseline.p90()
	return ok && baselineOK && float64(latency) > math.Max(float64(baselineLatency), float64(minBaselineLatency))*factor
}
