package election

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

const (
	// leaseSafetyMargin covers the resolution of timers and the store's own delay in
	// starting and ending a lease.
	leaseSafetyMargin = 50 * time.Millisecond
	// renewalWindow is how recently a completed renewal, successful or not, must have started
	// for a leader to act with an expired lease. It is longer than a renewal that times out.
	renewalWindow = 5 * time.Second
)

// LeaseBounds are the intervals for which a leader may act. None is negative.
type LeaseBounds struct {
	// TTL is the time to live of the leader lease after its last renewal.
	TTL time.Duration
	// OutageGrace is for how long after the lease became invalid a leader may answer
	// heartbeats at most, while the store is unreachable.
	OutageGrace time.Duration
	// IsolatedGrace is for how long a leader may answer heartbeats of machines without
	// replicas after the last instant at which a later leader was ruled out: the lease was
	// valid, or all Peers acknowledged. IsolatedReplicaGrace is the same for machines with
	// replicas. A later leader relies on both, because it may have reported cancellations
	// to users that this leader does not know.
	IsolatedGrace, IsolatedReplicaGrace time.Duration
	// Peers are the other controllers.
	Peers []ids.ControllerName
}

// leaseValidUntil returns until when a lease is valid that was granted or renewed by a
// request sent at started.
func (b *LeaseBounds) leaseValidUntil(started monotonic.Instant) monotonic.Instant {
	return started.Add(b.TTL - monotonic.MaxDrift(b.TTL) - leaseSafetyMargin)
}
