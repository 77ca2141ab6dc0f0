package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// runEstimates learns how long tasks of each class run against their owners'
// estimates.
type runEstimates struct {
	// estimateFactors holds, by class, the time that tasks took as a part of their
	// estimates.
	estimateFactors map[string]float64
}

// expectedRun is how long a task should run. Owners' estimates for a class are mostly too
// high or mostly too low on some days, which recordRun learns.
func (e *runEstimates) expectedRun(s *wire.JobSpec) time.Duration {
	factor := 1.0
	if r := e.estimateFactors[s.Class]; r > 0 {
		factor = r
	}
	return monotonic.Seconds(factor * s.EstimateS)
}

// recordRun takes in how long a task of a class ran against its estimate.
func (e *runEstimates) recordRun(s *wire.JobSpec, ran time.Duration) {
	if s.EstimateS <= 0 {
		return
	}
	r := min(10, ran.Seconds()/s.EstimateS)
	if old := e.estimateFactors[s.Class]; old > 0 {
		r = 0.98*old + 0.02*r
	}
	e.estimateFactors[s.Class] = r
}
