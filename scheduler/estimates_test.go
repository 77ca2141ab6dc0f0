package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// Owners' estimates may be far off. Expected run times must follow the recorded runs of the class, but
// a single extreme run must have a limited effect.
func TestExpectedRunFollowsRecordedRuns(t *testing.T) {
	const class, estimateS = "c", 10
	for _, c := range []struct {
		name     string
		recorded []time.Duration
		min, max time.Duration
	}{
		{"no run", nil, 10 * time.Second, 10 * time.Second},
		{"one run", repeated(1, 20*time.Second), 20 * time.Second, 20 * time.Second},
		{"later runs took half the estimate", append(repeated(1, 20*time.Second), repeated(300, 5*time.Second)...), 5 * time.Second, 5500 * time.Millisecond},
		{"one run far beyond the estimate", repeated(1, time.Hour), maxEstimateFactor * 10 * time.Second, maxEstimateFactor * 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newRunEstimates()
			spec := &wire.JobSpec{Class: class, EstimateS: estimateS}
			for _, ran := range c.recorded {
				e.recordRun(spec, ran)
			}
			if got := e.expectedRun(spec); got < c.min || got > c.max {
				t.Errorf("expected run %v, want %v to %v", got, c.min, c.max)
			}
		})
	}
}

// repeated returns n equal run times.
func repeated(n int, ran time.Duration) []time.Duration {
	runs := make([]time.Duration, n)
	for i := range runs {
		runs[i] = ran
	}
	return runs
}

// A run of a job without an estimate has no ratio to one, so it must not change expected run times.
func TestRunsWithoutEstimateAreIgnored(t *testing.T) {
	e := newRunEstimates()
	e.recordRun(&wire.JobSpec{Class: "d"}, time.Hour)
	if got := e.expectedRun(&wire.JobSpec{Class: "d", EstimateS: 10}); got != 10*time.Second {
		t.Errorf("expected run %v, want the estimate", got)
	}
}
