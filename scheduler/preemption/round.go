package preemption

import (
	"maps"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// round holds the state of one round of preemption for all waiting jobs.
type round struct {
	policy     *Policy
	candidates []*cluster.Machine
	totals     planTotals
	// workloads holds the workloads with tasks that were not stopping when the round began.
	workloads []cluster.Workload
	// infeasible holds the requests for which no machine was found. Free resources and quota only
	// shrink during a round, so an equal request is not tried again.
	infeasible       map[infeasibleRequest]bool
	machinesExamined uint64
}

// infeasibleRequest holds everything that decides whether there is a plan for a task.
type infeasibleRequest struct {
	class RequestClass
	team  ids.Team
	scope preemptionScope
}

// newRound returns a new round. The quota of tasks that are already stopping counts as free.
func (p *Policy) newRound(candidates []*cluster.Machine) *round {
	p.roundNumber++
	r := &round{
		policy:     p,
		candidates: candidates,
		totals:     newPlanTotals(p.teams, p.quotas),
		infeasible: map[infeasibleRequest]bool{},
	}
	counts := p.cluster.Workloads()
	for _, w := range slices.SortedFunc(maps.Keys(counts), cluster.Workload.Compare) {
		count := counts[w]
		if count.Stopping > 0 {
			r.totals.free(w.Team, count.StoppingQuota)
		}
		if count.NotStopping > 0 {
			r.workloads = append(r.workloads, w)
		}
	}
	return r
}

// machineState returns the preemption state of a machine, reset if it belongs to an earlier round.
func (r *round) machineState(m *cluster.Machine) *cluster.MachinePreemption {
	machineState := &m.Preemption
	if machineState.Round != r.policy.roundNumber {
		*machineState = cluster.MachinePreemption{Round: r.policy.roundNumber, ExpectedFree: freeOnceStopped(m)}
	}
	return machineState
}

// freeOnceStopped returns the resources that are free on a machine once all stopping tasks have ended.
func freeOnceStopped(m *cluster.Machine) placement.Resources {
	free := m.FreeAfterReaping()
	for _, a := range m.Assignments() {
		if a.StopReason() != cluster.StopNone {
			free = free.Plus(a.Job.TaskResources())
		}
	}
	return free
}
