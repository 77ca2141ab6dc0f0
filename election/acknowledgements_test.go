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

func TestAllAcknowledgedAt(t *testing.T) {
	type acknowledgement struct {
		peer  ids.ControllerName
		asked monotonic.Instant
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
		{"a late answer does not count back", []ids.ControllerName{"n1", "n2"}, []acknowledgement{{"n1", 7}, {"n2", 5}, {"n2", 4}}, 5},
		{"a newer answer", []ids.ControllerName{"n1", "n2"}, []acknowledgement{{"n1", 7}, {"n2", 5}, {"n2", 9}}, 7},
		{"a controller that is no peer", []ids.ControllerName{"n1"}, []acknowledgement{{"n1", 7}, {"n9", 5}}, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			acknowledgements := newPeerAcknowledgements(c.peers)
			for _, a := range c.acks {
				acknowledgements.record(a.peer, a.asked)
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

// acknowledgeFunc hands acknowledgements to a term now. The instant started lies before the
// term's lease became invalid.
type acknowledgeFunc func(t *Term, now, started monotonic.Instant)

// A leader that loses the store cannot tell an outage from a later leader of which it does
// not hear. It may answer heartbeats for the whole outage grace only while every peer, running
// since before the lease became invalid, acknowledges that it knows of none. Otherwise it
// stops after the isolation bounds, which a later leader counts on.
func TestIsolatedLeaderStopsSooner(t *testing.T) {
	for _, c := range []struct {
		name        string
		acknowledge acknowledgeFunc
		// How long after the lease became invalid heartbeats are answered.
		wantReplicas, wantOthers time.Duration
	}{
		{"no peer acknowledges", func(*Term, monotonic.Instant, monotonic.Instant) {},
			testIsolatedReplicaGrace, testIsolatedGrace},
		{"one peer acknowledges", func(t *Term, now, started monotonic.Instant) { t.RecordPeerAck("n1", now, started) },
			testIsolatedReplicaGrace, testIsolatedGrace},
		{"one peer was started since", func(t *Term, now, started monotonic.Instant) {
			t.RecordPeerAck("n1", now, started)
			t.RecordPeerAck("n2", now, t.leaseValidUntil.Load())
		}, testIsolatedReplicaGrace, testIsolatedGrace},
		{"all peers acknowledge", func(t *Term, now, started monotonic.Instant) {
			t.RecordPeerAck("n1", now, started)
			t.RecordPeerAck("n2", now, started)
		}, testOutageGrace, testOutageGrace},
		{"one peer acknowledges for 5 s", func(t *Term, now, started monotonic.Instant) {
			t.RecordPeerAck("n1", now, started)
			if now < t.leaseValidUntil.Load().Add(5*time.Second) {
				t.RecordPeerAck("n2", now, started)
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
				checkAbout(t, "machines with replicas", replicas, c.wantReplicas)
				checkAbout(t, "other machines", others, c.wantOthers)
			})
		})
	}
}

// startTermWithPeers starts an election with two peers and returns its first term.
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
	run(t, election)
	return <-terms
}

// answeredInOutage returns for how long after its lease became invalid a leader answers
// heartbeats of machines with replicas, and of others. The outage has just begun.
func answeredInOutage(term *Term, acknowledge acknowledgeFunc) (replicas, others time.Duration) {
	started := term.clock.Now().Add(-time.Minute)
	time.Sleep(time.Second)
	invalidAt := term.leaseValidUntil.Load()
	for range 300 {
		now := term.clock.Now()
		if now >= invalidAt && now < invalidAt.Add(25*time.Second) {
			acknowledge(term, now, started)
		}
		if term.MayAnswerHeartbeats() {
			replicas = now.Sub(invalidAt)
			if !term.MayAnswerReplicasOnly() {
				others = now.Sub(invalidAt)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return replicas, others
}

func checkAbout(t *testing.T, machines string, got, want time.Duration) {
	t.Helper()
	const tolerance = 300 * time.Millisecond
	if got < want-tolerance || got > want+tolerance {
		t.Errorf("heartbeats of %s are answered for %v after the lease became invalid, want %v", machines, got, want)
	}
}
