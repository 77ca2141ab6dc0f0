package preemption

import (
	"errors"
	"maps"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// The reasons why there is no plan for a task.
var (
	// errNoClaim: the team's quota is used up and the job's priority is the lowest.
	errNoClaim = errors.New("the team has no claim to more quota")
	// errNothingPreemptible: no work is running that the job may stop to get quota.
	errNothingPreemptible = errors.New("nothing that runs may be preempted for the job")
	// errKnownInfeasible: an equal request failed with errNoMachine in this round.
	errKnownInfeasible = errors.New("an equal request found no machine in this round")
	// errNoMachine: no candidate has room for the task or can make it.
	errNoMachine = errors.New("no machine can make room")
)

// plan is the machine on which room is made for one task, and the tasks that stop for it.
type plan struct {
	machine *cluster.Machine // nil: the machine can make no room
	victims []*cluster.Assignment
	cost    float64 // in weighted CPU seconds; see evictionCost
}

// planner plans room for the pending tasks of one job, one task after the other.
type planner struct {
	round *round
	job   *cluster.Job
	// zones counts the job's tasks with those that room was planned for.
	zones placement.TasksByZone
	// plans has a plan for each machine that can make room under plansClaim. Their costs
	// may be out of date: they only rise during a round.
	plans      []plan
	plansClaim claim
	// freeBefore is the expected room of the machines of all plans before these.
	freeBefore map[*cluster.Machine]placement.Resources
}

// newPlanner makes the planner for a job in a round.
func newPlanner(r *round, j *cluster.Job) *planner {
	return &planner{
		round:      r,
		job:        j,
		zones:      maps.Clone(j.Zones()),
		freeBefore: map[*cluster.Machine]placement.Resources{},
	}
}

// planAllTasks plans room for all pending tasks of the job. If one finds none, it takes back
// what the round counts for the others.
func (p *planner) planAllTasks() ([]plan, error) {
	saved := p.round.ledger.clone()
	var plans []plan
	for range p.job.Pending() {
		planned, err := p.planTask()
		if err != nil {
			p.round.ledger = saved
			p.restoreFree()
			return nil, err
		}
		plans = append(plans, planned)
	}
	return plans, nil
}

// restoreFree takes back what the planner's plans count on machines.
func (p *planner) restoreFree() {
	for m, free := range p.freeBefore {
		p.round.notes(m).ExpectedFree = free
	}
}

// planTask plans room for one more pending task of the job, at the least cost, and counts it
// in the round. The error is one of those above.
func (p *planner) planTask() (plan, error) {
	by := p.round.claimOf(p.job)
	if by == claimNone {
		return plan{}, errNoClaim
	}
	if by == claimOwn && !p.round.anyPreemptible(p.job, by) {
		return plan{}, errNothingPreemptible
	}
	class, hasClass := p.round.policy.scheduler.RequestClass(p.job, p.zones)
	request := infeasibleRequest{class, p.job.Spec.Team, by}
	if hasClass && p.round.infeasible[request] {
		return plan{}, errKnownInfeasible
	}
	cheapest := p.cheapestPlan(by)
	if cheapest == nil {
		if hasClass {
			p.round.infeasible[request] = true
		}
		return plan{}, errNoMachine
	}
	planned := *cheapest
	p.allowColdStart(planned.machine)
	p.commit(planned)
	p.update(cheapest)
	return planned, nil
}

// cheapestPlan returns the cheapest plan under a claim, or nil. All machines are examined
// once for a job and a claim. After that only the cheapest is examined again before it is
// taken.
func (p *planner) cheapestPlan(by claim) *plan {
	if p.plans == nil || p.plansClaim != by {
		p.listPlans(by)
	}
	for {
		cheapest := p.cheapestListed()
		if cheapest == nil || len(cheapest.victims) == 0 || p.stillAsCheap(cheapest) {
			return cheapest
		}
	}
}

// listPlans lists the plans of all machines that can make room under a claim.
func (p *planner) listPlans(by claim) {
	const initialCapacity = 16
	p.plans, p.plansClaim = make([]plan, 0, initialCapacity), by
	need := placement.TaskResources(p.job.Spec)
	preemptible := p.round.anyPreemptible(p.job, by)
	for _, m := range p.round.candidates {
		if !preemptible && !need.FitsIn(p.round.notes(m).ExpectedFree) {
			continue
		}
		if listed, ok := p.planOn(m); ok {
			p.plans = append(p.plans, listed)
		}
	}
	p.round.machinesExamined += uint64(len(p.round.candidates))
}

// cheapestListed returns the cheapest of the listed plans whose zone the job may use, or
// nil. The first of equals wins.
func (p *planner) cheapestListed() *plan {
	var cheapest *plan
	for i := range p.plans {
		listed := &p.plans[i]
		if listed.machine == nil || cheapest != nil && listed.cost >= cheapest.cost {
			continue
		}
		if p.zones.Allows(p.job.Spec, listed.machine.Zone()) {
			cheapest = listed
		}
	}
	return cheapest
}

// stillAsCheap updates a listed plan and tells whether its cost has not risen.
func (p *planner) stillAsCheap(listed *plan) bool {
	before := listed.cost
	p.update(listed)
	return listed.machine != nil && listed.cost <= before
}

// update brings a listed plan up to date with what the round has counted since.
func (p *planner) update(listed *plan) {
	current, ok := p.planOn(listed.machine)
	if !ok {
		current = plan{}
	}
	*listed = current
}

// planOn plans room for one task on a machine under the claim of the list; ok is false if
// the machine can make none.
func (p *planner) planOn(m *cluster.Machine) (planned plan, ok bool) {
	if !placement.Allowed(p.job.Spec, m.Site()) || !p.round.policy.scheduler.MayUse(p.job, m) {
		return plan{}, false
	}
	need := placement.TaskResources(p.job.Spec)
	hasRoom := p.plansClaim != claimOwn && need.FitsIn(p.round.notes(m).ExpectedFree)
	hasImage := m.HasImage(p.job.Spec.Image)
	if hasRoom && (hasImage || !p.round.policy.scheduler.LatencySensitive(p.job)) {
		return plan{machine: m, cost: costWithoutVictims}, true
	}
	planned = plan{machine: m}
	if !hasRoom {
		if !need.FitsIn(m.Total()) {
			return plan{}, false
		}
		selected, enough := p.round.selectVictims(p.job, p.plansClaim, m)
		if !enough {
			return plan{}, false
		}
		planned.victims, planned.cost = selected.victims, selected.cost
	}
	if !hasImage {
		planned.cost += missingImageCost
	}
	return planned, true
}

// allowColdStart lets admission place a latency-sensitive job on machines without its image,
// when room is made on such a machine.
func (p *planner) allowColdStart(m *cluster.Machine) {
	j := p.job
	if j.Queue.AllowColdStart || m.HasImage(j.Spec.Image) || !p.round.policy.scheduler.LatencySensitive(j) {
		return
	}
	j.Queue.AllowColdStart = true
	p.round.policy.rounds.MarkDue()
}

// commit counts a plan in the round: the zone, the quota and the room that the task is to
// take, and what the victims are to free.
func (p *planner) commit(planned plan) {
	// Without this the zone would count only the tasks that are placed, and room for two
	// replicas could be made in a zone that may take one.
	p.zones[planned.machine.Zone()]++
	notes, ledger := p.round.notes(planned.machine), &p.round.ledger
	if _, saved := p.freeBefore[planned.machine]; !saved {
		p.freeBefore[planned.machine] = notes.ExpectedFree
	}
	ledger.promise(p.job.Spec.Team, p.job.Amount())
	for _, a := range planned.victims {
		ledger.victims[a] = true
		ledger.free(a.Job.Spec.Team, a.Job.Amount())
		notes.ExpectedFree = notes.ExpectedFree.Plus(placement.TaskResources(a.Job.Spec))
	}
	notes.ExpectedFree = notes.ExpectedFree.Minus(placement.TaskResources(p.job.Spec))
}
