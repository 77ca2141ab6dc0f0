// Package preemption frees resources for waiting jobs that are entitled to them, by stopping
// running tasks.
//
// The scheduler calls Policy.Preempt once in each round, after admission, for the jobs that
// still wait. For each waiting task a planner searches for the machine with the lowest preemption
// cost (planner.go, cheapest_plan.go). The plan for a machine (plan.go) depends on the scope within
// which the job may preempt (scope.go), the tasks that would have to stop (victims.go), and the cost
// of stopping them (cost.go). The result is a plan with the machine, the victims and the cost, or an
// error with the reason why there is none. The policy then stops the victims. The round (round.go,
// plan_totals.go) counts the quota and the resources that its plans use, so that no two plans use
// the same.
//
// The policy stops no more tasks than the waiting jobs need. The resources and quota of tasks that
// are already stopping count as free. The policy must never place a task: admission uses the freed
// resources in a later round. It must never stop a protected task, nor let a borrowing team stop
// tasks within another team's nominal quota.
//
// The types aren't safe for concurrent use. They belong to the goroutine that runs the scheduler.
package preemption

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// evictionBackoff is the interval for which the job of a victim is not admitted, so that the
// freed resources go to the preemptor.
const evictionBackoff = 500 * time.Millisecond

// Settings holds the settings of preemption.
type Settings struct {
	// LendingSuspension is the interval for which a team does not lend its quota after it has
	// preempted a task of another team.
	LendingSuspension time.Duration
}

// RequestClass identifies waiting tasks that fit on the same machines. Classes are comparable. Of
// tasks with equal classes, either all can be placed or none.
type RequestClass any

// Scheduler is the interface to the other components of the scheduler.
type Scheduler interface {
	// LatencySensitive reports whether a job must start faster than a machine boots.
	LatencySensitive(j *cluster.Job) bool
	// Probing reports whether only one task of a job may be placed at a time, because the job has
	// failed everywhere. No task is preempted for such a job.
	Probing(j *cluster.Job) bool
	// MayUse reports whether the other components allow the next pending task of a job on a machine,
	// provided that the machine has enough free resources. The job must have a pending task.
	MayUse(j *cluster.Job, m *cluster.Machine) bool
	// RequestClass returns the class of the next task of a job whose other tasks are in the given
	// zones; ok is false if the result may differ from that for an equal job.
	RequestClass(j *cluster.Job, zones placement.TasksByZone) (class RequestClass, ok bool)
	// RunTime returns the time that a task has been in its phase, less the pauses of this process.
	RunTime(a *cluster.Assignment) time.Duration
	// Stop stops a task. A task that never started is released immediately.
	Stop(a *cluster.Assignment, reason cluster.StopReason)
}

// Policy decides which tasks are stopped for waiting jobs.
type Policy struct {
	settings  Settings
	cluster   *cluster.State
	clock     *clock.Clock
	rounds    *clock.RoundTrigger
	quotas    *quota.Tracker
	teams     []ids.Team
	scheduler Scheduler
	// roundNumber identifies the current round. The state that earlier rounds kept for a machine is
	// stale.
	roundNumber uint64
}

// New returns the policy for one term of leadership.
func New(settings Settings, state *cluster.State, now *clock.Clock, rounds *clock.RoundTrigger, quotas *quota.Tracker, scheduler Scheduler) *Policy {
	return &Policy{
		settings:  settings,
		cluster:   state,
		clock:     now,
		rounds:    rounds,
		quotas:    quotas,
		teams:     quotas.Teams(),
		scheduler: scheduler,
	}
}

// Preempt stops tasks for waiting jobs, in the given order: tasks of lower priority for jobs of
// higher priority, and tasks on borrowed quota for a team below its nominal quota. Candidates are
// the machines that accept tasks. It returns the number of machines that it has examined, which
// measures its work without a clock.
func (p *Policy) Preempt(waiting []*cluster.Job, candidates []*cluster.Machine) (machinesExamined uint64) {
	r := p.newRound(candidates)
	for _, j := range waiting {
		switch {
		case len(j.Pending()) == 0 || p.scheduler.Probing(j):
			continue
		case j.NeedsAllTasks():
			p.preemptForAllTasks(r, j)
		default:
			p.preemptForEachTask(r, j)
		}
	}
	return r.machinesExamined
}

// preemptForEachTask frees resources for as many of a job's pending tasks as possible. The victims of
// a task are stopped before the next task is planned, because it may use the quota that they free.
func (p *Policy) preemptForEachTask(r *round, j *cluster.Job) {
	planner := newPlanner(r, j)
	for range j.Pending() {
		planned, err := planner.planTask()
		if err != nil {
			return
		}
		p.evict(planned.victims, j)
	}
}

// preemptForAllTasks frees resources for either all pending tasks of a job or none.
func (p *Policy) preemptForAllTasks(r *round, j *cluster.Job) {
	planner := newPlanner(r, j)
	plans, err := planner.planAllTasks()
	if err != nil {
		return
	}
	for _, planned := range plans {
		p.evict(planned.victims, j)
	}
}

// evict stops victims for a job.
func (p *Policy) evict(victims []*cluster.Assignment, preemptor *cluster.Job) {
	now := p.clock.Now()
	for _, a := range victims {
		if a.Job.Spec.Team != preemptor.Spec.Team {
			p.quotas.SuspendLending(preemptor.Spec.Team, now.Add(p.settings.LendingSuspension))
		}
		a.Job.Queue.RetryAt = max(a.Job.Queue.RetryAt, now.Add(evictionBackoff))
		p.scheduler.Stop(a, cluster.StopPreempted)
	}
}
