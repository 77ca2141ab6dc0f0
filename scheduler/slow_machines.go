package scheduler

import (
	"math"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

const (
	// slownessLimit is the slowness from which a machine counts as slow: the logarithm to
	// base 2 of one and a half times as long.
	slownessLimit = 0.58
	// slownessWeight is the weight of the newest job in a machine's running mean.
	slownessWeight = 0.4
	// slowPeriod is how long a machine that was found slow is ranked behind all others.
	slowPeriod = time.Minute
	// slowStreakLimit is for how many jobs in a row a machine's running mean must be at
	// slownessLimit or above until it is quarantined.
	slowStreakLimit = 4
	// minTasksToCompare is the least number of tasks of a job that is compared. The
	// results of fewer are not significant.
	minTasksToCompare = 4
	// minRunTime is the least run time that is compared. Heartbeats cannot show
	// shorter times.
	minRunTime = 100 * time.Millisecond
)

// slownessDetector finds machines on which tasks take longer than their siblings elsewhere.
// The task lifecycle calls it for each task that succeeded. It ranks slow machines behind
// others and quarantines them, but takes no task off a machine.
type slownessDetector struct {
	cluster *cluster.State
	clock   *clock.Clock
}

// compareRunTimes records the run time of a task that succeeded, before the cluster state
// marks the task as done. With the last task of a job it compares the machines that the tasks
// ran on: as long as some run, only the quick ones are known. Tasks of one job differ too, so one
// job alone is weak evidence. One slow job ranks a machine behind all
// others, and several in a row quarantine it.
func (d *slownessDetector) compareRunTimes(a *cluster.Assignment) {
	j := a.Job
	if j.Spec.Service || a.Run.Phase != wire.TaskRunning || len(j.Tasks()) < minTasksToCompare {
		return
	}
	if j.Failures.RunTimes == nil {
		j.Failures.RunTimes = map[ids.MachineID][]time.Duration{}
	}
	ran := max(runTime(d.clock, a), minRunTime)
	j.Failures.RunTimes[a.Machine.ID] = append(j.Failures.RunTimes[a.Machine.ID], ran)
	if lastTask := j.Done()+1 == len(j.Tasks()); lastTask {
		d.compareMachines(j)
	}
}

// compareMachines compares each machine that a job's tasks ran on with the others.
func (d *slownessDetector) compareMachines(j *cluster.Job) {
	all := 0
	var total time.Duration
	for _, runs := range j.Failures.RunTimes {
		all += len(runs)
		total += sumOf(runs)
	}
	for id, runs := range j.Failures.RunTimes {
		m := d.cluster.Machine(id)
		elsewhere := all - len(runs)
		if m == nil || elsewhere < minTasksToCompare/2 {
			continue
		}
		here := sumOf(runs)
		usual := float64(total-here) / float64(elsewhere)
		d.updateSlowness(m, float64(here)/float64(len(runs))/usual)
	}
}

// updateSlowness updates a machine's slowness with how many times as long as elsewhere one job's tasks
// took there.
func (d *slownessDetector) updateSlowness(m *cluster.Machine, ratio float64) {
	health := &m.Health
	health.Slowness = (1-slownessWeight)*health.Slowness + slownessWeight*math.Log2(ratio)
	if health.Slowness < slownessLimit {
		health.SlowStreak = 0
		return
	}
	health.SlowUntil = d.clock.Now().Add(slowPeriod)
	health.SlowStreak++
	if health.SlowStreak >= slowStreakLimit {
		health.QuarantinedUntil = d.clock.Now().Add(quarantinePeriod)
		health.QuarantinedForFailures = false
	}
}

// sumOf adds run times up.
func sumOf(runs []time.Duration) time.Duration {
	var sum time.Duration
	for _, run := range runs {
		sum += run
	}
	return sum
}
