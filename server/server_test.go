package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

type fakeService struct{ healthy bool }

func (f *fakeService) Submit(_ context.Context, id ids.JobID, _ *wire.JobSpec) Response {
	return Response{Status: 201, Body: wire.JobStatus{ID: id, Status: wire.JobQueued}}
}
func (f *fakeService) Status(_ context.Context, id ids.JobID) Response {
	if id == "job-panic" {
		panic("a fault")
	}
	return Response{Status: 200, Body: wire.JobStatus{ID: id, Status: wire.JobRunning, Running: 2}}
}
func (f *fakeService) Cancel(context.Context, ids.JobID) Response {
	return RetryLater(1500 * time.Millisecond)
}
func (f *fakeService) Heartbeat(_ context.Context, _ []byte, _ *wire.Heartbeat) Response {
	return Response{Status: 421, Body: wire.Redirect{Leader: "n-1"}}
}
func (f *fakeService) Healthy() bool { return f.healthy }

func TestEndpoints(t *testing.T) {
	svc := &fakeService{}
	app := New(svc, Limits{MaxConnections: 100}, slog.New(slog.DiscardHandler))
	job := wire.Encode(map[string]any{"nameId": "job-1", "workclass": "c", "crew": "t", "shape": "batch", "urgency": "high", "legs": 1,
		"cpus": 1, "accelerators": 0, "memoryGb": 1, "bundle": "i", "pullGb": 1, "oneZone": false, "spread": false, "loaner": true,
		"expectS": 1, "snapshotEveryS": 0, "snapshotS": 0})
	report := wire.Encode(wire.Heartbeat{Machine: "n-1", Incarnation: 1})
	for _, c := range []struct {
		method, path string
		body         []byte
		code         int
	}{
		{"GET", "/up", nil, 503},
		{"POST", "/api/jobs", job, 201},
		{"POST", "/api/jobs", []byte("{}"), 400},
		{"POST", "/api/jobs", nil, 400},
		{"POST", "/api/jobs", bytes.Repeat([]byte{0xc0}, wire.MaxBody+1), 400},
		{"GET", "/api/jobs/job-1", nil, 200},
		{"GET", "/api/jobs/nonsense", nil, 404},
		{"GET", "/api/jobs/job-" + strings.Repeat("x", 300), nil, 404},
		{"GET", "/api/jobs/job-panic", nil, 500},
		{"POST", "/api/jobs/job-1/withdraw", nil, 503},
		{"POST", "/api/jobs/%2e%2e/withdraw", nil, 404},
		{"DELETE", "/api/jobs/job-1", nil, 404},
		{"GET", "/nowhere", nil, 404},
		{"POST", "/hello", report, 421},
		{"POST", "/hello", []byte{0xc1}, 400},
	} {
		req := httptest.NewRequest(c.method, c.path, bytes.NewReader(c.body))
		res, err := app.Test(req)
		if err != nil {
			if strings.Contains(err.Error(), "body size exceeds") && c.code == 400 {
				continue // the test transport reports what a socket would be answered
			}
			t.Fatalf("%s %s: %v", c.method, c.path, err)
		}
		if res.StatusCode != c.code {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, res.StatusCode, c.code)
		}
		if c.path == "/api/jobs/job-1/withdraw" && res.Header.Get("Retry-After") != "2" {
			t.Errorf("Retry-After %q", res.Header.Get("Retry-After"))
		}
	}
	svc.healthy = true
	if res, err := app.Test(httptest.NewRequest("GET", "/up", nil)); err != nil || res.StatusCode != 200 {
		t.Errorf("a healthy node answers %v, %v", res, err)
	}
}

// With more workers than sockets each must still have its turn, and users and
// health checks theirs: what a worker no longer needs is closed.
func TestMoreWorkersThanSockets(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := New(&fakeService{healthy: true}, Limits{MaxConnections: 10, IdleTimeout: time.Minute}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, app, ln) }()
	defer func() { cancel(); <-served }()
	workers := make([]*http.Client, 30)
	for i := range workers {
		tr := &http.Transport{} // each has a connection of its own
		defer tr.CloseIdleConnections()
		workers[i] = &http.Client{Transport: tr}
	}
	url := "http://" + ln.Addr().String()
	for round := range 3 {
		for i, w := range workers {
			body := wire.Encode(wire.Heartbeat{Machine: ids.MachineID(fmt.Sprintf("n-%d", i)), Incarnation: 1})
			res, err := w.Post(url+"/hello", contentType, bytes.NewReader(body))
			if err != nil || res.StatusCode != 421 {
				t.Fatalf("round %d, worker %d: %v %v", round, i, res, err)
			}
			_, _ = io.Copy(io.Discard, res.Body) // or the connection is not kept
			res.Body.Close()
		}
		tr := &http.Transport{}
		res, err := (&http.Client{Transport: tr}).Get(url + "/up")
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("round %d, health check: %v %v", round, res, err)
		}
		res.Body.Close()
		tr.CloseIdleConnections()
	}
}

// A body beyond the limit is refused before it has come, and no more of it is read than
// was under way already.
func TestTooLargeBodyIsRefusedUnread(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	app := New(&fakeService{}, Limits{MaxConnections: 10, IdleTimeout: time.Minute}, slog.New(slog.DiscardHandler))
	go func() { served <- Serve(ctx, app, listener) }()
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	// The head alone: a server that waits for the body never answers.
	fmt.Fprintf(connection, "POST /api/jobs HTTP/1.1\r\nHost: n\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n", wire.MaxBody+1)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("answered %d", response.StatusCode)
	}
	cancel()
	<-served
}
