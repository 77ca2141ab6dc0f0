package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

const (
	// budgetInterval is the time in which an empty budget becomes full. A full budget holds the
	// operations that the rate allows in this interval.
	budgetInterval = time.Second
	// scarceFraction is the fraction of a full budget below which operations count as scarce.
	scarceFraction = 0.5
)

// writeBudget limits the rate of operations on records, so that the key-value store is not
// overloaded. A change may overdraw the budget. The next change then waits longer.
type writeBudget struct {
	perSecond  float64 // operations; 0: no limit
	available  float64 // operations; negative while the budget is overdrawn
	refilledAt monotonic.Instant
}

// newWriteBudget returns a full budget.
func newWriteBudget(perSecond float64) writeBudget {
	return writeBudget{perSecond: perSecond, available: perSecond * budgetInterval.Seconds()}
}

// begin sets the time from which the budget is refilled.
func (b *writeBudget) begin(now monotonic.Instant) { b.refilledAt = now }

// refill adds what the rate allows since the last call.
func (b *writeBudget) refill(now monotonic.Instant) {
	added := b.perSecond * now.Sub(b.refilledAt).Seconds()
	b.available = min(b.perSecond*budgetInterval.Seconds(), b.available+added)
	b.refilledAt = now
}

// allows reports whether one more change may be made now.
func (b *writeBudget) allows() bool { return b.perSecond <= 0 || b.available >= 1 }

// scarce reports whether so little of the budget is left that the order of changes matters.
// Without a limit it reports true after the first change.
func (b *writeBudget) scarce() bool {
	return b.available < b.perSecond*budgetInterval.Seconds()*scarceFraction
}

// spend subtracts the operations of a change from the budget.
func (b *writeBudget) spend(operations int) { b.available -= float64(operations) }
