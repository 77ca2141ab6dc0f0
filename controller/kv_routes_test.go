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

// newCancelledJobStore starts a key-value store that holds job-1, cancelled at revision 7.
func newCancelledJobStore(t *testing.T) *kvtest.Server {
	t.Helper()
	server := newTestStore(t)
	server.AdvanceRevision(6)
	server.Put(records.JobKey("job-1"), records.Job{Status: wire.JobCancelled, Tasks: 3, Spec: &wire.JobSpec{Tasks: 3}})
	return server
}

// A controller that the key-value store refuses alone reads through a peer; without one it
// says at once that it does not know.
func TestReadsThroughAPeerWhenRefusedAlone(t *testing.T) {
	good, bad := newCancelledJobStore(t), newCancelledJobStore(t)
	bad.RefuseRequests("/")
	ctx, cancel := context.WithCancel(t.Context())
	other := newTestController(t, testConfig(good.Address()))

	cfg := testConfig(bad.Address())
	cfg.Seeds = []config.Peer{{Name: "n-1", Address: servePeers(t, other)}}
	n := newTestController(t, cfg)
	answering := make(chan error, 1)
	go func() { answering <- n.statusReader.run(ctx) }()
	defer func() { cancel(); <-answering }()
	if a := n.service.Status(ctx, "job-1"); a.Status != 503 || a.RetryAfter == 0 {
		t.Fatalf("refused, and no peer known to be better: %+v", a)
	}
	n.storeHealth.failures.Store(2)
	n.peers[0].storeReachable.Store(true)
	n.peers[0].lastHeard.Store(int64(n.pinger.clock.Now()))
	if a := n.service.Status(ctx, "job-2"); a.Status != 404 {
		t.Errorf("an unknown job: %+v", a)
	}
	// The cancellation is reported to users only once a leader has acknowledged it.
	if a := n.service.Status(ctx, "job-1"); a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("a cancellation that no leader may know of: %+v", a)
	}
	n.pinger.observe(peerapi.Ping{AcknowledgedRevision: 7})
	a := n.service.Status(ctx, "job-1")
	if s, ok := a.Body.(wire.JobStatus); a.Status != 200 || !ok || s.Status != wire.JobCancelled {
		t.Fatalf("through the peer: %+v", a)
	}
	// A final status stays, whether or not the store can be reached.
	n.peers[0].storeReachable.Store(false)
	if a := n.service.Status(ctx, "job-1"); a.Status != 200 {
		t.Errorf("a job known to be over: %+v", a)
	}
}
