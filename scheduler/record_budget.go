package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

const (
	// budgetInterval is how long the budget takes to fill up. It holds the operations of this
	// interval at most.
	budgetInterval = time.Second
	// scarceFraction is the part of a full budget below which operations count as scarce.
	scarceFraction = 0.5
)

// writeBudget limits the rate of operations on records, so that the key-value store is not
// overloaded. A change may overdraw the budget; the next one then waits for longer.
type writeBudget struct {
	perSecond  float64 // operations; 0: no limit
	available  float64 // operations; negative while the budget is overdrawn
	refilledAt monotonic.Instant
}

// newWriteBudget makes a full budget.
func newWriteBudget(perSecond float64) writeBudget {
	return writeBudget{perSecond: perSecond, available: perSecond * budgetInterval.Seconds()}
}

// begin sets the time from which the budget is refilled.
func (b *writeBudget) begin(now monotonic.Instant) { b.refilledAt = now }

// refill adds what the rate allows since the last call.
func (b *writeBudget) refill(now monotonic.Instant) {
	earned := b.perSecond * now.Sub(b.refilledAt).Seconds()
	b.available = min(b.perSecond*budgetInterval.Seconds(), b.available+earned)
	b.refilledAt = now
}

// allows tells whether one more change may be made now.
func (b *writeBudget) allows() bool { return b.perSecond <= 0 || b.available >= 1 }

// scarce tells whether so little is left that the order of changes matters. Without a limit
// every change after the first is made in the order of scarcity.
func (b *writeBudget) scarce() bool {
	return b.available < b.perSecond*budgetInterval.Seconds()*scarceFraction
}

// spend takes the operations of a change.
func (b *writeBudget) spend(operations int) { b.available -= float64(operations) }
