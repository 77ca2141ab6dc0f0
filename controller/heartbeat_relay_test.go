package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// A follower relays heartbeats and returns only answers of the leader. If there is no leader or the
// leader must not answer, the worker must get an error immediately, so that it tries another controller.
func TestFollowerRelaysHeartbeats(t *testing.T) {
	leading := newTestController(t, testConfig(serveEmptyStore(t)))
	setTestCatalog(leading)
	platform := testConfig("127.0.0.1:4")
	platform.HostName = "n-1"
	platform.Seeds = []config.Peer{{Name: "n-0", Address: servePeers(t, leading)}}
	follower := newTestController(t, platform)
	runUntilCleanup(t, func(ctx context.Context) { _ = follower.relay.run(ctx) })
	sendHeartbeat := func() server.Response {
		heartbeat := &wire.Heartbeat{Machine: "m-1", Endpoint: "127.0.0.1:5", Type: "m", Zone: "a", Incarnation: 1, Sequence: 1}
		return follower.service.Heartbeat(t.Context(), wire.Encode(heartbeat), heartbeat)
	}

	if a := sendHeartbeat(); a.Status != 503 {
		t.Fatalf("without a leader: %+v", a)
	}
	follower.election.Observe(election.Leader{Identity: election.Identity{Name: "n-0"}, Revision: 7})
	if a := sendHeartbeat(); a.Status != 503 {
		t.Fatalf("before the other controller leads: %+v", a)
	}

	runUntilCleanup(t, func(ctx context.Context) { _ = leading.election.Run(ctx) })
	waitUntil(t, "the controller leads", func() bool { return leading.localLeader.get() != nil })
	a := sendHeartbeat()
	if o, ok := a.Body.(wire.HeartbeatResponse); a.Status != 200 || !ok || o.FencingToken.Revision() != 7 {
		t.Fatalf("through the follower: %+v", a)
	}
	follower.balancer.window = time.Minute
	follower.balancer.recount(follower.pinger.clock.Now())
	if n := follower.balancer.lastCount(); n != 1 {
		t.Errorf("%d workers counted, want 1", n)
	}

	// Once a later leader is known, this leader must not answer any more.
	leading.election.Observe(election.Leader{Identity: election.Identity{Name: "n-2"}, Revision: 9})
	waitUntil(t, "the term has ended", func() bool { return leading.localLeader.get() == nil })
	if a := sendHeartbeat(); a.Status != 503 {
		t.Errorf("from a leader whose term has ended: %+v", a)
	}
}

// A heartbeat that arrives while the queue is full must be refused immediately and not after a timeout.
func TestFullHeartbeatQueueRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(t, testConfig("127.0.0.1:1"))
		waiting, stop := context.WithCancel(t.Context())
		for range heartbeatQueueCapacity(c.platform.Settings.Resources.Sockets) { // no goroutine takes heartbeats from the queue
			go c.relay.relay(waiting, nil)
		}
		synctest.Wait()
		began := time.Now()
		if answer := c.relay.relay(t.Context(), nil); answer.Status != 503 || time.Since(began) > 0 {
			t.Errorf("answer %+v after %v", answer, time.Since(began))
		}
		stop()
		synctest.Wait()
	})
}

// serveEmptyStore starts a fake key-value store in which no controller has led yet, and returns its
// address.
func serveEmptyStore(t *testing.T) string {
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
