package preemption

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// The costs of a plan are in CPU seconds of lost work, weighted by priority.
const (
	// costWithoutVictims ranks machines on which a task fits as it is before all others.
	costWithoutVictims = -1
	// missingImageCost is added where the image would have to be fetched.
	missingImageCost = 80
	// serviceCost is added for a replica of a service.
	serviceCost = 1000
	// priorityCostFactor multiplies the cost for each step of priority.
	priorityCostFactor = 3
	// restartSeconds is how long the start of a task takes, which is lost too.
	restartSeconds = 2
)

// evictionCost is the cost of stopping a task: its work since the last checkpoint, weighted for
// higher priorities and later attempts. A job ends with its last task, so that a
// task that was restarted before delays its job and is stopped after others.
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

// lostSeconds is how many seconds of a task's run are lost when it stops.
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

// protectionPeriod is how long a protected task must have run before it may be preempted.
// Only the tasks of starving best-effort jobs are protected: all other work may stop them,
// and a task that is stopped at once has started for nothing. With other priorities
// protected, tasks that have run for longer would be stopped in their place.
const protectionPeriod = 45 * time.Second

// protected tells whether a task must not be preempted yet.
func (p *Policy) protected(a *cluster.Assignment) bool {
	return a.Protected && (a.Run.Phase != wire.TaskRunning || p.scheduler.RunTime(a) < protectionPeriod)
}
