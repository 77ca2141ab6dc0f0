package preemption

import (
	"maps"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// planTotals holds the quota that the plans of a round reserve and free, and the tasks that
// they stop.
type planTotals struct {
	// borrowed is the quota that each team uses beyond its nominal quota, less the quota that it
	// will free.
	borrowed map[ids.Team]quota.Amount
	// committed is the quota that is reserved for each team in addition to what it uses, less the
	// quota that it will free.
	committed map[ids.Team]quota.Amount
	victims   map[*cluster.Assignment]bool
}

// newPlanTotals returns the totals of a round without plans: the quota that the teams borrow.
func newPlanTotals(teams []ids.Team, quotas *quota.Tracker) planTotals {
	t := planTotals{
		borrowed:  map[ids.Team]quota.Amount{},
		committed: map[ids.Team]quota.Amount{},
		victims:   map[*cluster.Assignment]bool{},
	}
	for _, team := range teams {
		t.borrowed[team] = quotas.Borrowed(team)
	}
	return t
}

// clone returns a copy of the totals.
func (t *planTotals) clone() planTotals {
	return planTotals{
		borrowed:  maps.Clone(t.borrowed),
		committed: maps.Clone(t.committed),
		victims:   maps.Clone(t.victims),
	}
}

// reserve adds quota that a team will use.
func (t *planTotals) reserve(team ids.Team, amount quota.Amount) {
	t.committed[team] = t.committed[team].Plus(amount)
}

// free subtracts quota that a team will free.
func (t *planTotals) free(team ids.Team, amount quota.Amount) {
	t.borrowed[team] = t.borrowed[team].Minus(amount)
	t.committed[team] = t.committed[team].Minus(amount)
}
