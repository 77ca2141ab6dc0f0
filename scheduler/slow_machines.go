package scheduler

import (
	"math"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

const (
	slownessLimit     = 0.58 // one and a half times as long
	slowPeriod        = time.Minute
	slowStreakLimit   = 4
	minTasksToCompare = 4 // a job of fewer tasks says too little
)

// compareRunTimes compares the machines that a job's tasks ran on, once all are done.
// Before that, those still running always look slow beside those that were
// quick. Tasks of a job differ too, so one job alone says little; several in a
// row set a machine behind all others, and more of them set it aside.
func (c *Core) compareRunTimes(a *cluster.Assignment) {
	j := a.Job
	if j.Spec.Service || a.Run.Phase != wire.TaskRunning || len(j.Tasks()) < minTasksToCompare {
		return
	}
	if j.Failures.RunTimes == nil {
		j.Failures.RunTimes = map[ids.MachineID][]time.Duration{}
	}
	j.Failures.RunTimes[a.Machine.ID] = append(j.Failures.RunTimes[a.Machine.ID], max(runTime(c.clock, a), 100*time.Millisecond))
	if j.Done()+1 < len(j.Tasks()) {
		return
	}
	var sum time.Duration
	n := 0
	for _, runs := range j.Failures.RunTimes {
		for _, r := range runs {
			sum += r
			n++
		}
	}
	for h, runs := range j.Failures.RunTimes {
		m := c.cluster.Machine(h)
		if m == nil || n-len(runs) < minTasksToCompare/2 {
			continue
		}
		var here time.Duration
		for _, r := range runs {
			here += r
		}
		usual := float64(sum-here) / float64(n-len(runs))
		m.Health.Slowness = 0.6*m.Health.Slowness + 0.4*math.Log2(float64(here)/float64(len(runs))/usual)
		if m.Health.Slowness < slownessLimit {
			m.Health.SlowStreak = 0
			continue
		}
		m.Health.SlowUntil = c.clock.Now().Add(slowPeriod)
		if m.Health.SlowStreak++; m.Health.SlowStreak >= slowStreakLimit {
			m.Health.QuarantinedUntil, m.Health.QuarantinedForFailures = c.clock.Now().Add(quarantinePeriod), false
		}
	}
}
