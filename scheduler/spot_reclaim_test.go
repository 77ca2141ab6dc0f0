package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// A task may be kept on a spot instance that is about to be reclaimed only if it is running and
// expected to complete before the reclaim. Any other task must be evicted gracefully before its machine
// is lost.
func TestCompletesBeforeSpotReclaim(t *testing.T) {
	const began = monotonic.Instant(time.Hour)
	reclaim := began.Add(time.Minute)
	for _, c := range []struct {
		name      string
		spec      wire.JobSpec
		phase     wire.TaskState
		completes bool
	}{
		{"running, short enough", wire.JobSpec{EstimateS: 59}, wire.TaskRunning, true},
		{"running, too long", wire.JobSpec{EstimateS: 60}, wire.TaskRunning, false},
		{"fetches its image", wire.JobSpec{EstimateS: 1}, wire.TaskFetching, false},
		{"writes a checkpoint", wire.JobSpec{EstimateS: 1}, wire.TaskCheckpointing, false},
		{"service", wire.JobSpec{EstimateS: 1, Service: true}, wire.TaskRunning, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &spotDrainer{estimates: newRunEstimates()}
			a := &cluster.Assignment{Job: &cluster.Job{Spec: &c.spec}}
			a.Run.Phase, a.Run.PhaseSince = c.phase, began
			if got := d.completesBy(a, reclaim); got != c.completes {
				t.Errorf("completesBy = %v", got)
			}
		})
	}
}
