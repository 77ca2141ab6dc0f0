// Package quota keeps the teams' books: guarantees (nominal quota), limits,
// and how much idle quota may be lent.
package quota

import (
	"math"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// slack keeps sums of decimal amounts from failing a comparison by rounding.
// It always works against the asker for the hard limit.
const slack = 1e-9

// Amount is a bundle of what quota counts.
type Amount struct{ CPUs, GPUs float64 }

// Unlimited is more than anything.
var Unlimited = Amount{CPUs: math.Inf(1), GPUs: math.Inf(1)}

// Plus adds.
func (a Amount) Plus(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Minus subtracts.
func (a Amount) Minus(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Times multiplies.
func (a Amount) Times(n int) Amount { return Amount{a.CPUs * float64(n), a.GPUs * float64(n)} }

// FitsIn tells whether a fits into b.
func (a Amount) FitsIn(b Amount) bool { return a.CPUs <= b.CPUs+slack && a.GPUs <= b.GPUs+slack }

// positive replaces negative parts by 0.
func (a Amount) positive() Amount { return Amount{max(0, a.CPUs), max(0, a.GPUs)} }

// least is the smaller of each part.
func least(a, b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Team is a team's quota.
type Team struct {
	Name    ids.Team
	Nominal Amount
	Limit   Amount
	// LendingLimit bounds how much of the idle nominal quota others may use.
	LendingLimit Amount
}

// account is a team with what it uses.
type account struct {
	Team
	used                  Amount
	lendingSuspendedUntil monotonic.Instant
}

// Tracker counts what every team uses. Whatever may be on a machine counts as
// used; the caller subtracts only what is surely gone.
type Tracker struct {
	accounts    map[ids.Team]*account
	names       []ids.Team
	cohortQuota Amount
}

// NewTracker opens the books for the teams.
func NewTracker(teams []Team) *Tracker {
	b := &Tracker{accounts: map[ids.Team]*account{}}
	for _, t := range teams {
		b.accounts[t.Name] = &account{Team: t}
		b.names = append(b.names, t.Name)
	}
	slices.Sort(b.names)
	return b
}

// SetCohortQuota sets the cohort's own quota, which any team may borrow: what
// there is beyond the sum of the guarantees.
func (b *Tracker) SetCohortQuota(m Amount) { b.cohortQuota = m.positive() }

// Nominal is the sum of all guarantees.
func (b *Tracker) Nominal() Amount {
	var sum Amount
	for _, n := range b.names { // in order: the sum of decimals depends on it
		sum = sum.Plus(b.accounts[n].Nominal)
	}
	return sum
}

// Teams lists the teams by name.
func (b *Tracker) Teams() []ids.Team { return slices.Clone(b.names) }

// HasTeam tells whether a team exists.
func (b *Tracker) HasTeam(t ids.Team) bool { return b.accounts[t] != nil }

// Limit is the most that a team may use at any time.
func (b *Tracker) Limit(t ids.Team) Amount {
	if a := b.accounts[t]; a != nil {
		return a.Limit
	}
	return Amount{}
}

// Used is what a team uses now.
func (b *Tracker) Used(t ids.Team) Amount {
	if a := b.accounts[t]; a != nil {
		return a.used
	}
	return Amount{}
}

// Charge counts an amount as used, whatever the limits say: records that were
// found are counted even if a limit has been lowered since.
func (b *Tracker) Charge(t ids.Team, m Amount) {
	if a := b.accounts[t]; a != nil {
		a.used = a.used.Plus(m)
	}
}

// Release gives an amount back.
func (b *Tracker) Release(t ids.Team, m Amount) {
	if a := b.accounts[t]; a != nil {
		a.used = a.used.Minus(m).positive()
	}
}

// FitsNominal tells whether a team stays within its guarantee with m more.
func (b *Tracker) FitsNominal(t ids.Team, m Amount) bool {
	a := b.accounts[t]
	return a != nil && a.used.Plus(m).FitsIn(a.Nominal) && a.used.Plus(m).FitsIn(a.Limit)
}

// FitsBorrowing tells whether a team may use m more, within its limit and
// with what the others leave idle and lend.
func (b *Tracker) FitsBorrowing(t ids.Team, m Amount, now monotonic.Instant) bool {
	a := b.accounts[t]
	if a == nil || !a.used.Plus(m).FitsIn(a.Limit) {
		return false
	}
	var over Amount
	lent := b.cohortQuota
	for _, n := range b.names {
		o := b.accounts[n]
		used := o.used
		if o == a {
			used = used.Plus(m)
		}
		over = over.Plus(used.Minus(o.Nominal).positive())
		if now < o.lendingSuspendedUntil {
			continue
		}
		lent = lent.Plus(least(o.Nominal.Minus(used).positive(), o.LendingLimit))
	}
	return over.FitsIn(lent)
}

// Borrowed is how much a team uses beyond its guarantee.
func (b *Tracker) Borrowed(t ids.Team) Amount {
	a := b.accounts[t]
	if a == nil {
		return Amount{}
	}
	return a.used.Minus(a.Nominal).positive()
}

// IsBorrowing tells whether a team uses more than its guarantee.
func (b *Tracker) IsBorrowing(t ids.Team) bool { return !b.Borrowed(t).FitsIn(Amount{}) }

// SuspendLending keeps a team's idle quota from being lent until a time, so that a team
// that just reclaimed does not see it lent away at once.
func (b *Tracker) SuspendLending(t ids.Team, until monotonic.Instant) {
	if a := b.accounts[t]; a != nil && until > a.lendingSuspendedUntil {
		a.lendingSuspendedUntil = until
	}
}
