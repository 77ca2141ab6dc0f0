package election

import "ospreystile.example/ospreystile/monotonic"

// Authority represents what a leader may do at one instant. Only [Term.Authority] derives it, and
// authorityPermissions lists what each value permits. The zero value permits nothing. Commits
// need no permission, because each commit is fenced by the revision of the leader key.
type Authority uint8

const (
	// AuthorityExpired means that the lease is invalid and that the leader may not act without
	// it: the term has ended, no renewal that started within renewalWindow has completed, or
	// OutageGrace has expired. A later leader was ruled out within IsolatedGrace.
	AuthorityExpired Authority = iota
	// AuthorityExpiredIsolated means that the lease is invalid, that the leader may not act
	// without it, and that a later leader could not be ruled out for IsolatedGrace or longer.
	AuthorityExpiredIsolated
	// AuthorityEnded means that the term has ended before its lease expires. The lease may
	// already be revoked.
	AuthorityEnded
	// AuthorityLeaseValid means that the leader holds the lease, so that no other controller
	// leads.
	AuthorityLeaseValid
	// AuthorityOutage means that the store is unreachable and that a later leader was ruled
	// out within IsolatedGrace, by the lease or by the acknowledgements of all peers.
	AuthorityOutage
	// AuthorityIsolated means that the store is unreachable and that a later leader could
	// not be ruled out for IsolatedGrace or longer, because not all peers acknowledged.
	AuthorityIsolated
)

// permissions holds what one value of Authority permits.
type permissions struct {
	name string
	// holdsLease reports whether the lease is valid, counted from its last renewal.
	holdsLease bool
	// mayAnswerHeartbeats reports whether heartbeats of workers may be answered.
	mayAnswerHeartbeats bool
	// restrictedToReplicas reports whether heartbeats of machines without replicas must not
	// be answered.
	restrictedToReplicas bool
	// mayProvision reports whether machines may be provisioned, and mayTerminate whether machines
	// may be terminated.
	mayProvision, mayTerminate bool
}

var authorityPermissions = [...]permissions{
	AuthorityExpired:         {name: "expired"},
	AuthorityExpiredIsolated: {name: "expired, isolated", restrictedToReplicas: true},
	AuthorityEnded:           {name: "ended, lease valid", holdsLease: true},
	AuthorityLeaseValid:      {name: "lease valid", holdsLease: true, mayAnswerHeartbeats: true, mayProvision: true, mayTerminate: true},
	AuthorityOutage:          {name: "store outage", mayAnswerHeartbeats: true, mayProvision: true},
	AuthorityIsolated:        {name: "isolated", mayAnswerHeartbeats: true, restrictedToReplicas: true},
}

// String returns the name of the authority for logs and tests.
func (a Authority) String() string { return authorityPermissions[a].name }

// HoldsLease reports whether the lease is valid, counted from its last renewal. Until the term
// ends, this means that no other controller leads.
func (a Authority) HoldsLease() bool { return authorityPermissions[a].holdsLease }

// MayAnswerHeartbeats reports whether heartbeats of workers may be answered.
func (a Authority) MayAnswerHeartbeats() bool { return authorityPermissions[a].mayAnswerHeartbeats }

// RestrictedToReplicas reports whether heartbeats of machines without replicas must not be
// answered. For machines with replicas see MayAnswerHeartbeats.
func (a Authority) RestrictedToReplicas() bool { return authorityPermissions[a].restrictedToReplicas }

// MayProvision reports whether machines may be provisioned. A later leader uses or terminates machines that
// this one has provisioned.
func (a Authority) MayProvision() bool { return authorityPermissions[a].mayProvision }

// MayTerminate reports whether machines may be terminated. Without the lease this leader does not know what
// a later leader has placed on a machine. Machines with tasks of cancelled jobs are the exception: they may
// be terminated as long as heartbeats may be answered, because a later leader places nothing on them.
func (a Authority) MayTerminate() bool { return authorityPermissions[a].mayTerminate }

// Authority derives what the leader may do now from the validity of its lease, the age of the
// last renewal and the acknowledgements of the peers. It takes no lock.
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

// withinOutageGrace reports whether OutageGrace has not expired and the last completed renewal
// started within renewalWindow.
func (t *Term) withinOutageGrace(now, leaseValidUntil monotonic.Instant) bool {
	return now < leaseValidUntil.Add(t.bounds.OutageGrace) &&
		now < t.lastRenewalStartedAt.Load().Add(renewalWindow)
}

// isolation reports whether a later leader could not be ruled out for IsolatedGrace or longer.
// expired reports whether heartbeats of machines with replicas must not be answered either,
// because IsolatedReplicaGrace has also passed. Without peers there is no later leader.
func (t *Term) isolation(now, leaseValidUntil monotonic.Instant) (isolated, expired bool) {
	if len(t.bounds.Peers) == 0 {
		return false, false
	}
	laterLeaderRuledOutAt := max(leaseValidUntil, t.acknowledgements.allAcknowledgedAt.Load())
	isolated = now >= laterLeaderRuledOutAt.Add(t.bounds.IsolatedGrace)
	expired = isolated && now >= laterLeaderRuledOutAt.Add(t.bounds.IsolatedReplicaGrace)
	return isolated, expired
}
