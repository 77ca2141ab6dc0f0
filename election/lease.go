package election

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

const (
	// leaseSafetyMargin covers the timer resolution and the store's delay in starting and
	// ending a lease.
	leaseSafetyMargin = 50 * time.Millisecond
	// renewalWindow is the maximum time since the start of the last completed renewal,
	// successful or not, for a leader to act with an expired lease. It is longer than a
	// renewal that times out.
	renewalWindow = 5 * time.Second
)

// LeaseBounds holds the bounds on how long a leader may act without renewing its lease, and the peers
// whose acknowledgements extend them. No bound is negative.
type LeaseBounds struct {
	// TTL is the time to live of the leader lease after its last renewal.
	TTL time.Duration
	// OutageGrace is the maximum time after the lease became invalid for which a leader may
	// answer heartbeats while the store is unreachable.
	OutageGrace time.Duration
	// IsolatedGrace is the maximum time for which a leader may answer heartbeats of machines
	// without replicas after the last instant at which a later leader was ruled out. At that
	// instant the lease was valid, or all Peers acknowledged. IsolatedReplicaGrace is the same
	// for machines with replicas, which are tasks of services. A later leader relies on both
	// bounds, because it may have reported cancellations to users that this leader does not
	// know about.
	IsolatedGrace, IsolatedReplicaGrace time.Duration
	// Peers are the other controllers.
	Peers []ids.ControllerName
}

// leaseValidUntil returns the instant until which a lease is valid that was granted or renewed
// by a request that started at startedAt.
func (b *LeaseBounds) leaseValidUntil(startedAt monotonic.Instant) monotonic.Instant {
	return startedAt.Add(b.TTL - monotonic.MaxDrift(b.TTL) - leaseSafetyMargin)
}
