package zonerecovery

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The parameters of the histogram of start latencies, and of comparisons of two of them.
const (
	latencyFloorMS           = 1
	latencyCeilingMS         = int64(time.Hour / time.Millisecond)
	latencySignificantDigits = 2
	// latencyPercentile is the percentile that is compared.
	latencyPercentile = 90
	// minLatencySamples is the number of starts that a comparison needs in each histogram.
	minLatencySamples = 5
	// minBaselineLatency is the lowest baseline of a comparison. A start of a second is not slow
	// even if starts elsewhere take a few milliseconds.
	minBaselineLatency = 2 * time.Second
)

// startLatencies holds a histogram of the durations of starts, from placement to running.
type startLatencies struct{ histogram *hdrhistogram.Histogram }

func newStartLatencies() *startLatencies {
	return &startLatencies{hdrhistogram.New(latencyFloorMS, latencyCeilingMS, latencySignificantDigits)}
}

// record adds a latency. A latency outside the range of the histogram is clamped to it.
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

// slowerThan reports whether the 90th percentile is more than factor times that of the baseline. It
// is false while either has too few samples.
func (l *startLatencies) slowerThan(baseline *startLatencies, factor float64) bool {
	latency, ok := l.p90()
	baselineLatency, baselineOK := baseline.p90()
	return ok && baselineOK && float64(latency) > math.Max(float64(baselineLatency), float64(minBaselineLatency))*factor
}
