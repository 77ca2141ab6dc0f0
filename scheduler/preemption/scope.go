package preemption

import (
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// preemptionScope is the right by which a task may preempt others.
type preemptionScope uint8

const (
	scopeNone      preemptionScope = iota
	scopeOwnTeam                   // its team is at its limit: only lower work of the team may stop
	scopeBorrowing                 // lower work of the team, and lower work of teams that borrow
	scopeNominal                   // all lower work, and all that other teams borrow
)

// scopeOf is the strongest claim that a job's team has for one more task.
func (r *round) scopeOf(j *cluster.Job) preemptionScope {
	team, quotas := j.Spec.Team, r.policy.quotas
	more := r.totals.committed[team].Plus(j.Amount())
	switch {
	case !j.Queue.BorrowOnly && quotas.FitsNominal(team, more):
		return scopeNominal
	case quotas.FitsBorrowing(team, more, r.policy.clock.Now()):
		return scopeBorrowing
	case j.Priority() > wire.BestEffort:
		return scopeOwnTeam
	}
	return scopeNone
}

// mayPreempt tells whether a job with a claim may stop a workload, whatever quota the
// workload's team uses.
func mayPreempt(j *cluster.Job, scope preemptionScope, victim cluster.Workload) bool {
	lower := victim.Priority < j.Priority()
	return lower && (victim.Team == j.Spec.Team || scope == scopeNominal)
}

// mayReclaim tells whether a job with a claim may stop a workload as far as the workload's
// team uses more than its nominal quota. Admission lets jobs within nominal quota go before
// borrowers of any priority. If a borrower could stop them for its priority, the two would
// preempt each other forever.
func mayReclaim(j *cluster.Job, scope preemptionScope, victim cluster.Workload) bool {
	if victim.Team == j.Spec.Team {
		return false
	}
	return scope == scopeNominal || scope == scopeBorrowing && victim.Priority < j.Priority()
}

// anyPreemptible tells whether a claim allows a job to stop any of the work that runs.
func (r *round) anyPreemptible(j *cluster.Job, scope preemptionScope) bool {
	for _, w := range r.workloads {
		if mayPreempt(j, scope, w) {
			return true
		}
		if mayReclaim(j, scope, w) && !r.totals.borrowed[w.Team].FitsIn(quota.Amount{}) {
			return true
		}
	}
	return false
}
