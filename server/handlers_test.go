package server

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// fakeService returns a fixed response to each kind of request.
type fakeService struct{ healthy, draining bool }

func (*fakeService) Submit(_ context.Context, id ids.JobID, _ *wire.JobSpec) Response {
	return Response{Status: 201, Body: wire.JobStatus{ID: id, Status: wire.JobQueued}}
}

func (*fakeService) Status(_ context.Context, id ids.JobID) Response {
	if id == "job-panic" {
		panic("fault in the handler")
	}
	return Response{Status: 200, Body: wire.JobStatus{ID: id, Status: wire.JobRunning, Running: 2}}
}

func (*fakeService) Cancel(context.Context, ids.JobID) Response {
	return RetryLater(1500 * time.Millisecond)
}

func (*fakeService) Heartbeat(context.Context, []byte, *wire.Heartbeat) Response {
	return Response{Status: 421, Body: wire.Redirect{Target: "n-1"}}
}

func (f *fakeService) Healthy() bool  { return f.healthy }
func (f *fakeService) Draining() bool { return f.draining }

// newApp returns the application of a service, without logs.
func newApp(service Service, limits Limits) *fiber.App {
	return New(service, limits, slog.New(slog.DiscardHandler))
}

func TestEndpoints(t *testing.T) {
	app := newApp(&fakeService{}, Limits{MaxConnections: 100})
	job := wire.Encode(map[string]any{"nameId": "job-1", "workclass": "c", "crew": "t", "shape": "batch", "urgency": "high", "legs": 1,
		"cpus": 1, "accelerators": 0, "memoryGb": 1, "bundle": "i", "pullGb": 1, "oneZone": false, "spread": false, "loaner": true,
		"expectS": 1, "snapshotEveryS": 0, "snapshotS": 0})
	heartbeat := wire.Encode(wire.Heartbeat{Machine: "n-1", Incarnation: 1})
	for _, c := range []struct {
		name, method, path string
		body               []byte
		status             int
	}{
		{"unhealthy", "GET", "/up", nil, 503},
		{"submission", "POST", "/api/jobs", job, 201},
		{"malformed submission", "POST", "/api/jobs", []byte("{}"), 400},
		{"empty submission", "POST", "/api/jobs", nil, 400},
		{"status", "GET", "/api/jobs/job-1", nil, 200},
		{"status of no job id", "GET", "/api/jobs/nonsense", nil, 404},
		{"status of a long id", "GET", "/api/jobs/job-" + strings.Repeat("x", 300), nil, 404},
		{"handler panics", "GET", "/api/jobs/job-panic", nil, 500},
		{"cancellation", "POST", "/api/jobs/job-1/withdraw", nil, 503},
		{"cancellation of no job id", "POST", "/api/jobs/%2e%2e/withdraw", nil, 404},
		{"unknown method", "DELETE", "/api/jobs/job-1", nil, 404},
		{"unknown path", "GET", "/nowhere", nil, 404},
		{"heartbeat", "POST", "/hello", heartbeat, 421},
		{"malformed heartbeat", "POST", "/hello", []byte{0xc1}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, err := app.Test(httptest.NewRequest(c.method, c.path, bytes.NewReader(c.body)))
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != c.status {
				t.Errorf("status %d, want %d", response.StatusCode, c.status)
			}
		})
	}
}

// A body above the limit is rejected. The test transport may return an error instead of the status
// that a client gets; TestTooLargeBodyIsRejectedBeforeReading checks the status over a socket.
func TestTooLargeSubmission(t *testing.T) {
	app := newApp(&fakeService{}, Limits{MaxConnections: 100})
	body := bytes.Repeat([]byte{0xc0}, wire.MaxBodyBytes+1)
	response, err := app.Test(httptest.NewRequest("POST", "/api/jobs", bytes.NewReader(body)))
	switch {
	case err != nil && !strings.Contains(err.Error(), "body size exceeds"):
		t.Fatal(err)
	case err == nil && response.StatusCode != http.StatusBadRequest:
		t.Errorf("status %d", response.StatusCode)
	}
}

// A rounded-down Retry-After would make clients retry too early.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	app := newApp(&fakeService{}, Limits{MaxConnections: 100})
	response, err := app.Test(httptest.NewRequest("POST", "/api/jobs/job-1/withdraw", nil))
	if err != nil {
		t.Fatal(err)
	}
	if got := response.Header.Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After %q, want 2 for 1.5 seconds", got)
	}
}

func TestHealthyController(t *testing.T) {
	app := newApp(&fakeService{healthy: true}, Limits{MaxConnections: 100})
	response, err := app.Test(httptest.NewRequest("GET", "/up", nil))
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
}
