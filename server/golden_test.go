package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/wire"
)

// scriptedService records its calls and returns the same response to all of them.
type scriptedService struct {
	calls    strings.Builder
	response Response
	healthy  bool
}

func (s *scriptedService) record(call string, values ...any) Response {
	fmt.Fprintf(&s.calls, "  -> %s %v\n", call, values)
	return s.response
}
func (s *scriptedService) Submit(_ context.Context, id ids.JobID, spec *wire.JobSpec) Response {
	return s.record("submit", id, *spec)
}
func (s *scriptedService) Status(_ context.Context, id ids.JobID) Response {
	return s.record("status", id)
}
func (s *scriptedService) Cancel(_ context.Context, id ids.JobID) Response {
	return s.record("cancel", id)
}
func (s *scriptedService) Heartbeat(_ context.Context, raw []byte, r *wire.Heartbeat) Response {
	return s.record("heartbeat", fmt.Sprintf("%x", raw), r.Machine, r.Incarnation)
}
func (s *scriptedService) Healthy() bool { return s.healthy }
func (*scriptedService) Draining() bool  { return false }

// The methods and paths of the routes are part of the protocol. A change of one breaks clients and
// workers.
func TestRoutesMatchGoldenFile(t *testing.T) {
	app := newApp(&scriptedService{}, Limits{MaxConnections: 100})
	var got []string
	for _, r := range app.GetRoutes(true) {
		got = append(got, r.Method+" "+r.Path)
	}
	slices.Sort(got)
	golden.CheckText(t, "routes.txt", strings.Join(got, "\n")+"\n")
}

// exchange holds a request, and the response of the service if the service is called.
type exchange struct {
	name, method, path string
	body               []byte
	response           Response
}

func goldenExchanges(t *testing.T) []exchange {
	t.Helper()
	job := encodeSorted(t, map[string]any{"nameId": "job-1", "workclass": "train", "crew": "vision", "shape": "ensemble", "urgency": "critical",
		"legs": 70, "cpus": 8.5, "accelerators": 1.5, "memoryGb": 64.5, "bundle": "img-07", "pullGb": 6.25, "frames": []string{"g8"},
		"hall": "zone-a", "oneZone": true, "spread": false, "loaner": true, "expectS": 240.5, "snapshotEveryS": 30.5, "snapshotS": 4.5,
		"dueS": 900.5, "waitsOn": []string{"job-2"}})
	heartbeat := encodeSorted(t, map[string]any{"host": "n-1", "tenure": 6})
	status := Response{Status: 201, Body: wire.JobStatus{ID: "job-1", Status: wire.JobRunning, Done: 3, Running: 13}}
	return []exchange{
		{"healthy", "GET", "/up", nil, Response{Status: 200}},
		{"unhealthy", "GET", "/up", nil, Response{}},
		{"submitted", "POST", "/api/jobs", job, status},
		{"submission of unknown dependencies", "POST", "/api/jobs", job, Response{Status: 422}},
		{"submission malformed", "POST", "/api/jobs", []byte("{}"), status},
		{"status", "GET", "/api/jobs/job-1", nil, status},
		{"status of no job", "GET", "/api/jobs/job-1", nil, Response{Status: 404}},
		{"status of no job id", "GET", "/api/jobs/nonsense", nil, status},
		{"cancelled", "POST", "/api/jobs/job-1/withdraw", nil, status},
		{"cancellation to be retried elsewhere", "POST", "/api/jobs/job-1/withdraw", nil, Response{Status: 503, RetryAfter: 1500 * time.Millisecond, Close: true}},
		{"heartbeat answered", "POST", "/hello", heartbeat, Response{Status: 200, Body: wire.HeartbeatResponse{FencingToken: 9,
			Commands: []wire.Command{{Verb: wire.VerbKill, Name: "job-1/3", Attempt: 4, GraceS: 5.5}}}}},
		{"heartbeat redirected", "POST", "/hello", heartbeat, Response{Status: 421, Body: wire.Redirect{Target: "n-1"}}},
		{"heartbeat redirected to nobody", "POST", "/hello", heartbeat, Response{Status: 421, Body: wire.Redirect{}}},
		{"heartbeat without leader", "POST", "/hello", heartbeat, Response{Status: 503}},
		{"heartbeat malformed", "POST", "/hello", []byte{0xc1}, status},
		{"no such method", "DELETE", "/api/jobs/job-1", nil, status},
		{"no such path", "GET", "/nowhere", nil, status},
	}
}

// Calls of the service, and the status, headers and bytes of responses, are the same for the same
// requests. A change of them breaks clients and workers.
func TestResponsesMatchGoldenFile(t *testing.T) {
	var text strings.Builder
	for _, c := range goldenExchanges(t) {
		svc := &scriptedService{response: c.response, healthy: c.name == "healthy"}
		app := newApp(svc, Limits{MaxConnections: 100})
		res, err := app.Test(httptest.NewRequest(c.method, c.path, bytes.NewReader(c.body)))
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		raw, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		fmt.Fprintf(&text, "%s: %s %s [%x]\n%s  <- %d type %q retry after %q close %v [%x]\n", c.name, c.method, c.path, c.body, svc.calls.String(),
			res.StatusCode, res.Header.Get("Content-Type"), res.Header.Get("Retry-After"), res.Close, raw)
	}
	golden.CheckText(t, "answers.txt", text.String())
}

// encodeSorted encodes the fields of a body sorted by name, so that its bytes are always the same.
func encodeSorted(t *testing.T, fields map[string]any) []byte {
	t.Helper()
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.SetSortMapKeys(true)
	if err := enc.Encode(fields); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}
