package election

import (
	"context"
	"errors"
	"fmt"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
)

const (
	// renewalsPerTTL is the number of renewals that start within a TTL while they succeed.
	// renewalRetriesPerTTL is the number while they fail.
	renewalsPerTTL       = 4
	renewalRetriesPerTTL = 10
)

// renewLease renews the lease until the context of the term is cancelled. It ends the term when
// the lease has expired in the store, or when OutageGrace has expired without a successful renewal.
func (e *Election) renewLease(ctx context.Context, t *Term, lease ids.LeaseID) {
	for ctx.Err() == nil {
		startedAt := e.clock.Now()
		err := e.store.RenewLease(ctx, lease)
		t.lastRenewalStartedAt.Store(startedAt)
		delay := e.bounds.TTL / renewalRetriesPerTTL
		switch {
		case err == nil:
			t.leaseValidUntil.Store(e.bounds.leaseValidUntil(startedAt))
			delay = e.bounds.TTL / renewalsPerTTL
		case errors.Is(err, kv.ErrLeaseExpired):
			t.End(fmt.Errorf("renew leader lease %d: %w", lease, err))
			return
		case t.outageGraceExpired():
			t.End(fmt.Errorf("renew leader lease %d: %w: %w", lease, errGraceExpired, err))
			return
		}
		monotonic.Sleep(ctx, delay)
	}
}

// outageGraceExpired reports whether OutageGrace has passed since the lease became invalid.
func (t *Term) outageGraceExpired() bool {
	return t.clock.Now() >= t.leaseValidUntil.Load().Add(t.bounds.OutageGrace)
}
