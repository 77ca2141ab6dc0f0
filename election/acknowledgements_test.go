package election

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/monotonic"
)

// An instant that is later than a peer's latest acknowledgement would count a later leader as ruled
// out although that peer may know of one.
func TestAllAcknowledgedAt(t *testing.T) {
	type acknowledgement struct {
		peer    ids.ControllerName
		askedAt monotonic.Instant
	}
	for _, c := range []struct {
		name  string
		peers []ids.ControllerName
		acks  []acknowledgement
		want  monotonic.Instant
	}{
		{"no peer", []ids.ControllerName{"n1", "n2"}, nil, 0},
		{"one peer of two", []ids.ControllerName{"n1", "n2"}, []acknowledgement{{"n1", 7}}, 0},
		{"the only peer", []ids.ControllerName{"n1"}, []acknowledgement{{"n1", 7}}, 7},
		{"the older of two", []ids.ControllerName{"n1", "n2"}, []acknowledgement{{"n1", 7}, {"n2", 5}}, 5},
		{"a delayed older acknowledgement is ignored", []ids.ControllerName{"n1", "n2"}, []acknowledgement{{"n1", 7}, {"n2", 5}, {"n2", 4}}, 5},
		{"a newer acknowledgement", []ids.ControllerName{"n1", "n2"}, []acknowledgement{{"n1", 7}, {"n2", 5}, {"n2", 9}}, 7},
		{"a controller that is not a peer", []ids.ControllerName{"n1"}, []acknowledgement{{"n1", 7}, {"n9", 5}}, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			acknowledgements := newPeerAcknowledgements(c.peers)
			for _, a := range c.acks {
				acknowledgements.record(a.peer, a.askedAt)
			}
			if got := acknowledgements.allAcknowledgedAt.Load(); got != c.want {
				t.Errorf("all acknowledged at %d, want %d", got, c.want)
			}
		})
	}
}

const (
	testIsolatedGrace        = 5 * time.Second
	testIsolatedReplicaGrace = 8 * time.Second
)

// acknowledgeFunc records peer acknowledgements with a term, asked for at now. The peers'
// processes started at startedAt, before the lease of the term became invalid.
type acknowledgeFunc func(t *Term, now, startedAt monotonic.Instant)

// A leader that loses the store cannot distinguish an outage from its own isolation, in which a
// later leader may have been elected. It may answer heartbeats for the whole outage grace only
// while every peer acknowledges that it knows of no later leader and has run since before the
// lease became invalid. Otherwise it must stop after the isolation bounds, on which a later
// leader relies.
func TestIsolatedLeaderStopsAnsweringEarlier(t *testing.T) {
	for _, c := range []struct {
		name        string
		acknowledge acknowledgeFunc
		// The time after the lease became invalid during which heartbeats are answered.
		wantReplicas, wantOthers time.Duration
	}{
		{"no peer acknowledges", func(*Term, monotonic.Instant, monotonic.Instant) {},
			testIsolatedReplicaGrace, testIsolatedGrace},
		{"one peer acknowledges", func(t *Term, now, startedAt monotonic.Instant) { t.RecordPeerAck("n1", now, startedAt) },
			testIsolatedReplicaGrace, testIsolatedGrace},
		{"one peer restarted after the lease became invalid", func(t *Term, now, startedAt monotonic.Instant) {
			t.RecordPeerAck("n1", now, startedAt)
			t.RecordPeerAck("n2", now, t.leaseValidUntil.Load())
		}, testIsolatedReplicaGrace, testIsolatedGrace},
		{"all peers acknowledge", func(t *Term, now, startedAt monotonic.Instant) {
			t.RecordPeerAck("n1", now, startedAt)
			t.RecordPeerAck("n2", now, startedAt)
		}, testOutageGrace, testOutageGrace},
		{"one peer acknowledges for 5 s", func(t *Term, now, startedAt monotonic.Instant) {
			t.RecordPeerAck("n1", now, startedAt)
			if now < t.leaseValidUntil.Load().Add(5*time.Second) {
				t.RecordPeerAck("n2", now, startedAt)
			}
		}, 5*time.Second + testIsolatedReplicaGrace, 5*time.Second + testIsolatedGrace},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := kvtest.NewStore()
				term := startTermWithPeers(t, s)
				time.Sleep(5 * time.Second)
				s.StartOutage()
				replicas, others := answeredInOutage(term, c.acknowledge)
				checkApproximately(t, "machines with replicas", replicas, c.wantReplicas)
				checkApproximately(t, "other machines", others, c.wantOthers)
			})
		})
	}
}

// startTermWithPeers starts an election with two peers. It returns its first term.
func startTermWithPeers(t *testing.T, s *kvtest.Store) *Term {
	t.Helper()
	terms := make(chan *Term, 9)
	bounds := LeaseBounds{
		TTL:                  testTTL,
		OutageGrace:          testOutageGrace,
		IsolatedGrace:        testIsolatedGrace,
		IsolatedReplicaGrace: testIsolatedReplicaGrace,
		Peers:                []ids.ControllerName{"n1", "n2"},
	}
	election := New(newClient(s), Identity{Name: "n0"}, bounds, monotonic.SystemClock(), slog.New(slog.DiscardHandler),
		func(ctx context.Context, term *Term) error {
			terms <- term
			<-ctx.Done()
			return context.Cause(ctx)
		})
	runElection(t, election)
	return <-terms
}

// answeredInOutage returns how long after its lease became invalid a leader answers heartbeats
// of machines with replicas, and of other machines. It must be called when an outage has just begun.
func answeredInOutage(term *Term, acknowledge acknowledgeFunc) (replicas, others time.Duration) {
	startedAt := term.clock.Now().Add(-time.Minute)
	time.Sleep(time.Second)
	invalidAt := term.leaseValidUntil.Load()
	for range 300 {
		now := term.clock.Now()
		if now >= invalidAt && now < invalidAt.Add(25*time.Second) {
			acknowledge(term, now, startedAt)
		}
		if term.MayAnswerHeartbeats() {
			replicas = now.Sub(invalidAt)
			if !term.RestrictedToReplicas() {
				others = now.Sub(invalidAt)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return replicas, others
}

// checkApproximately checks for how long heartbeats of some machines were answered.
func checkApproximately(t *testing.T, machines string, got, want time.Duration) {
	t.Helper()
	const tolerance = 300 * time.Millisecond
	if got < want-tolerance || got > want+tolerance {
		t.Errorf("heartbeats of %s are answered for %v after the lease became invalid, want %v", machines, got, want)
	}
}
