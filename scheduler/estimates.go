package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

const (
	// estimateWeight is the weight of the newest run in a class's running mean.
	estimateWeight = 0.02
	// maxEstimateFactor bounds how many times its estimate a single run counts for.
	maxEstimateFactor = 10
)

// runEstimates learns how long the tasks of each class run, compared with their owners'
// estimates. The task lifecycle records runs. Health, autoscaling and zone recovery ask for
// expected run times. It changes no job.
type runEstimates struct {
	// factors holds the running mean, by class, of run time divided by estimate.
	factors map[string]float64
}

// newRunEstimates makes estimates without any run recorded.
func newRunEstimates() *runEstimates {
	return &runEstimates{factors: map[string]float64{}}
}

// expectedRun is how long a task of a job should run. On most days, the owners' estimates
// for a class are all too high or all too low, so they are corrected by the class's factor.
func (e *runEstimates) expectedRun(s *wire.JobSpec) time.Duration {
	factor := 1.0
	if learned := e.factors[s.Class]; learned > 0 {
		factor = learned
	}
	return monotonic.Seconds(factor * s.EstimateS)
}

// recordRun updates the factor of a class from how long a task ran. It ignores jobs without an
// estimate.
func (e *runEstimates) recordRun(s *wire.JobSpec, ran time.Duration) {
	if s.EstimateS <= 0 {
		return
	}
	factor := min(maxEstimateFactor, ran.Seconds()/s.EstimateS)
	if learned := e.factors[s.Class]; learned > 0 {
		factor = (1-estimateWeight)*learned + estimateWeight*factor
	}
	e.factors[s.Class] = factor
}
