package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/wire"
)

// serveCloud responds to each method and path with the field names of the cloud's protocol.
func serveCloud(w http.ResponseWriter, r *http.Request) {
	machine := func(id string) map[string]any {
		return map[string]any{"nameId": id, "endpoint": "10.0.0.9:9000", "frame": "g8", "hall": "zone-a", "loaner": true, "status": "running", "ageS": 71.5}
	}
	responses := map[string]any{
		"GET /catalog": map[string]any{"frames": []any{map[string]any{"label": "g8", "cpus": 8.5, "accelerators": 1.5, "memoryGb": 64.5,
			"localGb": 200.5, "pullGbPerS": 0.75, "hourly": 3.25, "marketPrice": 1.25, "readyS": 40.5, "halls": []string{"zone-a", "zone-b"}}}},
		"POST /hosts":        map[string]any{"hosts": []string{"n-1", "n-2"}},
		"POST /hosts/return": map[string]any{},
		"GET /hosts":         map[string]any{"hosts": []any{machine("n 1"), machine("n-2")}, "hasNext": true},
	}
	if r.URL.Query().Get("since") == "n-2" {
		responses["GET /hosts"] = map[string]any{"hosts": []any{machine("n-3")}, "hasNext": false}
	}
	_, _ = w.Write(wire.Encode(responses[r.Method+" "+r.URL.Path]))
}

// The golden file holds the methods, paths, queries and bodies of requests, and the values that
// responses are decoded to. They are part of the cloud's protocol and must not change.
func TestRequestsToTheCloud(t *testing.T) {
	rec := golden.NewRecorder(t, serveCloud)
	c := New(rec.Address, 1000)
	ctx := t.Context()
	var text strings.Builder
	record := func(name string, values ...any) { fmt.Fprintf(&text, "%s: %v\n", name, values) }
	types, err := c.Catalog(ctx)
	record("catalog", types, err)
	provisioned, err := c.Provision(ctx, wire.ProvisionRequest{RequestID: "r-412-7", Type: "g8", Zone: "zone-a", Spot: true, Count: 12})
	record("rental", provisioned, err)
	record("return", c.Terminate(ctx, []ids.MachineID{"n-1", "n-2"}))
	machines, err := c.List(ctx)
	record("machine list", machines, err)
	golden.CheckText(t, "requests.txt", rec.Text()+"\n"+text.String())
}

// Error responses are distinguished by their status. Only ErrNoCapacity depends on the message too.
func TestErrorsOfTheCloud(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   any
		want   error
	}{
		{"no capacity", http.StatusServiceUnavailable, map[string]string{"error": "no capacity"}, ErrNoCapacity},
		{"unavailable", http.StatusServiceUnavailable, map[string]string{"error": "other"}, ErrUnavailable},
		{"too many requests", http.StatusTooManyRequests, nil, ErrUnavailable},
		{"rejected", http.StatusBadRequest, map[string]string{"error": "malformed"}, ErrRejected},
		{"internal error", http.StatusInternalServerError, nil, ErrIndeterminate},
	} {
		t.Run(c.name, func(t *testing.T) {
			rec := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write(wire.Encode(c.body))
			})
			if err := New(rec.Address, 1000).Terminate(t.Context(), []ids.MachineID{"n-1"}); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}
