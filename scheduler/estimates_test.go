package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/wire"
)

func TestEstimatesFollowWhatTasksTook(t *testing.T) {
	e := &runEstimates{estimateFactors: map[string]float64{}}
	spec := &wire.JobSpec{Class: "c", EstimateS: 10}
	if got := e.expectedRun(spec); got != 10*time.Second {
		t.Errorf("nothing seen: %v", got)
	}
	e.recordRun(spec, 20*time.Second)
	if got := e.expectedRun(spec); got != 20*time.Second {
		t.Errorf("one seen: %v", got)
	}
	for range 300 {
		e.recordRun(spec, 5*time.Second)
	}
	if got := e.expectedRun(spec); got < 5*time.Second || got > 5500*time.Millisecond {
		t.Errorf("most took half: %v", got)
	}
	e.recordRun(&wire.JobSpec{Class: "d"}, time.Hour) // no estimate, nothing to learn
	if got := e.expectedRun(&wire.JobSpec{Class: "d", EstimateS: 10}); got != 10*time.Second {
		t.Errorf("another class: %v", got)
	}
}
