package worker

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

// A response without a heartbeat leaves the result indeterminate, even with status 200.
func TestResponsesWithoutAHeartbeat(t *testing.T) {
	heartbeat := wire.Encode(map[string]any{"host": "n-1"})
	for _, c := range []struct {
		name   string
		status int
		body   []byte
	}{
		{"ok without a body", http.StatusOK, nil},
		{"ok with a malformed body", http.StatusOK, []byte{0xc1}},
		{"conflict with a malformed body", http.StatusConflict, []byte{0xc1}},
		{"created", http.StatusCreated, heartbeat},
		{"bad request", http.StatusBadRequest, heartbeat},
		{"too many requests", http.StatusTooManyRequests, heartbeat},
		{"service unavailable", http.StatusServiceUnavailable, heartbeat},
	} {
		t.Run(c.name, func(t *testing.T) {
			rec := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			})
			_, err := New().RequestHeartbeat(t.Context(), rec.Address, time.Second)
			if !errors.Is(err, httpclient.ErrNoResponse) || errors.Is(err, httpclient.ErrNotSent) {
				t.Errorf("%v, want %v", err, httpclient.ErrNoResponse)
			}
			var failed *httpclient.RequestError
			if !errors.As(err, &failed) || failed.Status != c.status || failed.Path != "/show" {
				t.Errorf("%v has request %+v, want path /show and status %d", err, failed, c.status)
			}
		})
	}
}

// An address can be used again after Forget, which must leave no transport: the addresses of
// terminated machines would otherwise accumulate.
func TestForget(t *testing.T) {
	rec := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(wire.Encode(map[string]any{"host": "n-1"}))
	})
	client := New()
	for range 2 {
		if _, err := client.RequestHeartbeat(t.Context(), rec.Address, time.Second); err != nil {
			t.Error(err)
		}
		client.Forget(rec.Address)
		if len(client.transports) != 0 {
			t.Errorf("%d transports remain, want none", len(client.transports))
		}
	}
}
