package controller

import (
	"context"
	"testing"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// newCancelledJobStore starts a key-value store at revision 9 that holds job-1, cancelled at revision 7.
func newCancelledJobStore(t *testing.T) *kvtest.Server {
	t.Helper()
	server := newTestStore(t)
	server.AdvanceRevision(6)
	server.Put(records.JobKey("job-1"), records.Job{Status: wire.JobCancelled, Tasks: 3, Spec: &wire.JobSpec{Tasks: 3}})
	server.AdvanceRevision(2)
	return server
}

// A controller that alone cannot reach the key-value store must read through a peer. If no peer is known
// to reach the store, it must ask the user to retry.
func TestReadsGoThroughPeerWhileStoreIsUnreachable(t *testing.T) {
	reachable, unreachable := newCancelledJobStore(t), newCancelledJobStore(t)
	unreachable.RefuseRequests("/")
	ctx, cancel := context.WithCancel(t.Context())
	other := newTestController(t, testConfig(reachable.Address()))

	cfg := testConfig(unreachable.Address())
	cfg.Seeds = []config.Peer{{Name: "n-1", Address: servePeers(t, other)}}
	n := newTestController(t, cfg)
	done := make(chan error, 1)
	go func() { done <- n.statusReader.run(ctx) }()
	defer func() { cancel(); <-done }()
	if a := n.service.Status(ctx, "job-1"); a.Status != 503 || a.RetryAfter == 0 {
		t.Fatalf("no peer is known to reach the store: %+v", a)
	}
	n.storeHealth.failures.Store(2)
	n.peers[0].storeReachable.Store(true)
	n.peers[0].lastAnswer.Store(int64(n.pinger.clock.Now()))
	if a := n.service.Status(ctx, "job-2"); a.Status != 404 {
		t.Errorf("status of an unknown job: %+v", a)
	}
	// The cancellation is reported to users only once a leader has acknowledged it.
	if a := n.service.Status(ctx, "job-1"); a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("a cancellation that no leader has acknowledged: %+v", a)
	}
	n.pinger.observe(peerapi.Ping{AcknowledgedRevision: 7})
	a := n.service.Status(ctx, "job-1")
	if s, ok := a.Body.(wire.JobStatus); a.Status != 200 || !ok || s.Status != wire.JobCancelled {
		t.Fatalf("through the peer: %+v", a)
	}
	// A final status is reported even while the store cannot be reached.
	n.peers[0].storeReachable.Store(false)
	if a := n.service.Status(ctx, "job-1"); a.Status != 200 {
		t.Errorf("a job whose final status is cached: %+v", a)
	}
}
