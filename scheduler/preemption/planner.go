package preemption

import (
	"maps"
	"slices"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// planner plans preemption for the pending tasks of one job, one task after the other.
type planner struct {
	round     *round
	scheduler Scheduler
	job       *cluster.Job
	// zones holds the number of the job's tasks in each zone, including planned tasks.
	zones placement.TasksByZone
	// plans holds a plan for each machine on which the task fits within plansScope; nil: not listed
	// yet. Their costs may be stale. They only rise during a round.
	plans      []plan
	plansScope preemptionScope
}

// newPlanner returns the planner for a job in a round.
func newPlanner(r *round, j *cluster.Job) planner {
	return planner{round: r, scheduler: r.policy.scheduler, job: j, zones: maps.Clone(j.Zones())}
}

// planAllTasks plans for all pending tasks of the job. If there is no plan for one of them, it
// reverts the changes to the round for the others.
func (p *planner) planAllTasks() ([]committedPlan, error) {
	saved := p.round.totals.clone()
	var plans []committedPlan
	for range p.job.Pending() {
		planned, err := p.planTask()
		if err != nil {
			p.round.totals = saved
			p.restoreExpectedFree(plans)
			return nil, err
		}
		plans = append(plans, planned)
	}
	return plans, nil
}

// restoreExpectedFree reverts the expected free resources of the plans' machines, starting with the
// last plan.
func (p *planner) restoreExpectedFree(plans []committedPlan) {
	for _, planned := range slices.Backward(plans) {
		p.round.machineState(planned.machine).ExpectedFree = planned.freeBefore
	}
}

// planTask plans for one more pending task of the job at the lowest cost, and commits the plan. The
// error is one of the reasons in plan.go.
func (p *planner) planTask() (committedPlan, error) {
	scope := p.round.scopeOf(p.job)
	if scope == scopeNone {
		return committedPlan{}, errNoQuota
	}
	if scope == scopeOwnTeam && !p.round.anyPreemptible(p.job, scope) {
		return committedPlan{}, errNothingPreemptible
	}
	class, hasClass := p.scheduler.RequestClass(p.job, p.zones)
	request := infeasibleRequest{class, p.job.Spec.Team, scope}
	if hasClass && p.round.infeasible[request] {
		return committedPlan{}, errKnownInfeasible
	}
	cheapest := p.cheapestPlan(scope)
	if cheapest == nil {
		if hasClass {
			p.round.infeasible[request] = true
		}
		return committedPlan{}, errNoMachine
	}
	planned := committedPlan{plan: *cheapest, freeBefore: p.round.machineState(cheapest.machine).ExpectedFree}
	p.allowColdStart(planned.machine)
	p.commit(planned.plan)
	p.update(cheapest)
	return planned, nil
}

// allowColdStart allows admission to place tasks of a latency-sensitive job on machines without its
// image if the planned machine lacks the image.
func (p *planner) allowColdStart(m *cluster.Machine) {
	j := p.job
	if j.Queue.AllowColdStart || m.HasImage(j.Spec.Image) || !p.scheduler.LatencySensitive(j) {
		return
	}
	j.Queue.AllowColdStart = true
	p.round.policy.rounds.MarkDue()
}

// commit counts a plan in the round: the zone, the quota and the resources that the task
// will use, and the quota and resources that the victims will free.
func (p *planner) commit(planned plan) {
	// The job's own counts include only placed tasks. With those alone, two replicas could be
	// planned in a zone that may only have one.
	p.zones[planned.machine.Zone()]++
	machineState, totals := p.round.machineState(planned.machine), &p.round.totals
	totals.reserve(p.job.Spec.Team, p.job.Amount())
	for _, a := range planned.victims {
		totals.victims[a] = true
		totals.free(a.Job.Spec.Team, a.Job.Amount())
		machineState.ExpectedFree = machineState.ExpectedFree.Plus(a.Job.TaskResources())
	}
	machineState.ExpectedFree = machineState.ExpectedFree.Minus(p.job.TaskResources())
}
