package preemption

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// The costs of a plan, in CPU seconds of lost work weighted by priority.
const (
	// costWithoutVictims ranks machines on which a task fits without preemption before all others.
	costWithoutVictims = -1
	// missingImageCost is added for a machine that would have to fetch the image.
	missingImageCost = 80
	// serviceCost is added for a replica of a service.
	serviceCost = 1000
	// priorityCostFactor multiplies the cost once for each priority level above the lowest.
	priorityCostFactor = 3
	// restartSeconds is the time that a task takes to start, which is also lost.
	restartSeconds = 2
)

// evictionCost returns the cost of stopping a task: its work since the last checkpoint, weighted for
// higher priorities and later attempts. A job is done only when its last task is done. A task that
// was restarted before therefore delays its job, and is stopped after other tasks.
func (p *Policy) evictionCost(a *cluster.Assignment) float64 {
	spec := a.Job.Spec
	cost := (p.lostSeconds(a) + restartSeconds) * spec.CPUs * float64(a.Attempt)
	for range int(a.Job.Priority()) {
		cost *= priorityCostFactor
	}
	if spec.Service {
		cost += serviceCost
	}
	return cost
}

// lostSeconds returns the seconds of a task's run that are lost when it stops.
func (p *Policy) lostSeconds(a *cluster.Assignment) float64 {
	if a.Run.Phase != wire.TaskRunning {
		return 0
	}
	lost := p.clock.Now().Sub(a.Run.PhaseSince).Seconds()
	if spec := a.Job.Spec; spec.CheckpointEveryS > 0 {
		lost = min(lost, spec.CheckpointEveryS) + spec.CheckpointS
	}
	return lost
}

// protectionPeriod is how long a protected task must have run before it may be preempted. Only
// tasks of starving best-effort jobs are protected: all other jobs may preempt them, and a task that
// is preempted immediately has started without any benefit. If tasks of other priorities were
// protected too, tasks that have run for longer would be preempted instead.
const protectionPeriod = 45 * time.Second

// protected reports whether a task must not be preempted yet.
func (p *Policy) protected(a *cluster.Assignment) bool {
	return a.Protected && (a.Run.Phase != wire.TaskRunning || p.scheduler.RunTime(a) < protectionPeriod)
}
