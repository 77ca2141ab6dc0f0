// Package preemption frees resources for waiting jobs that are entitled to them, by stopping
// tasks that run.
//
// The scheduler calls Policy.Preempt once in each round, after admission, for the jobs that
// still wait. For each waiting task a planner looks for the machine on which preemption costs
// least (planner.go, cheapest_plan.go). What a machine offers (plan.go) depends on the claim by
// which the job may preempt (claim.go), the tasks that would have to stop (victims.go), and the
// cost of that (cost.go). The result is a plan with the machine,
// the victims and the cost, or an error that says why there is none. The policy then stops
// the victims. The round (round.go, ledger.go) counts the quota and the resources that its
// plans use, so that no two of them use the same.
//
// The policy stops no more than the waiting work needs. Tasks that are stopping already count
// as free. It must never place a task: admission uses the freed resources in a later round. It
// must never stop a protected task, nor let a borrowing team stop work within another's nominal
// quota.
//
// All types belong to the goroutine that runs the scheduler.
package preemption

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// evictionBackoff is how long the job of a victim stays out of admission, so that the
// freed resources go to the preemptor.
const evictionBackoff = 500 * time.Millisecond

// Settings are the settings of preemption.
type Settings struct {
	// LendingSuspension is how long a team lends none of its quota after it has preempted a
	// task of another team.
	LendingSuspension time.Duration
}

// RequestClass identifies waiting tasks that the same machines can take. Classes are
// comparable. Of tasks with equal classes, all can be placed or none.
type RequestClass any

// Scheduler is what preemption asks of the scheduler that it is a part of.
type Scheduler interface {
	// LatencySensitive tells whether a job must start sooner than a machine boots.
	LatencySensitive(j *cluster.Job) bool
	// Probing tells whether a job may place only one task at a time, as it has failed
	// everywhere. Nothing is preempted for it.
	Probing(j *cluster.Job) bool
	// MayUse tells whether the next pending task of a job could go to a machine with
	// enough free resources, as far as other policies are concerned. The job must have a pending
	// task.
	MayUse(j *cluster.Job, m *cluster.Machine) bool
	// RequestClass classifies the next task of a job whose other tasks are in the given
	// zones; ok is false if the result may differ from that for an equal job.
	RequestClass(j *cluster.Job, zones placement.TasksByZone) (class RequestClass, ok bool)
	// RunTime is how long a task has been in its phase, less the pauses of this process.
	RunTime(a *cluster.Assignment) time.Duration
	// Stop stops a task. One that never started is released at once.
	Stop(a *cluster.Assignment, why cluster.StopReason)
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
	// roundNumber tells which notes on machines are of the present round.
	roundNumber uint64
}

// New makes the policy of one term of leadership.
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

// Preempt stops tasks for waiting jobs, in the given order: tasks of lower priority for jobs
// of higher, and tasks on borrowed quota for a team below its nominal quota. Candidates are
// the machines that take tasks. It returns how many machines it has examined, which measures
// its work without a clock.
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

// preemptForEachTask frees resources for as many of a job's pending tasks as possible. Victims
// stop before the next task is planned for, as it may use the quota that they free.
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

// preemptForAllTasks frees resources for all pending tasks of a job, or for none.
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
