package preemption

import (
	"cmp"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// victimSelection holds the tasks on one machine that would be stopped for a task of a job.
type victimSelection struct {
	round   *round
	job     *cluster.Job
	scope   preemptionScope
	victims []*cluster.Assignment
	cost    float64
	// free is the resources that are free on the machine once the victims have ended, and
	// missingQuota the quota of the team that further victims must free.
	free         placement.Resources
	missingQuota quota.Amount
	// reclaimed is the borrowed quota of each team that the victims free.
	reclaimed map[ids.Team]quota.Amount
}

// selectVictims selects the tasks on a machine that are cheapest to stop for a task of a job; ok is
// false if stopping all tasks that may be preempted does not free enough.
func (r *round) selectVictims(j *cluster.Job, scope preemptionScope, m *cluster.Machine) (s victimSelection, ok bool) {
	s = victimSelection{round: r, job: j, scope: scope, free: r.machineState(m).ExpectedFree}
	if scope == scopeOwnTeam {
		s.missingQuota = j.Amount() // the team is at its limit
	}
	for _, v := range r.victimsByCost(m) {
		if !s.tryAdd(v) {
			continue
		}
		if s.sufficient() {
			return s, true
		}
	}
	return victimSelection{}, false
}

// victimsByCost returns the tasks on a machine that are neither stopping nor protected, in order of
// ascending cost. The list is computed once in a round.
func (r *round) victimsByCost(m *cluster.Machine) []cluster.Victim {
	machineState := r.machineState(m)
	if machineState.Victims != nil {
		return machineState.Victims
	}
	machineState.Victims = make([]cluster.Victim, 0, len(m.Assignments()))
	for _, a := range m.Assignments() {
		if a.StopReason() == cluster.StopNone && !r.policy.protected(a) {
			machineState.Victims = append(machineState.Victims, cluster.Victim{Assignment: a, Cost: r.policy.evictionCost(a)})
		}
	}
	slices.SortStableFunc(machineState.Victims, func(a, b cluster.Victim) int { return cmp.Compare(a.Cost, b.Cost) })
	r.machinesExamined++
	return machineState.Victims
}

// tryAdd adds a task to the victims if the scope allows preempting it, and reports whether it did.
func (s *victimSelection) tryAdd(v cluster.Victim) bool {
	a := v.Assignment
	if s.round.totals.victims[a] || a.StopReason() != cluster.StopNone {
		return false // already stopping
	}
	workload := cluster.Workload{Team: a.Job.Spec.Team, Priority: a.Job.Priority()}
	if !mayPreempt(s.job, s.scope, workload) {
		if !mayReclaim(s.job, s.scope, workload) || !s.reclaim(workload.Team, a.Job.Amount()) {
			return false
		}
	}
	s.victims = append(s.victims, a)
	s.cost += v.Cost
	s.free = s.free.Plus(a.Job.TaskResources())
	s.missingQuota = s.missingQuota.Minus(a.Job.Amount())
	return true
}

// reclaim counts quota as reclaimed from a team if the team still borrows at least as much, and
// reports whether it does.
func (s *victimSelection) reclaim(team ids.Team, amount quota.Amount) bool {
	reclaimed := s.reclaimed[team].Plus(amount)
	if !reclaimed.FitsIn(s.round.totals.borrowed[team]) {
		return false
	}
	if s.reclaimed == nil {
		s.reclaimed = map[ids.Team]quota.Amount{}
	}
	s.reclaimed[team] = reclaimed
	return true
}

// sufficient reports whether the victims free enough resources and quota for the task.
func (s *victimSelection) sufficient() bool {
	return s.job.TaskResources().FitsIn(s.free) && s.missingQuota.FitsIn(quota.Amount{})
}
