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
	// slownessLimit is the slowness from which a machine counts as slow. It is the base-2
	// logarithm of a run time ratio of 1.5.
	slownessLimit = 0.58
	// slownessWeight is the weight of the newest job in the exponential moving average of a
	// machine's slowness.
	slownessWeight = 0.4
	// slowPeriod is how long a machine that was found to be slow is ranked behind all others.
	slowPeriod = time.Minute
	// slowStreakLimit is the number of consecutive jobs after which a machine is quarantined if
	// its slowness was at least slownessLimit after each of them.
	slowStreakLimit = 4
	// minTasksToCompare is the minimum number of tasks of a job whose run times are compared.
	// The results of fewer tasks are not significant.
	minTasksToCompare = 4
	// minRunTime is the minimum run time that is compared. Shorter times are raised to it,
	// because heartbeats do not resolve them.
	minRunTime = 100 * time.Millisecond
)

// slownessDetector detects machines on which tasks take longer than other tasks of the same job on
// other machines. The task lifecycle calls it for each task that succeeded. It causes slow machines
// to be ranked behind others and quarantines them, but it stops no task.
type slownessDetector struct {
	cluster *cluster.State
	clock   *clock.Clock
}

// compareRunTimes records the run time of a task that succeeded. It must be called before the cluster
// state marks the task as done. When the last task of a job succeeds, it compares the machines on
// which the tasks ran. While some tasks still run, only the run times of the fast ones are known.
// Tasks of one job also differ in their work, so a single job is weak evidence: one slow job ranks a
// machine behind all others, and only several in a row quarantine it.
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
	totalRuns := 0
	var totalTime time.Duration
	for _, runs := range j.Failures.RunTimes {
		totalRuns += len(runs)
		totalTime += sumOf(runs)
	}
	for id, runs := range j.Failures.RunTimes {
		m := d.cluster.Machine(id)
		runsElsewhere := totalRuns - len(runs)
		if m == nil || runsElsewhere < minTasksToCompare/2 {
			continue
		}
		timeHere := sumOf(runs)
		meanElsewhere := float64(totalTime-timeHere) / float64(runsElsewhere)
		d.updateSlowness(m, float64(timeHere)/float64(len(runs))/meanElsewhere)
	}
}

// updateSlowness updates a machine's slowness after a job. ratio is the mean run time of the job's
// tasks on the machine divided by their mean run time on other machines.
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

// sumOf returns the sum of run times.
func sumOf(runs []time.Duration) time.Duration {
	var sum time.Duration
	for _, run := range runs {
		sum += run
	}
	return sum
}
