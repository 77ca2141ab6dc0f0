package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

// store is a stand-in for the key-value store that knows one job and can refuse.
func store(t *testing.T) (addr string, refuse *atomic.Bool) {
	t.Helper()
	refuse = new(atomic.Bool)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case refuse.Load():
			w.WriteHeader(503)
		case r.URL.Path == "/store":
			rec := map[string]any{"s": "withdrawn", "n": 3, "p": map[string]any{"n": 3}}
			_, _ = w.Write(wire.Encode(map[string]any{"epoch": 9, "entries": []any{map[string]any{"key": "jobs/job-1", "v": rec, "stamp": 7}}}))
		case r.URL.Path == "/changes":
			_, _ = w.Write(wire.Encode(map[string]any{"epoch": 9}))
		default:
			w.WriteHeader(404)
			_, _ = w.Write(wire.Encode(map[string]any{"epoch": 9}))
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), refuse
}

// A controller that the key-value store refuses alone reads through a peer; without one it
// says at once that it does not know.
func TestReadsThroughAPeerWhenRefusedAlone(t *testing.T) {
	goodAddr, _ := store(t)
	badAddr, refuse := store(t)
	refuse.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	other := newTestController(t, testConfig(goodAddr))

	cfg := testConfig(badAddr)
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
	// Users are told of the cancellation only once a leader has acknowledged it.
	if a := n.service.Status(ctx, "job-1"); a.Status != 503 || a.RetryAfter == 0 {
		t.Errorf("a cancellation that no leader may know of: %+v", a)
	}
	n.pinger.observe(peerapi.Ping{Acked: 7})
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

func TestAnswersThatNeverCameAreUnknown(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := ln.Accept()
		if err == nil {
			buf := make([]byte, 1)
			_, _ = c.Read(buf)
			c.Close() // after the request has arrived
		}
	}()
	if _, _, err := httpclient.New(ln.Addr().String(), 1, 1000).Do(t.Context(), "POST", "/commit", []byte{1}, time.Minute); !errors.Is(err, httpclient.ErrNoResponse) {
		t.Errorf("a request that arrived and was not answered: %v", err)
	}
	ln.Close()
	if _, _, err := httpclient.New(ln.Addr().String(), 1, 1000).Do(t.Context(), "POST", "/commit", []byte{1}, time.Minute); !errors.Is(err, httpclient.ErrNotSent) {
		t.Errorf("a refused connection: %v", err)
	}
}
