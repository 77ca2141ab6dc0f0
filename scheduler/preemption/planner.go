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
	// zones counts the job's tasks by zone, including those that are planned.
	zones placement.TasksByZone
	// plans has a plan for each machine on which the task fits under plansClaim; nil: not
	// listed yet. Their costs may be out of date: they only rise during a round.
	plans      []plan
	plansClaim claim
}

// newPlanner makes the planner for a job in a round.
func newPlanner(r *round, j *cluster.Job) planner {
	return planner{round: r, scheduler: r.policy.scheduler, job: j, zones: maps.Clone(j.Zones())}
}

// planAllTasks plans for all pending tasks of the job. If there is no plan for one of them, it
// undoes what the round counts for the others.
func (p *planner) planAllTasks() ([]countedPlan, error) {
	saved := p.round.ledger.clone()
	var plans []countedPlan
	for range p.job.Pending() {
		planned, err := p.planTask()
		if err != nil {
			p.round.ledger = saved
			p.restoreFree(plans)
			return nil, err
		}
		plans = append(plans, planned)
	}
	return plans, nil
}

// restoreFree undoes what plans count on their machines, the last plan first.
func (p *planner) restoreFree(plans []countedPlan) {
	for _, planned := range slices.Backward(plans) {
		p.round.notes(planned.machine).ExpectedFree = planned.freeBefore
	}
}

// planTask plans for one more pending task of the job, at the least cost, and counts the plan in
// the round. The error is one of the reasons in plan.go.
func (p *planner) planTask() (countedPlan, error) {
	by := p.round.claimOf(p.job)
	if by == claimNone {
		return countedPlan{}, errNoClaim
	}
	if by == claimOwn && !p.round.anyPreemptible(p.job, by) {
		return countedPlan{}, errNothingPreemptible
	}
	class, hasClass := p.scheduler.RequestClass(p.job, p.zones)
	request := infeasibleRequest{class, p.job.Spec.Team, by}
	if hasClass && p.round.infeasible[request] {
		return countedPlan{}, errKnownInfeasible
	}
	cheapest := p.cheapestPlan(by)
	if cheapest == nil {
		if hasClass {
			p.round.infeasible[request] = true
		}
		return countedPlan{}, errNoMachine
	}
	counted := countedPlan{plan: *cheapest, freeBefore: p.round.notes(cheapest.machine).ExpectedFree}
	p.allowColdStart(counted.machine)
	p.commit(counted.plan)
	p.update(cheapest)
	return counted, nil
}

// allowColdStart lets admission place a latency-sensitive job on machines without its image,
// when one is planned on such a machine.
func (p *planner) allowColdStart(m *cluster.Machine) {
	j := p.job
	if j.Queue.AllowColdStart || m.HasImage(j.Spec.Image) || !p.scheduler.LatencySensitive(j) {
		return
	}
	j.Queue.AllowColdStart = true
	p.round.policy.rounds.MarkDue()
}

// commit counts a plan in the round: the zone, the quota and the resources that the task
// will use, and what the victims will free.
func (p *planner) commit(planned plan) {
	// The job's own counts include only placed tasks. With those alone, two replicas could be
	// planned in a zone that may take one.
	p.zones[planned.machine.Zone()]++
	notes, ledger := p.round.notes(planned.machine), &p.round.ledger
	ledger.promise(p.job.Spec.Team, p.job.Amount())
	for _, a := range planned.victims {
		ledger.victims[a] = true
		ledger.free(a.Job.Spec.Team, a.Job.Amount())
		notes.ExpectedFree = notes.ExpectedFree.Plus(placement.TaskResources(a.Job.Spec))
	}
	notes.ExpectedFree = notes.ExpectedFree.Minus(placement.TaskResources(p.job.Spec))
}
