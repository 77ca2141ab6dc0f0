package preemption

import (
	"errors"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// The reasons why there is no plan for a task.
var (
	// errNoQuota: the team's quota is used up and the job's priority is the lowest.
	errNoQuota = errors.New("the team has no claim to more quota")
	// errNothingPreemptible: no work is running that the job may stop to get quota.
	errNothingPreemptible = errors.New("nothing that runs may be preempted for the job")
	// errKnownInfeasible: an equal request failed with errNoMachine in this round.
	errKnownInfeasible = errors.New("an equal request found no machine in this round")
	// errNoMachine: the task fits on no candidate, whatever is preempted there.
	errNoMachine = errors.New("no machine fits, whatever is preempted there")
)

// plan is the machine for one task, and the tasks that stop for it there.
type plan struct {
	machine *cluster.Machine // nil: the task does not fit there any more
	victims []*cluster.Assignment
	cost    float64 // in weighted CPU seconds; see evictionCost
}

// committedPlan is a plan that the round counts.
type committedPlan struct {
	plan
	// freeBefore is what was expected to be free on the machine before the round counted the
	// plan.
	freeBefore placement.Resources
}

// planOn plans for one task on a machine under the claim of the list; ok is false if the task
// cannot fit there.
func (p *planner) planOn(m *cluster.Machine) (planned plan, ok bool) {
	if !placement.Allowed(p.job.Spec, m.Site()) || !p.scheduler.MayUse(p.job, m) {
		return plan{}, false
	}
	need := placement.TaskResources(p.job.Spec)
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
