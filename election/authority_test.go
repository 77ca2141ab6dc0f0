package election

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// fixedClock is a clock that always returns the same instant.
type fixedClock monotonic.Instant

func (c fixedClock) Now() monotonic.Instant { return monotonic.Instant(c) }

// testNow is the instant of the clock of terms built from a termState.
const testNow = monotonic.Instant(time.Hour)

// termState holds everything that determines the authority of a term. Durations are ages
// relative to testNow. A negative duration is in the future, except for acknowledgedAgo.
type termState struct {
	ended             bool
	leaseInvalidFor   time.Duration
	renewalStartedAgo time.Duration
	acknowledgedAgo   time.Duration // by all peers; negative means never
	noPeers           bool
	outageGrace       time.Duration
	isolatedGrace     time.Duration
	replicaGrace      time.Duration
}

func (s termState) allAcknowledgedAt() monotonic.Instant {
	if s.acknowledgedAgo < 0 {
		return 0
	}
	return testNow.Add(-s.acknowledgedAgo)
}

func (s termState) peers() []ids.ControllerName {
	if s.noPeers {
		return nil
	}
	return []ids.ControllerName{"n1", "n2"}
}

func (s termState) term() *Term {
	bounds := &LeaseBounds{
		TTL:                  3 * time.Second,
		OutageGrace:          s.outageGrace,
		IsolatedGrace:        s.isolatedGrace,
		IsolatedReplicaGrace: s.replicaGrace,
		Peers:                s.peers(),
	}
	t := &Term{clock: fixedClock(testNow), bounds: bounds, acknowledgements: newPeerAcknowledgements(bounds.Peers)}
	t.ended.Store(s.ended)
	t.leaseValidUntil.Store(testNow.Add(-s.leaseInvalidFor))
	t.lastRenewalStartedAt.Store(testNow.Add(-s.renewalStartedAgo))
	if s.acknowledgedAgo >= 0 {
		t.acknowledgements.record("n1", testNow) // the other acknowledgement is older
		t.acknowledgements.record("n2", s.allAcknowledgedAt())
	}
	return t
}

// wantHoldsLease, wantMayAnswerHeartbeats and wantRestrictedToReplicas each compute a predicate
// directly from the state, without Authority and authorityPermissions.
func (s termState) wantHoldsLease() bool { return testNow < testNow.Add(-s.leaseInvalidFor) }

func (s termState) wantMayAnswerHeartbeats() bool {
	if s.ended {
		return false
	}
	now, valid := testNow, testNow.Add(-s.leaseInvalidFor)
	return now < valid || now < valid.Add(s.outageGrace) && now < testNow.Add(-s.renewalStartedAgo).Add(5*time.Second) &&
		(s.noPeers || now < max(s.allAcknowledgedAt(), valid).Add(max(s.isolatedGrace, s.replicaGrace)))
}

func (s termState) wantRestrictedToReplicas() bool {
	valid := testNow.Add(-s.leaseInvalidFor)
	return !s.noPeers && testNow >= max(s.allAcknowledgedAt(), valid).Add(s.isolatedGrace)
}

// checkPredicates compares the predicates of the term with the conditions computed directly.
func (s termState) checkPredicates(t *testing.T) {
	t.Helper()
	term := s.term()
	for _, predicate := range []struct {
		name      string
		got, want bool
	}{
		{"HoldsLease", term.HoldsLease(), s.wantHoldsLease()},
		{"MayAnswerHeartbeats", term.MayAnswerHeartbeats(), s.wantMayAnswerHeartbeats()},
		{"RestrictedToReplicas", term.RestrictedToReplicas(), s.wantRestrictedToReplicas()},
		{"MayProvision", term.MayProvision(), s.wantMayAnswerHeartbeats() && !s.wantRestrictedToReplicas()},
		{"MayTerminate", term.MayTerminate(), s.wantHoldsLease() && !s.ended},
	} {
		if predicate.got != predicate.want {
			t.Errorf("%s = %t, want %t, with authority %q of %+v", predicate.name, predicate.got, predicate.want, term.Authority(), s)
		}
	}
}

// A wrong authority lets a leader act while a later one may have been elected, or stops it from
// answering heartbeats within the outage grace.
func TestAuthority(t *testing.T) {
	const never = -time.Second
	base := termState{renewalStartedAgo: time.Second, acknowledgedAgo: never,
		outageGrace: 90 * time.Second, isolatedGrace: 20 * time.Second, replicaGrace: 60 * time.Second}
	for _, c := range []struct {
		name string
		edit func(*termState)
		want Authority
	}{
		{"lease valid", func(s *termState) { s.leaseInvalidFor = -time.Nanosecond }, AuthorityLeaseValid},
		{"lease valid, renewal overdue", func(s *termState) { s.leaseInvalidFor, s.renewalStartedAgo = -time.Nanosecond, time.Minute }, AuthorityLeaseValid},
		{"lease valid, term ended", func(s *termState) { s.leaseInvalidFor, s.ended = -time.Nanosecond, true }, AuthorityEnded},
		{"lease just expired", func(s *termState) { s.leaseInvalidFor = 0 }, AuthorityOutage},
		{"lease expired, term ended", func(s *termState) { s.leaseInvalidFor, s.ended = time.Second, true }, AuthorityExpired},
		{"lease expired, renewal overdue", func(s *termState) { s.leaseInvalidFor, s.renewalStartedAgo = 6*time.Second, 5*time.Second }, AuthorityExpired},
		{"no acknowledgements, within the isolated grace", func(s *termState) { s.leaseInvalidFor = 20*time.Second - 1 }, AuthorityOutage},
		{"isolated", func(s *termState) { s.leaseInvalidFor = 20 * time.Second }, AuthorityIsolated},
		{"isolated until the replica grace", func(s *termState) { s.leaseInvalidFor = 60*time.Second - 1 }, AuthorityIsolated},
		{"isolated beyond the replica grace", func(s *termState) { s.leaseInvalidFor = 60 * time.Second }, AuthorityExpiredIsolated},
		{"isolated, term ended", func(s *termState) { s.leaseInvalidFor, s.ended = 30*time.Second, true }, AuthorityExpiredIsolated},
		{"isolated, renewal overdue", func(s *termState) { s.leaseInvalidFor, s.renewalStartedAgo = 30*time.Second, 5*time.Second }, AuthorityExpiredIsolated},
		{"all peers acknowledge", func(s *termState) { s.leaseInvalidFor, s.acknowledgedAgo = 80*time.Second, time.Second }, AuthorityOutage},
		{"the peers' acknowledgements are old", func(s *termState) { s.leaseInvalidFor, s.acknowledgedAgo = 80*time.Second, 20*time.Second }, AuthorityIsolated},
		{"outage grace expired, all peers acknowledge", func(s *termState) { s.leaseInvalidFor, s.acknowledgedAgo = 90*time.Second, time.Second }, AuthorityExpired},
		{"outage grace expired, isolated", func(s *termState) { s.leaseInvalidFor = 90 * time.Second }, AuthorityExpiredIsolated},
		{"no peers", func(s *termState) { s.leaseInvalidFor, s.noPeers = 90*time.Second-1, true }, AuthorityOutage},
		{"no peers, outage grace expired", func(s *termState) { s.leaseInvalidFor, s.noPeers = 90*time.Second, true }, AuthorityExpired},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := base
			c.edit(&state)
			if got := state.term().Authority(); got != c.want {
				t.Errorf("authority %q, want %q", got, c.want)
			}
			state.checkPredicates(t)
		})
	}
}

// A wrong entry of authorityPermissions, or a wrong case in Term.Authority, could let a leader act
// beyond the bounds on which later leaders rely. For all combinations of states at and next to the
// bounds, each predicate must equal its directly computed condition.
func TestAuthorityPermissionsMatchConditions(t *testing.T) {
	graceCombinations := [][3]time.Duration{ // outage, isolated, isolated with replicas
		{90 * time.Second, 20 * time.Second, 60 * time.Second},
		{90 * time.Second, 60 * time.Second, 20 * time.Second},
		{20 * time.Second, 20 * time.Second, 20 * time.Second},
		{90 * time.Second, 0, 0},
		{0, 0, 0},
	}
	ages := []time.Duration{-1, 0, 1, time.Second, 5*time.Second - 1, 5 * time.Second, 20*time.Second - 1, 20 * time.Second,
		20*time.Second + 1, 60*time.Second - 1, 60 * time.Second, 90*time.Second - 1, 90 * time.Second, 3 * time.Minute}
	for _, graces := range graceCombinations {
		t.Run(fmt.Sprint(graces), func(t *testing.T) {
			state := termState{outageGrace: graces[0], isolatedGrace: graces[1], replicaGrace: graces[2]}
			for i := range len(ages) * len(ages) * len(ages) * 4 {
				state.ended, state.noPeers = i&1 != 0, i&2 != 0
				rest := i / 4
				state.leaseInvalidFor, rest = ages[rest%len(ages)], rest/len(ages)
				state.renewalStartedAgo, rest = ages[rest%len(ages)], rest/len(ages)
				state.acknowledgedAgo = ages[rest]
				state.checkPredicates(t)
			}
		})
	}
}
