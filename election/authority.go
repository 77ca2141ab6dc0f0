package election

import "ospreystile.example/ospreystile/monotonic"

// Authority is what a leader may do at one instant. [Term.Authority] alone derives it, and
// authorityGrants lists what each value permits. The zero value permits nothing. Records need
// no entry: each commit is fenced by the revision of the leader key.
type Authority uint8

const (
	// AuthorityExpired means that the lease is invalid and that nothing permits the leader
	// to act without it: the term has ended, no renewal started recently, or OutageGrace
	// expired. A later leader was ruled out within IsolatedGrace.
	AuthorityExpired Authority = iota
	// AuthorityExpiredIsolated is AuthorityExpired when a later leader could not be ruled out
	// for IsolatedGrace or longer.
	AuthorityExpiredIsolated
	// AuthorityEnded means that the term has ended before its lease expires. The lease may
	// have been revoked since.
	AuthorityEnded
	// AuthorityLeaseValid means that the leader holds the lease, so that no other controller
	// leads.
	AuthorityLeaseValid
	// AuthorityOutage means that the store is unreachable and that a later leader was ruled
	// out within IsolatedGrace, by the lease or by the acknowledgements of all peers.
	AuthorityOutage
	// AuthorityIsolated means that the store is unreachable and that a later leader could
	// not be ruled out for IsolatedGrace or longer: not all peers acknowledged.
	AuthorityIsolated
)

// authorityGrant is what one value of Authority permits.
type authorityGrant struct {
	name string
	// holdsLease is set while the lease is valid by the time of its last renewal.
	holdsLease bool
	// answersHeartbeats is set while workers may be answered.
	answersHeartbeats bool
	// replicasOnly is set once machines without replicas must not be answered.
	replicasOnly bool
}

var authorityGrants = [...]authorityGrant{
	AuthorityExpired:         {name: "expired"},
	AuthorityExpiredIsolated: {name: "expired, isolated", replicasOnly: true},
	AuthorityEnded:           {name: "ended, lease valid", holdsLease: true},
	AuthorityLeaseValid:      {name: "lease valid", holdsLease: true, answersHeartbeats: true},
	AuthorityOutage:          {name: "store outage", answersHeartbeats: true},
	AuthorityIsolated:        {name: "isolated", answersHeartbeats: true, replicasOnly: true},
}

// String returns the name of the authority for logs and tests.
func (a Authority) String() string { return authorityGrants[a].name }

// HoldsLease reports whether the lease is valid by the time of its last renewal. Until the
// term ends this means that no other controller leads.
func (a Authority) HoldsLease() bool { return authorityGrants[a].holdsLease }

// MayAnswerHeartbeats reports whether workers may be answered.
func (a Authority) MayAnswerHeartbeats() bool { return authorityGrants[a].answersHeartbeats }

// MayAnswerReplicasOnly reports whether machines without replicas must not be answered.
// For machines with replicas see MayAnswerHeartbeats.
func (a Authority) MayAnswerReplicasOnly() bool { return authorityGrants[a].replicasOnly }

// Authority derives what the leader may do now from the validity of its lease, the age of the
// last renewal and the acknowledgements of the peers. It takes no lock, and any goroutine may
// call it.
func (t *Term) Authority() Authority {
	now := t.clock.Now()
	ended := t.ended.Load()
	leaseValidUntil := t.leaseValidUntil.Load()
	if now < leaseValidUntil {
		if ended {
			return AuthorityEnded
		}
		return AuthorityLeaseValid
	}
	isolated, isolationExpired := t.isolation(now, leaseValidUntil)
	mayAct := !ended && !isolationExpired && t.withinOutageGrace(now, leaseValidUntil)
	switch {
	case mayAct && isolated:
		return AuthorityIsolated
	case mayAct:
		return AuthorityOutage
	case isolated:
		return AuthorityExpiredIsolated
	default:
		return AuthorityExpired
	}
}

// withinOutageGrace reports whether OutageGrace has not expired and the leader has asked the
// store recently.
func (t *Term) withinOutageGrace(now, leaseValidUntil monotonic.Instant) bool {
	return now < leaseValidUntil.Add(t.bounds.OutageGrace) &&
		now < t.lastRenewalStarted.Load().Add(renewalWindow)
}

// isolation reports whether a later leader could not be ruled out for IsolatedGrace, and
// whether this has lasted so long that machines with replicas must not be answered either.
// Without peers there is no later leader.
func (t *Term) isolation(now, leaseValidUntil monotonic.Instant) (isolated, expired bool) {
	if len(t.bounds.Peers) == 0 {
		return false, false
	}
	ruledOutAt := max(leaseValidUntil, t.acknowledgements.allAcknowledgedAt.Load())
	isolated = now >= ruledOutAt.Add(t.bounds.IsolatedGrace)
	expired = isolated && now >= ruledOutAt.Add(t.bounds.IsolatedReplicaGrace)
	return isolated, expired
}
