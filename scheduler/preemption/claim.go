package preemption

import (
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// claim is the right by which a task may preempt others.
type claim uint8

const (
	claimNone    claim = iota
	claimOwn           // its team is at its limit: only lower work of the team may stop
	claimBorrow        // lower work of the team, and lower work of teams that borrow
	claimNominal       // all lower work, and all that other teams borrow
)

// claimOf is the strongest claim that a job's team has for one more task.
func (r *round) claimOf(j *cluster.Job) claim {
	team, quotas := j.Spec.Team, r.policy.quotas
	more := r.ledger.committed[team].Plus(j.Amount())
	switch {
	case !j.Queue.BorrowOnly && quotas.FitsNominal(team, more):
		return claimNominal
	case quotas.FitsBorrowing(team, more, r.policy.clock.Now()):
		return claimBorrow
	case j.Priority() > wire.BestEffort:
		return claimOwn
	}
	return claimNone
}

// mayPreempt tells whether a job with a claim may stop a workload, whatever quota the
// workload's team uses.
func mayPreempt(j *cluster.Job, by claim, victim cluster.Workload) bool {
	lower := victim.Priority < j.Priority()
	return lower && (victim.Team == j.Spec.Team || by == claimNominal)
}

// mayReclaim tells whether a job with a claim may stop a workload as far as the workload's
// team uses more than its nominal quota. Admission lets jobs within nominal quota go before
// borrowers of any priority. If a borrower could stop them for its priority, the two would
// preempt each other forever.
func mayReclaim(j *cluster.Job, by claim, victim cluster.Workload) bool {
	if victim.Team == j.Spec.Team {
		return false
	}
	return by == claimNominal || by == claimBorrow && victim.Priority < j.Priority()
}

// anyPreemptible tells whether a claim allows a job to stop any of the work that runs.
func (r *round) anyPreemptible(j *cluster.Job, by claim) bool {
	for _, w := range r.workloads {
		if mayPreempt(j, by, w) {
			return true
		}
		if mayReclaim(j, by, w) && !r.ledger.borrowed[w.Team].FitsIn(quota.Amount{}) {
			return true
		}
	}
	return false
}
