package election

import (
	"context"
	"sync/atomic"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Term is the time for which one controller leads without interruption, under one revision of
// the leader key. Any goroutine may call its methods.
type Term struct {
	// Revision is the revision of the leader key, from which fencing tokens are made.
	Revision ids.Revision

	clock  monotonic.Clock
	bounds *LeaseBounds
	cancel context.CancelCauseFunc
	ended  atomic.Bool
	// leaseValidUntil is until when the lease is valid on this machine's clock.
	leaseValidUntil atomicInstant
	// lastRenewalStarted is when the last completed renewal, successful or not, started.
	lastRenewalStarted atomicInstant
	acknowledgements   *peerAcknowledgements
}

// HoldsLease reports whether the lease is valid now by the time of its last renewal. Until the
// term ends this means that no other controller leads. It stays true for the rest of that time
// if the term ends earlier, although the lease is revoked then.
func (t *Term) HoldsLease() bool { return t.Authority().HoldsLease() }

// MayAnswerHeartbeats reports whether workers may be answered now: while the lease is valid,
// and in a store outage for a bounded grace, which is shorter while a later leader cannot be
// ruled out. The next leader relies on these bounds. After a process pause it is false until
// a renewal has completed. It is false once the term has ended.
func (t *Term) MayAnswerHeartbeats() bool { return t.Authority().MayAnswerHeartbeats() }

// MayAnswerReplicasOnly reports whether machines without replicas must not be answered now.
// For machines with replicas see MayAnswerHeartbeats.
func (t *Term) MayAnswerReplicasOnly() bool { return t.Authority().MayAnswerReplicasOnly() }

// RecordPeerAck notes that a peer, asked at the instant asked, knew of no later leader. The
// instant started is the latest at which the peer's process can have started, and both are
// instants of the leader's own clock. An acknowledgement counts only if that process ran
// while the lease was still valid. One that started later may follow an earlier process that
// led, and not know of it.
func (t *Term) RecordPeerAck(peer ids.ControllerName, asked, started monotonic.Instant) {
	if started >= t.leaseValidUntil.Load() {
		return
	}
	t.acknowledgements.record(peer, asked)
}

// End ends the term. The context of the leader's work is cancelled with the cause, unless the
// term had ended before. MayAnswerHeartbeats is false once End has returned, also for work that
// ignores its context: other controllers rely on this one following a later leader.
func (t *Term) End(cause error) {
	t.ended.Store(true)
	t.cancel(cause)
}
