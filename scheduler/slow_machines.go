package scheduler

import (
	"math"
	"time"

	"ospreystile.example/ospreystile/ids"
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
func (c *Core) compareRunTimes(a *assignment) {
	j := a.job
	if j.spec.Service || a.phase != wire.TaskRunning || len(j.tasks) < minTasksToCompare {
		return
	}
	if j.runTimes == nil {
		j.runTimes = map[ids.MachineID][]time.Duration{}
	}
	j.runTimes[a.machine.host] = append(j.runTimes[a.machine.host], max(c.runTime(a), 100*time.Millisecond))
	if j.done+1 < len(j.tasks) {
		return
	}
	var sum time.Duration
	n := 0
	for _, runs := range j.runTimes {
		for _, r := range runs {
			sum += r
			n++
		}
	}
	for h, runs := range j.runTimes {
		m := c.registry.machines[h]
		if m == nil || n-len(runs) < minTasksToCompare/2 {
			continue
		}
		var here time.Duration
		for _, r := range runs {
			here += r
		}
		usual := float64(sum-here) / float64(n-len(runs))
		m.slowness = 0.6*m.slowness + 0.4*math.Log2(float64(here)/float64(len(runs))/usual)
		if m.slowness < slownessLimit {
			m.slowStreak = 0
			continue
		}
		m.slowUntil = c.now.Add(slowPeriod)
		if m.slowStreak++; m.slowStreak >= slowStreakLimit {
			m.quarantinedUntil, m.quarantinedForFailures = c.now.Add(quarantinePeriod), false
		}
	}
}
