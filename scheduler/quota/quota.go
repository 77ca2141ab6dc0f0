// Package quota tracks what each team uses of its quota, and decides whether more of it fits:
// within the team's nominal quota, or by borrowing what other teams of the cohort leave idle
// and lend. All teams are one cohort.
//
// The scheduler's core owns the only tracker. The package has no clock and no goroutine, and
// a tracker must not be used by two goroutines at once.
package quota

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Team is a team's quota.
type Team struct {
	Name ids.Team
	// Nominal is what the team may always use.
	Nominal Amount
	// Limit is the most that the team may use, borrowed quota included.
	Limit Amount
	// LendingLimit is the most of its idle nominal quota that other teams may borrow.
	LendingLimit Amount
}

// account is a team with what it uses.
type account struct {
	Team
	used                  Amount
	lendingSuspendedUntil monotonic.Instant
}

// lends is what others may borrow while the team uses an amount.
func (a *account) lends(used Amount, now monotonic.Instant) Amount {
	if now < a.lendingSuspendedUntil {
		return Amount{}
	}
	return smallerParts(a.Nominal.Minus(used).nonNegative(), a.LendingLimit)
}

// Tracker counts what each team uses. A task counts from its placement until it is certain
// that it no longer runs; it is for the caller to release it only then. Methods ignore teams
// that are not known, and report that nothing fits them.
type Tracker struct {
	accounts    map[ids.Team]*account
	names       []ids.Team // sorted
	cohortQuota Amount
}

// NewTracker returns a tracker for the teams, which use nothing yet.
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
// resources beyond the sum of the nominal quotas. Negative parts count as 0.
func (q *Tracker) SetCohortQuota(amount Amount) { q.cohortQuota = amount.nonNegative() }

// Nominal is the sum of all nominal quotas.
func (q *Tracker) Nominal() Amount {
	var sum Amount
	for _, name := range q.names { // in a fixed order, on which the sum of decimals depends
		sum = sum.Plus(q.accounts[name].Nominal)
	}
	return sum
}

// Teams lists the names of all teams, sorted. The caller may change the list.
func (q *Tracker) Teams() []ids.Team { return slices.Clone(q.names) }

// Limit is the most that a team may use at any time.
func (q *Tracker) Limit(team ids.Team) Amount {
	if a := q.accounts[team]; a != nil {
		return a.Limit
	}
	return Amount{}
}

// Used is what a team uses.
func (q *Tracker) Used(team ids.Team) Amount {
	if a := q.accounts[team]; a != nil {
		return a.used
	}
	return Amount{}
}

// Charge counts an amount as used, whether or not it fits: what records show to run counts
// even if a limit has been lowered since.
func (q *Tracker) Charge(team ids.Team, amount Amount) {
	if a := q.accounts[team]; a != nil {
		a.used = a.used.Plus(amount)
	}
}

// Release undoes a charge. What a team uses never becomes negative.
func (q *Tracker) Release(team ids.Team, amount Amount) {
	if a := q.accounts[team]; a != nil {
		a.used = a.used.Minus(amount).nonNegative()
	}
}

// FitsNominal tells whether a team stays within its nominal quota with more used.
func (q *Tracker) FitsNominal(team ids.Team, more Amount) bool {
	a := q.accounts[team]
	return a != nil && a.used.Plus(more).FitsIn(a.Nominal) && a.used.Plus(more).FitsIn(a.Limit)
}

// FitsBorrowing tells whether a team may use more, within its limit and with what the other
// teams lend. What all teams borrow together must not exceed what all lend.
func (q *Tracker) FitsBorrowing(team ids.Team, more Amount, now monotonic.Instant) bool {
	borrower := q.accounts[team]
	if borrower == nil || !borrower.used.Plus(more).FitsIn(borrower.Limit) {
		return false
	}
	var borrowed Amount
	lent := q.cohortQuota
	for _, name := range q.names {
		a := q.accounts[name]
		used := a.used
		if a == borrower {
			used = used.Plus(more)
		}
		borrowed = borrowed.Plus(used.Minus(a.Nominal).nonNegative())
		lent = lent.Plus(a.lends(used, now))
	}
	return borrowed.FitsIn(lent)
}

// Borrowed is how much a team uses beyond its nominal quota.
func (q *Tracker) Borrowed(team ids.Team) Amount {
	a := q.accounts[team]
	if a == nil {
		return Amount{}
	}
	return a.used.Minus(a.Nominal).nonNegative()
}

// SuspendLending keeps a team's idle quota from being lent until a time, so that a team which
// has just reclaimed quota does not see it lent again at once. It never shortens a suspension.
func (q *Tracker) SuspendLending(team ids.Team, until monotonic.Instant) {
	if a := q.accounts[team]; a != nil && until > a.lendingSuspendedUntil {
		a.lendingSuspendedUntil = until
	}
}
