package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// A follower passes reports on, and answers with what the leader says; it has
// no answer of its own. When the leader must not answer, or is gone, the worker
// is told at once to go elsewhere.
func TestFollowerPassesReportsOn(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	leader := testNode(t, testConfig(freshState(t)))
	leader.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	var g errgroup.Group

	cfg := testConfig("127.0.0.1:4")
	cfg.HostName = "n-1"
	cfg.Seeds = []config.Peer{{Name: "n-0", Address: meshOf(t, leader)}}
	follower := testNode(t, cfg)
	g.Go(func() error { _ = follower.relay.run(ctx); return nil })
	defer func() { cancel(); _ = g.Wait() }()

	rep := &wire.Heartbeat{Machine: "m-1", Endpoint: "127.0.0.1:5", Type: "m", Zone: "a", Incarnation: 1, Sequence: 1}
	hello := func() server.Response { return follower.Heartbeat(ctx, wire.Encode(rep), rep) }
	if a := hello(); a.Status != 503 {
		t.Fatalf("without a leader: %+v", a)
	}
	follower.election.Observe(election.Leader{Identity: election.Identity{Name: "n-0"}, Revision: 7})
	if a := hello(); a.Status != 503 {
		t.Fatalf("before the leader leads: %+v", a)
	}
	g.Go(func() error { _ = leader.election.Run(ctx); return nil })
	until(t, "somebody leads", func() bool { return leader.leader.Load() != nil })
	a := hello()
	if o, ok := a.Body.(wire.HeartbeatResponse); a.Status != 200 || !ok || o.FencingToken.Revision() != 7 {
		t.Fatalf("through the follower: %+v", a)
	}
	if n := follower.balancer.count(follower.clock.Now(), time.Minute); n != 1 {
		t.Errorf("%d workers counted", n)
	}
	// A later leader is known: this one has nothing to say any more.
	leader.election.Observe(election.Leader{Identity: election.Identity{Name: "n-2"}, Revision: 9})
	until(t, "the term is over", func() bool { return leader.leader.Load() == nil })
	if a := hello(); a.Status != 503 {
		t.Errorf("from a leader that was replaced: %+v", a)
	}
}

// freshState is a stand-in for a state service in which nobody has led yet.
func freshState(t *testing.T) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := map[string]any{"epoch": 7, "hold": 1, "entries": []any{}}
		if r.URL.Path == "/changes" {
			time.Sleep(20 * time.Millisecond)
		}
		if strings.HasPrefix(r.URL.Path, "/store/") {
			w.WriteHeader(404)
		}
		_, _ = w.Write(wire.Encode(body))
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}
