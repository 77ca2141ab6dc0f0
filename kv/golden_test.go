package kv

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

// The bodies of requests to the store and the parts of its responses keep their encoding.
func TestBodyEncoding(t *testing.T) {
	codec := golden.Codec{Encode: func(v any) ([]byte, error) { return wire.Encode(v), nil }, Decode: wire.Decode}
	golden.Check(t, "bodies.json", codec, []golden.Case{
		{Name: "entry", Value: Entry{Key: "jobs/job-1", Value: []byte{0xa1, 'x'}, Revision: 412, Lease: 1 << 40}},
		{Name: "change", Value: Event{PutKey: "jobs/job-1", DeletedKey: "jobs/job-2", Value: []byte{0xa1, 'y'}, Revision: 413}},
		{Name: "transaction", Value: Txn{Preconditions: []Precondition{{Key: "leader", Revision: 414}, {Key: "jobs/job-1", Revision: 1 << 33}},
			Operations: []Operation{{PutKey: "jobs/job-1", Value: "value", Lease: 7, DeleteKey: "jobs/job-2"}}}},
		{Name: "transaction without lease", Value: Txn{Preconditions: []Precondition{{Key: "leader"}},
			Operations: []Operation{{PutKey: "jobs/job-1", Value: "value"}, {DeleteKey: "jobs/job-2"}}}, Partial: true},
		{Name: "transaction of guards alone", Value: Txn{Preconditions: []Precondition{{Key: "leader", Revision: 414}}}, Partial: true},
	})
}

// serveStore responds by method and path, with the field names of the protocol.
func serveStore(w http.ResponseWriter, r *http.Request) {
	entry := func(key string) map[string]any {
		return map[string]any{"key": key, "v": "x", "stamp": 412, "hold": 7}
	}
	responses := map[string]any{
		"GET /store/leader":     entry("leader"),
		"GET /store/absent":     nil,
		"POST /grants":          map[string]any{"hold": 77},
		"POST /grants/77/touch": map[string]any{},
		"DELETE /grants/77":     map[string]any{},
		"POST /grants/78/touch": map[string]any{"error": "no such lease"},
		"POST /commit":          map[string]any{"epoch": 415, "failed": []string{"jobs/job-1", "leader"}},
		"GET /changes": map[string]any{"epoch": 420, "events": []any{
			map[string]any{"write": "jobs/job-1", "v": "y", "stamp": 416}, map[string]any{"drop": "jobs/job-2", "stamp": 417}}},
		"GET /store": map[string]any{"epoch": 418, "hasNext": true, "entries": []any{entry("jobs/job 1"), entry("jobs/job-2")}},
	}
	if r.URL.Query().Get("since") == "jobs/job-2" {
		responses["GET /store"] = map[string]any{"epoch": 419, "hasNext": false, "entries": []any{entry("jobs/job-3")}}
	}
	switch r.URL.Path {
	case "/store/absent":
		w.WriteHeader(http.StatusNotFound)
	case "/grants/78/touch":
		w.WriteHeader(http.StatusBadRequest)
	case "/commit":
		if r.ContentLength > 60 {
			w.WriteHeader(http.StatusConflict)
		}
	}
	_, _ = w.Write(wire.Encode(responses[r.Method+" "+r.URL.Path]))
}

// The methods, paths, queries and bodies of requests, and the values that responses are decoded to,
// do not change.
func TestRequestEncoding(t *testing.T) {
	recorder := golden.NewRecorder(t, serveStore)
	c := New(httpclient.New(recorder.Address, 2, 1<<20), 1000)
	ctx := t.Context()
	var text strings.Builder
	record := func(name string, values ...any) { fmt.Fprintf(&text, "%s: %v\n", name, values) }
	entry, found, err := c.Get(ctx, "leader")
	record("get", entry, found, err)
	entry, found, err = c.Get(ctx, "absent")
	record("get absent", entry, found, err)
	var listed []Entry
	revision, err := c.List(ctx, "jobs/", func(e Entry) error { listed = append(listed, e); return nil })
	record("list", revision, listed, err)
	revision, events, err := c.Watch(ctx, "jobs/", 412, 10*time.Second)
	record("changes", revision, events, err)
	out, err := c.Commit(ctx, Txn{Preconditions: []Precondition{{Key: "leader", Revision: 4}}, Operations: []Operation{{DeleteKey: "format"}}})
	record("commit", out, err)
	out, err = c.Commit(ctx, Txn{Preconditions: []Precondition{{Key: "leader", Revision: 414}}, Operations: []Operation{{PutKey: "jobs/job-1", Value: "value", Lease: 77}, {DeleteKey: "jobs/job-2"}}})
	record("commit failed", out, err)
	lease, err := c.GrantLease(ctx, 3*time.Second)
	record("grant", lease, err)
	record("touch", c.RenewLease(ctx, lease))
	record("touch ended", c.RenewLease(ctx, 78))
	record("revoke", c.RevokeLease(ctx, lease))
	golden.CheckText(t, "requests.txt", recorder.Text()+"\n"+text.String())
}

// Error responses are distinguished by their status, and those for an expired lease by their message.
func TestErrorResponses(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   any
		want   error
	}{
		{"too many requests", http.StatusTooManyRequests, nil, ErrUnavailable},
		{"service unavailable", http.StatusServiceUnavailable, nil, ErrUnavailable},
		{"compacted", http.StatusGone, nil, ErrCompacted},
		{"lease expired", http.StatusBadRequest, map[string]string{"error": "no such lease"}, ErrLeaseExpired},
		{"rejected", http.StatusBadRequest, map[string]string{"error": "too large"}, ErrRejected},
		{"internal error", http.StatusInternalServerError, nil, ErrIndeterminate},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write(wire.Encode(c.body))
			})
			err := New(httpclient.New(recorder.Address, 1, 1<<20), 1000).RenewLease(context.Background(), 1)
			if !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}
