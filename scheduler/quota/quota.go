// Package quota tracks how much of its quota each team uses, and decides whether more fits: within
// the team's nominal quota, or by borrowing idle quota that other teams of the cohort lend. All
// teams belong to a single cohort.
//
// The scheduler's core owns the only tracker. The package reads no clock and starts no goroutine. A
// tracker isn't safe for concurrent use.
package quota

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Team holds a team's quota settings.
type Team struct {
	Name ids.Team
	// Nominal is the amount that the team may always use.
	Nominal Amount
	// Limit is the borrowing limit: the most that the team may use, including borrowed quota.
	Limit Amount
	// LendingLimit is the maximum of the team's idle nominal quota that other teams may borrow.
	LendingLimit Amount
}

// account holds a team's quota settings and its usage.
type account struct {
	Team
	used                  Amount
	lendingSuspendedUntil monotonic.Instant
}

// lendable returns the amount that other teams may borrow while the team uses the given amount.
func (a *account) lendable(used Amount, now monotonic.Instant) Amount {
	if now < a.lendingSuspendedUntil {
		return Amount{}
	}
	return componentMin(a.Nominal.Minus(used).nonNegative(), a.LendingLimit)
}

// Tracker tracks the quota that each team uses. A task counts from its placement until it is certain
// that it no longer runs; the caller must not release its quota earlier. Methods ignore unknown
// teams, and report that nothing fits their quota.
type Tracker struct {
	accounts    map[ids.Team]*account
	names       []ids.Team // sorted
	cohortQuota Amount
}

// NewTracker returns a tracker for teams that do not use any quota yet.
func NewTracker(teams []Team) *Tracker {
	q := &Tracker{accounts: map[ids.Team]*account{}}
	for _, team := range teams {
		q.accounts[team.Name] = &account{Team: team}
		q.names = append(q.names, team.Name)
	}
	slices.Sort(q.names)
	return q
}

// SetCohortQuota sets the quota that belongs to no team and that any team may borrow: the
// resources beyond the sum of the nominal quotas. Negative components count as 0.
func (q *Tracker) SetCohortQuota(amount Amount) { q.cohortQuota = amount.nonNegative() }

// Nominal returns the sum of all nominal quotas.
func (q *Tracker) Nominal() Amount {
	var sum Amount
	for _, name := range q.names { // a fixed order, since rounding depends on the order of summation
		sum = sum.Plus(q.accounts[name].Nominal)
	}
	return sum
}

// Teams returns the sorted names of all teams. The caller may modify the result.
func (q *Tracker) Teams() []ids.Team { return slices.Clone(q.names) }

// Limit returns the most that a team may use, including borrowed quota.
func (q *Tracker) Limit(team ids.Team) Amount {
	if a := q.accounts[team]; a != nil {
		return a.Limit
	}
	return Amount{}
}

// Used returns the amount that a team uses.
func (q *Tracker) Used(team ids.Team) Amount {
	if a := q.accounts[team]; a != nil {
		return a.used
	}
	return Amount{}
}

// Charge counts an amount as used, whether or not it fits: tasks that run according to the records
// count even if a limit has been lowered since.
func (q *Tracker) Charge(team ids.Team, amount Amount) {
	if a := q.accounts[team]; a != nil {
		a.used = a.used.Plus(amount)
	}
}

// Release reverts a charge. A team's usage never becomes negative.
func (q *Tracker) Release(team ids.Team, amount Amount) {
	if a := q.accounts[team]; a != nil {
		a.used = a.used.Minus(amount).nonNegative()
	}
}

// FitsNominal reports whether a team remains within its nominal quota when it uses more.
func (q *Tracker) FitsNominal(team ids.Team, more Amount) bool {
	a := q.accounts[team]
	return a != nil && a.used.Plus(more).FitsIn(a.Nominal) && a.used.Plus(more).FitsIn(a.Limit)
}

// FitsBorrowing reports whether a team may use more, within its limit and with the quota that the
// other teams lend. The total that all teams borrow must not exceed the total that can be lent.
func (q *Tracker) FitsBorrowing(team ids.Team, more Amount, now monotonic.Instant) bool {
	borrower := q.accounts[team]
	if borrower == nil || !borrower.used.Plus(more).FitsIn(borrower.Limit) {
		return false
	}
	var borrowed Amount
	totalLendable := q.cohortQuota
	for _, name := range q.names {
		a := q.accounts[name]
		used := a.used
		if a == borrower {
			used = used.Plus(more)
		}
		borrowed = borrowed.Plus(used.Minus(a.Nominal).nonNegative())
		totalLendable = totalLendable.Plus(a.lendable(used, now))
	}
	return borrowed.FitsIn(totalLendable)
}

// Borrowed returns the amount that a team uses beyond its nominal quota.
func (q *Tracker) Borrowed(team ids.Team) Amount {
	a := q.accounts[team]
	if a == nil {
		return Amount{}
	}
	return a.used.Minus(a.Nominal).nonNegative()
}

// SuspendLending prevents a team's idle quota from being lent until a time. Otherwise quota that the
// team has just reclaimed would be lent again immediately. It never shortens a suspension.
func (q *Tracker) SuspendLending(team ids.Team, until monotonic.Instant) {
	if a := q.accounts[team]; a != nil && until > a.lendingSuspendedUntil {
		a.lendingSuspendedUntil = until
	}
}
