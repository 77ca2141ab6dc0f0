package preemption

import (
	"errors"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// The reasons why there is no plan for a task.
var (
	// errNoQuota is returned if the team's quota is used up and the job has the lowest priority.
	errNoQuota = errors.New("plan preemption: team has no quota left and job has the lowest priority")
	// errNothingPreemptible is returned if no task is running that the job may preempt to get quota.
	errNothingPreemptible = errors.New("plan preemption: no running task may be preempted for the job")
	// errKnownInfeasible is returned if an equal request failed with errNoMachine in this round.
	errKnownInfeasible = errors.New("plan preemption: equal request found no machine in this round")
	// errNoMachine is returned if the task does not fit on any candidate, whatever is preempted there.
	errNoMachine = errors.New("plan preemption: task does not fit on any machine, whatever is preempted")
)

// plan represents the machine for one task and the tasks that are stopped there for it.
type plan struct {
	machine *cluster.Machine // nil: the task no longer fits there
	victims []*cluster.Assignment
	cost    float64 // in weighted CPU seconds; see evictionCost
}

// committedPlan represents a plan that is counted in the round.
type committedPlan struct {
	plan
	// freeBefore is the machine's expected free resources before the plan was committed.
	freeBefore placement.Resources
}

// planOn plans for one task on a machine within plansScope; ok is false if the task cannot fit there.
func (p *planner) planOn(m *cluster.Machine) (planned plan, ok bool) {
	if !placement.Allowed(p.job.Spec, m.Site()) || !p.scheduler.MayUse(p.job, m) {
		return plan{}, false
	}
	need := p.job.TaskResources()
	fits := p.plansScope != scopeOwnTeam && need.FitsIn(p.round.machineState(m).ExpectedFree)
	hasImage := m.HasImage(p.job.Spec.Image)
	if fits && (hasImage || !p.scheduler.LatencySensitive(p.job)) {
		return plan{machine: m, cost: costWithoutVictims}, true
	}
	planned = plan{machine: m}
	if !fits {
		if !need.FitsIn(m.Total()) {
			return plan{}, false
		}
		selected, enough := p.round.selectVictims(p.job, p.plansScope, m)
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
