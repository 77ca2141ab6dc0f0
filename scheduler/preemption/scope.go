package preemption

import (
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// preemptionScope represents which tasks a job may preempt, depending on its team's quota.
type preemptionScope uint8

const (
	scopeNone preemptionScope = iota
	// scopeOwnTeam allows only lower-priority tasks of the same team, which is at its limit.
	scopeOwnTeam
	// scopeBorrowing allows lower-priority tasks of the same team, and lower-priority tasks on quota
	// that other teams borrow.
	scopeBorrowing
	// scopeNominal allows all lower-priority tasks, and tasks of any priority on quota that other
	// teams borrow.
	scopeNominal
)

// scopeOf returns the widest scope that the quota of a job's team allows for one more task.
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

// mayPreempt reports whether a job may preempt a workload within a scope, regardless of how much
// quota the workload's team uses.
func mayPreempt(j *cluster.Job, scope preemptionScope, victim cluster.Workload) bool {
	lower := victim.Priority < j.Priority()
	return lower && (victim.Team == j.Spec.Team || scope == scopeNominal)
}

// mayReclaim reports whether a job may preempt a workload within a scope to the extent that the
// workload's team uses more than its nominal quota. Admission prefers jobs within nominal quota over
// borrowing jobs of any priority. If a borrowing job could preempt them because of its priority, the
// two would preempt each other indefinitely.
func mayReclaim(j *cluster.Job, scope preemptionScope, victim cluster.Workload) bool {
	if victim.Team == j.Spec.Team {
		return false
	}
	return scope == scopeNominal || scope == scopeBorrowing && victim.Priority < j.Priority()
}

// anyPreemptible reports whether a job may preempt any of the running workloads within a scope.
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
