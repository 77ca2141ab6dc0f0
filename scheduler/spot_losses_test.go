package scheduler

import (
	"math"
	"testing"
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// The expected number of reclaims of a task's spot instance must follow the observed loss rate and the
// task's estimate, with the prior of one loss in half an hour before anything is observed.
func TestSpotRisk(t *testing.T) {
	for _, c := range []struct {
		name      string
		uptime    time.Duration
		losses    int
		estimateS float64
		want      float64
	}{
		{"nothing observed: one loss in half an hour", 0, 0, 900, 0.5},
		{"no loss in a long time", 9*time.Hour + 30*time.Minute, 0, 3600, 0.1},
		{"losses", 90 * time.Minute, 3, 3600, 2},
		{"a task without an estimate", 0, 5, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &spotLosses{uptime: c.uptime}
			for range c.losses {
				l.record()
			}
			j := &cluster.Job{Spec: &wire.JobSpec{EstimateS: c.estimateS}}
			if got := l.risk(j); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("risk is %v, want %v", got, c.want)
			}
		})
	}
}
