package kv

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

// fixedTransport gives every request the same response.
type fixedTransport struct {
	status int
	body   []byte
	err    error
}

func (f fixedTransport) Do(context.Context, string, string, []byte, time.Duration) (int, []byte, error) {
	return f.status, f.body, f.err
}

// requests sends every kind of request, by name. The functions return only the error.
var requests = map[string]func(context.Context, *Client) error{
	"get": func(ctx context.Context, c *Client) error { _, _, err := c.Get(ctx, "k"); return err },
	"list": func(ctx context.Context, c *Client) error {
		_, err := c.List(ctx, "k", func(Entry) error { return nil })
		return err
	},
	"commit": func(ctx context.Context, c *Client) error { _, err := c.Commit(ctx, Txn{}); return err },
	"grant":  func(ctx context.Context, c *Client) error { _, err := c.GrantLease(ctx, time.Second); return err },
	"renew":  func(ctx context.Context, c *Client) error { return c.RenewLease(ctx, 1) },
	"revoke": func(ctx context.Context, c *Client) error { return c.RevokeLease(ctx, 1) },
	"watch":  func(ctx context.Context, c *Client) error { _, _, err := c.Watch(ctx, "k", 1, time.Second); return err },
}

// checkError requires that an error wraps the wanted sentinel and no other. A want of nil requires
// that there is no error.
func checkError(t *testing.T, got, want error) {
	t.Helper()
	if want == nil && got != nil {
		t.Errorf("%v, want no error", got)
	}
	for _, sentinel := range []error{ErrUnavailable, ErrIndeterminate, ErrLeaseExpired, ErrCompacted, ErrRejected, ErrMalformedResponse} {
		if wraps := errors.Is(got, sentinel); wraps != (sentinel == want) {
			t.Errorf("%v: wraps %q: %v", got, sentinel, wraps)
		}
	}
}

// Each of these responses means the same for every request. A wrong error would hide that a request
// may have been executed.
func TestErrorsForEveryRequest(t *testing.T) {
	message := func(text string) []byte { return wire.Encode(map[string]string{"error": text}) }
	for _, c := range []struct {
		name      string
		transport fixedTransport
		want      error
	}{
		{"not sent", fixedTransport{err: httpclient.ErrNotSent}, ErrUnavailable},
		{"no response", fixedTransport{err: httpclient.ErrNoResponse}, ErrIndeterminate},
		{"unknown error of the transport", fixedTransport{err: context.DeadlineExceeded}, ErrIndeterminate},
		{"created", fixedTransport{status: http.StatusCreated}, ErrIndeterminate},
		{"no content", fixedTransport{status: http.StatusNoContent}, ErrIndeterminate},
		{"redirect", fixedTransport{status: http.StatusFound}, ErrIndeterminate},
		{"bad request without a body", fixedTransport{status: http.StatusBadRequest}, ErrRejected},
		{"bad request with a malformed body", fixedTransport{status: http.StatusBadRequest, body: []byte{0xc1}}, ErrRejected},
		{"bad request with a message", fixedTransport{status: http.StatusBadRequest, body: message("too large")}, ErrRejected},
		{"bad request for an expired lease", fixedTransport{status: http.StatusBadRequest, body: message("no such lease")}, ErrLeaseExpired},
		{"bad request for an expired lease with trailing bytes", fixedTransport{status: http.StatusBadRequest, body: append(message("no such lease"), 0)}, ErrRejected},
		{"unauthorized", fixedTransport{status: http.StatusUnauthorized}, ErrIndeterminate},
		{"forbidden", fixedTransport{status: http.StatusForbidden}, ErrIndeterminate},
		{"gone", fixedTransport{status: http.StatusGone}, ErrCompacted},
		{"too large", fixedTransport{status: http.StatusRequestEntityTooLarge}, ErrIndeterminate},
		{"too many requests", fixedTransport{status: http.StatusTooManyRequests}, ErrUnavailable},
		{"internal error", fixedTransport{status: http.StatusInternalServerError}, ErrIndeterminate},
		{"bad gateway", fixedTransport{status: http.StatusBadGateway}, ErrIndeterminate},
		{"service unavailable", fixedTransport{status: http.StatusServiceUnavailable, body: message("no such lease")}, ErrUnavailable},
		{"gateway timeout", fixedTransport{status: http.StatusGatewayTimeout}, ErrIndeterminate},
	} {
		for request, send := range requests {
			t.Run(c.name+"/"+request, func(t *testing.T) {
				checkError(t, send(t.Context(), New(c.transport, 1000)), c.want)
			})
		}
	}
}

// The meaning of each of these statuses depends on the request.
func TestErrorsByRequest(t *testing.T) {
	malformed := []byte{0xc1}
	conflict := wire.Encode(map[string]any{"epoch": 9, "failed": []string{"k"}})
	for _, c := range []struct {
		name   string
		status int
		body   []byte
		// want lists the requests that fail, each with its error.
		want map[string]error
	}{
		{"ok", http.StatusOK, wire.Encode(map[string]any{"stamp": 7}), nil},
		{"ok without a body", http.StatusOK, nil, map[string]error{"get": ErrMalformedResponse}},
		{"ok with a malformed body", http.StatusOK, malformed, map[string]error{"get": ErrMalformedResponse, "list": ErrMalformedResponse,
			"commit": ErrMalformedResponse, "grant": ErrMalformedResponse, "watch": ErrMalformedResponse}},
		{"not found", http.StatusNotFound, nil, map[string]error{"list": ErrMalformedResponse, "commit": ErrMalformedResponse,
			"grant": ErrMalformedResponse, "renew": ErrLeaseExpired, "watch": ErrMalformedResponse}},
		{"not found with a malformed body", http.StatusNotFound, malformed, map[string]error{"get": ErrMalformedResponse, "list": ErrMalformedResponse,
			"commit": ErrMalformedResponse, "grant": ErrMalformedResponse, "renew": ErrLeaseExpired, "watch": ErrMalformedResponse}},
		{"conflict", http.StatusConflict, conflict, map[string]error{"get": ErrMalformedResponse, "list": ErrMalformedResponse,
			"grant": ErrMalformedResponse, "renew": ErrLeaseExpired, "watch": ErrMalformedResponse}},
		{"conflict with a malformed body", http.StatusConflict, malformed, map[string]error{"get": ErrMalformedResponse, "list": ErrMalformedResponse,
			"commit": ErrMalformedResponse, "grant": ErrMalformedResponse, "renew": ErrLeaseExpired, "watch": ErrMalformedResponse}},
	} {
		for request, send := range requests {
			t.Run(c.name+"/"+request, func(t *testing.T) {
				client := New(fixedTransport{status: c.status, body: c.body}, 1000)
				checkError(t, send(t.Context(), client), c.want[request])
			})
		}
	}
}

// A request whose context ends while it waits for the request budget was not sent. Its error wraps
// the error of the context.
func TestCanceledBeforeSending(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for request, send := range requests {
		t.Run(request, func(t *testing.T) {
			err := send(ctx, New(fixedTransport{status: http.StatusOK}, 1))
			checkError(t, err, ErrUnavailable)
			if !errors.Is(err, context.Canceled) {
				t.Errorf("%v, want an error that wraps context.Canceled", err)
			}
		})
	}
}

func TestIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want bool
	}{
		{"not sent", httpclient.ErrNotSent, true},
		{"not sent, joined with its cause", errors.Join(httpclient.ErrNotSent, context.DeadlineExceeded), true},
		{"no response", httpclient.ErrNoResponse, false},
		{"no error", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := IsNotSent(c.err); got != c.want {
				t.Errorf("error of the transport: %v, want %v", got, c.want)
			}
			if c.err == nil {
				return
			}
			if got := IsNotSent(New(fixedTransport{err: c.err}, 1000).RenewLease(t.Context(), 1)); got != c.want {
				t.Errorf("error of the client: %v, want %v", got, c.want)
			}
		})
	}
}
