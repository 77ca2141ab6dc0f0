package preemption

import (
	"maps"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// planTotals counts the quota that the plans of a round promise and free, and the tasks that
// they stop.
type planTotals struct {
	// borrowed is what teams use beyond their nominal quota, less what they will free.
	borrowed map[ids.Team]quota.Amount
	// committed is the quota promised to teams, less what they will free, in addition to
	// what they use.
	committed map[ids.Team]quota.Amount
	victims   map[*cluster.Assignment]bool
}

// newPlanTotals starts with what the teams borrow.
func newPlanTotals(teams []ids.Team, quotas *quota.Tracker) planTotals {
	l := planTotals{
		borrowed:  map[ids.Team]quota.Amount{},
		committed: map[ids.Team]quota.Amount{},
		victims:   map[*cluster.Assignment]bool{},
	}
	for _, team := range teams {
		l.borrowed[team] = quotas.Borrowed(team)
	}
	return l
}

// clone copies the ledger.
func (l *planTotals) clone() planTotals {
	return planTotals{
		borrowed:  maps.Clone(l.borrowed),
		committed: maps.Clone(l.committed),
		victims:   maps.Clone(l.victims),
	}
}

// reserve counts quota that a team will use.
func (l *planTotals) reserve(team ids.Team, amount quota.Amount) {
	l.committed[team] = l.committed[team].Plus(amount)
}

// free counts quota that a team will free.
func (l *planTotals) free(team ids.Team, amount quota.Amount) {
	l.borrowed[team] = l.borrowed[team].Minus(amount)
	l.committed[team] = l.committed[team].Minus(amount)
}
