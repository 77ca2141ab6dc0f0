package election

import (
	"context"
	"sync/atomic"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Term represents an uninterrupted period during which one controller leads, under one
// revision of the leader key. It is safe for concurrent use.
type Term struct {
	// Revision is the revision of the leader key, from which fencing tokens are derived.
	Revision ids.Revision

	clock  monotonic.Clock
	bounds *LeaseBounds
	cancel context.CancelCauseFunc
	ended  atomic.Bool
	// leaseValidUntil is the instant of this machine's clock until which the lease is valid.
	leaseValidUntil atomicInstant
	// lastRenewalStartedAt is the start of the last completed renewal, successful or not.
	lastRenewalStartedAt atomicInstant
	acknowledgements     *peerAcknowledgements
}

// HoldsLease reports whether the lease is valid now, counted from its last renewal. Until the
// term ends, this means that no other controller leads. If the term ends before the lease
// expires, HoldsLease remains true until that expiry, although the lease may be revoked earlier.
func (t *Term) HoldsLease() bool { return t.Authority().HoldsLease() }

// MayAnswerHeartbeats reports whether heartbeats of workers may be answered now. They may be
// answered while the lease is valid, and in a store outage for a bounded grace period, which is
// shorter while a later leader cannot be ruled out. The next leader relies on these bounds.
// MayAnswerHeartbeats is false after a process pause that outlasted the lease until a renewal
// has completed, and after the term has ended.
func (t *Term) MayAnswerHeartbeats() bool { return t.Authority().MayAnswerHeartbeats() }

// RestrictedToReplicas reports whether heartbeats of machines without replicas must not be
// answered now. For machines with replicas see MayAnswerHeartbeats.
func (t *Term) RestrictedToReplicas() bool { return t.Authority().RestrictedToReplicas() }

// MayProvision reports whether machines may be provisioned now. See [Authority.MayProvision].
func (t *Term) MayProvision() bool { return t.Authority().MayProvision() }

// MayTerminate reports whether machines may be terminated now. See [Authority.MayTerminate].
func (t *Term) MayTerminate() bool { return t.Authority().MayTerminate() }

// RecordPeerAck records that a peer, asked at askedAt, knew of no later leader. startedAt is the
// latest instant at which the peer's process can have started. Both are instants of the
// leader's own clock. An acknowledgement counts only if that process was running while the
// lease was still valid. A process that started later may succeed a process of the same peer
// that led, without knowing of that term.
func (t *Term) RecordPeerAck(peer ids.ControllerName, askedAt, startedAt monotonic.Instant) {
	if startedAt >= t.leaseValidUntil.Load() {
		return
	}
	t.acknowledgements.record(peer, askedAt)
}

// End ends the term and cancels the context of the leader's work with the cause, unless the
// term has already ended. Once End has returned, MayAnswerHeartbeats is false even for work that
// ignores its context. Other controllers rely on this: once a ping of this controller names a later
// leader, this controller answers no heartbeat for the term.
func (t *Term) End(cause error) {
	t.ended.Store(true)
	t.cancel(cause)
}
