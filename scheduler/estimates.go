package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

const (
	// estimateWeight is the weight of the newest run in the exponential moving average of a class.
	estimateWeight = 0.02
	// maxEstimateFactor limits the ratio of run time to estimate that a single run contributes.
	maxEstimateFactor = 10
)

// runEstimates tracks how long the tasks of each class run compared with their owners' estimates.
// The task lifecycle records runs. Health checks, autoscaling and zone recovery query expected run
// times. runEstimates does not modify jobs.
type runEstimates struct {
	// factors holds, by class, the exponential moving average of run time divided by estimate.
	factors map[string]float64
}

// newRunEstimates returns estimates without any recorded run.
func newRunEstimates() *runEstimates {
	return &runEstimates{factors: map[string]float64{}}
}

// expectedRun returns the expected run time of a task of a job. The owners' estimates for a class
// tend to be all too high or all too low on a given day, so they are multiplied by the class's
// factor.
func (e *runEstimates) expectedRun(s *wire.JobSpec) time.Duration {
	factor := 1.0
	if average := e.factors[s.Class]; average > 0 {
		factor = average
	}
	return monotonic.Seconds(factor * s.EstimateS)
}

// recordRun updates the factor of a class with the run time of a task. It ignores jobs without an
// estimate.
func (e *runEstimates) recordRun(s *wire.JobSpec, ran time.Duration) {
	if s.EstimateS <= 0 {
		return
	}
	factor := min(maxEstimateFactor, ran.Seconds()/s.EstimateS)
	if average := e.factors[s.Class]; average > 0 {
		factor = (1-estimateWeight)*average + estimateWeight*factor
	}
	e.factors[s.Class] = factor
}
