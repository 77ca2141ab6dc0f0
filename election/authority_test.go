package election

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// fixedClock is a clock that stands still.
type fixedClock monotonic.Instant

func (c fixedClock) Now() monotonic.Instant { return monotonic.Instant(c) }

// testNow is the instant of the clock of terms made by termFacts.
const testNow = monotonic.Instant(time.Hour)

// termFacts are what the authority of a term depends on. Durations count back from now: a
// negative one lies in the future.
type termFacts struct {
	ended             bool
	leaseInvalidFor   time.Duration
	renewalStartedAgo time.Duration
	acknowledgedAgo   time.Duration // by all peers; negative: never
	noPeers           bool
	outageGrace       time.Duration
	isolatedGrace     time.Duration
	replicaGrace      time.Duration
}

func (f termFacts) allAcknowledgedAt() monotonic.Instant {
	if f.acknowledgedAgo < 0 {
		return 0
	}
	return testNow.Add(-f.acknowledgedAgo)
}

func (f termFacts) peers() []ids.ControllerName {
	if f.noPeers {
		return nil
	}
	return []ids.ControllerName{"n1", "n2"}
}

func (f termFacts) term() *Term {
	bounds := &LeaseBounds{
		TTL:                  3 * time.Second,
		OutageGrace:          f.outageGrace,
		IsolatedGrace:        f.isolatedGrace,
		IsolatedReplicaGrace: f.replicaGrace,
		Peers:                f.peers(),
	}
	t := &Term{clock: fixedClock(testNow), bounds: bounds, acknowledgements: newPeerAcknowledgements(bounds.Peers)}
	t.ended.Store(f.ended)
	t.leaseValidUntil.Store(testNow.Add(-f.leaseInvalidFor))
	t.lastRenewalStarted.Store(testNow.Add(-f.renewalStartedAgo))
	if f.acknowledgedAgo >= 0 {
		t.acknowledgements.record("n1", testNow) // the other one is the older
		t.acknowledgements.record("n2", f.allAcknowledgedAt())
	}
	return t
}

// wantHoldsLease, wantMayAnswerHeartbeats and wantMayAnswerReplicasOnly are the conditions as
// they were written before Authority, each on its own. They pin the table.
func (f termFacts) wantHoldsLease() bool { return testNow < testNow.Add(-f.leaseInvalidFor) }

func (f termFacts) wantMayAnswerHeartbeats() bool {
	if f.ended {
		return false
	}
	now, valid := testNow, testNow.Add(-f.leaseInvalidFor)
	return now < valid || now < valid.Add(f.outageGrace) && now < testNow.Add(-f.renewalStartedAgo).Add(5*time.Second) &&
		(f.noPeers || now < max(f.allAcknowledgedAt(), valid).Add(max(f.isolatedGrace, f.replicaGrace)))
}

func (f termFacts) wantMayAnswerReplicasOnly() bool {
	valid := testNow.Add(-f.leaseInvalidFor)
	return !f.noPeers && testNow >= max(f.allAcknowledgedAt(), valid).Add(f.isolatedGrace)
}

// check compares the term's predicates with the earlier conditions.
func (f termFacts) check(t *testing.T) {
	t.Helper()
	term := f.term()
	for _, predicate := range []struct {
		name      string
		got, want bool
	}{
		{"HoldsLease", term.HoldsLease(), f.wantHoldsLease()},
		{"MayAnswerHeartbeats", term.MayAnswerHeartbeats(), f.wantMayAnswerHeartbeats()},
		{"MayAnswerReplicasOnly", term.MayAnswerReplicasOnly(), f.wantMayAnswerReplicasOnly()},
	} {
		if predicate.got != predicate.want {
			t.Errorf("%s = %t, want %t, with authority %q of %+v", predicate.name, predicate.got, predicate.want, term.Authority(), f)
		}
	}
}

func TestAuthority(t *testing.T) {
	const never = -time.Second
	bounded := termFacts{renewalStartedAgo: time.Second, acknowledgedAgo: never,
		outageGrace: 90 * time.Second, isolatedGrace: 20 * time.Second, replicaGrace: 60 * time.Second}
	for _, c := range []struct {
		name string
		edit func(*termFacts)
		want Authority
	}{
		{"lease valid", func(f *termFacts) { f.leaseInvalidFor = -time.Nanosecond }, AuthorityLeaseValid},
		{"lease valid, renewal overdue", func(f *termFacts) { f.leaseInvalidFor, f.renewalStartedAgo = -time.Nanosecond, time.Minute }, AuthorityLeaseValid},
		{"lease valid, term ended", func(f *termFacts) { f.leaseInvalidFor, f.ended = -time.Nanosecond, true }, AuthorityEnded},
		{"lease just expired", func(f *termFacts) { f.leaseInvalidFor = 0 }, AuthorityOutage},
		{"lease expired, term ended", func(f *termFacts) { f.leaseInvalidFor, f.ended = time.Second, true }, AuthorityExpired},
		{"lease expired, renewal overdue", func(f *termFacts) { f.leaseInvalidFor, f.renewalStartedAgo = 6*time.Second, 5*time.Second }, AuthorityExpired},
		{"without acknowledgements", func(f *termFacts) { f.leaseInvalidFor = 20*time.Second - 1 }, AuthorityOutage},
		{"isolated", func(f *termFacts) { f.leaseInvalidFor = 20 * time.Second }, AuthorityIsolated},
		{"isolated until the replica grace", func(f *termFacts) { f.leaseInvalidFor = 60*time.Second - 1 }, AuthorityIsolated},
		{"isolated beyond the replica grace", func(f *termFacts) { f.leaseInvalidFor = 60 * time.Second }, AuthorityExpiredIsolated},
		{"isolated, term ended", func(f *termFacts) { f.leaseInvalidFor, f.ended = 30*time.Second, true }, AuthorityExpiredIsolated},
		{"isolated, renewal overdue", func(f *termFacts) { f.leaseInvalidFor, f.renewalStartedAgo = 30*time.Second, 5*time.Second }, AuthorityExpiredIsolated},
		{"all peers acknowledge", func(f *termFacts) { f.leaseInvalidFor, f.acknowledgedAgo = 80*time.Second, time.Second }, AuthorityOutage},
		{"the peers' acknowledgements are old", func(f *termFacts) { f.leaseInvalidFor, f.acknowledgedAgo = 80*time.Second, 20*time.Second }, AuthorityIsolated},
		{"outage grace expired, all peers acknowledge", func(f *termFacts) { f.leaseInvalidFor, f.acknowledgedAgo = 90*time.Second, time.Second }, AuthorityExpired},
		{"outage grace expired, isolated", func(f *termFacts) { f.leaseInvalidFor = 90 * time.Second }, AuthorityExpiredIsolated},
		{"no peers", func(f *termFacts) { f.leaseInvalidFor, f.noPeers = 90*time.Second-1, true }, AuthorityOutage},
		{"no peers, outage grace expired", func(f *termFacts) { f.leaseInvalidFor, f.noPeers = 90*time.Second, true }, AuthorityExpired},
	} {
		t.Run(c.name, func(t *testing.T) {
			facts := bounded
			c.edit(&facts)
			if got := facts.term().Authority(); got != c.want {
				t.Errorf("authority %q, want %q", got, c.want)
			}
			facts.check(t)
		})
	}
}

// The table gives each predicate the value that its own condition had, for all combinations
// of facts at and beside the bounds.
func TestAuthorityGrantsEqualEarlierConditions(t *testing.T) {
	boundsOfGraces := [][3]time.Duration{ // outage, isolated, isolated with replicas
		{90 * time.Second, 20 * time.Second, 60 * time.Second},
		{90 * time.Second, 60 * time.Second, 20 * time.Second},
		{20 * time.Second, 20 * time.Second, 20 * time.Second},
		{90 * time.Second, 0, 0},
		{0, 0, 0},
	}
	ages := []time.Duration{-1, 0, 1, time.Second, 5*time.Second - 1, 5 * time.Second, 20*time.Second - 1, 20 * time.Second,
		20*time.Second + 1, 60*time.Second - 1, 60 * time.Second, 90*time.Second - 1, 90 * time.Second, 3 * time.Minute}
	for _, graces := range boundsOfGraces {
		t.Run(fmt.Sprint(graces), func(t *testing.T) {
			facts := termFacts{outageGrace: graces[0], isolatedGrace: graces[1], replicaGrace: graces[2]}
			for i := range len(ages) * len(ages) * len(ages) * 4 {
				facts.ended, facts.noPeers = i&1 != 0, i&2 != 0
				rest := i / 4
				facts.leaseInvalidFor, rest = ages[rest%len(ages)], rest/len(ages)
				facts.renewalStartedAgo, rest = ages[rest%len(ages)], rest/len(ages)
				facts.acknowledgedAgo = ages[rest]
				facts.check(t)
			}
		})
	}
}
