package preemption

// cheapestPlan returns the cheapest plan within a scope, or nil. All machines are examined once per
// job and scope. Afterwards only the cheapest listed plan is updated before it is used: costs only
// rise during a round, so if its cost has not risen, no other plan is cheaper.
func (p *planner) cheapestPlan(scope preemptionScope) *plan {
	if p.plans == nil || p.plansScope != scope {
		p.listPlans(scope)
	}
	for {
		cheapest := p.cheapestListed()
		if cheapest == nil || len(cheapest.victims) == 0 {
			return cheapest
		}
		listedCost := cheapest.cost
		p.update(cheapest)
		if cheapest.machine != nil && cheapest.cost <= listedCost {
			return cheapest
		}
	}
}

// listPlans lists the plans of all machines on which the task fits within a scope.
func (p *planner) listPlans(scope preemptionScope) {
	const initialCapacity = 16
	p.plans, p.plansScope = make([]plan, 0, initialCapacity), scope
	need := p.job.TaskResources()
	preemptible := p.round.anyPreemptible(p.job, scope)
	for _, m := range p.round.candidates {
		if !preemptible && !need.FitsIn(p.round.machineState(m).ExpectedFree) {
			continue
		}
		if listed, ok := p.planOn(m); ok {
			p.plans = append(p.plans, listed)
		}
	}
	p.round.machinesExamined += uint64(len(p.round.candidates))
}

// cheapestListed returns the cheapest of the listed plans whose zone the job may use, or nil. If
// several are equally cheap, it returns the first.
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

// update recomputes a listed plan, as other plans may have been committed in the round since.
func (p *planner) update(listed *plan) {
	current, ok := p.planOn(listed.machine)
	if !ok {
		current = plan{}
	}
	*listed = current
}
