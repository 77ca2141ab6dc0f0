package cloud

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/golden"
	"ospreystile.example/ospreystile/wire"
)

// requests holds, by name, a function that sends one kind of request.
var requests = map[string]func(context.Context, *Client) error{
	"catalog": func(ctx context.Context, c *Client) error { _, err := c.Catalog(ctx); return err },
	"provision": func(ctx context.Context, c *Client) error {
		_, err := c.Provision(ctx, wire.ProvisionRequest{})
		return err
	},
	"terminate": func(ctx context.Context, c *Client) error { return c.Terminate(ctx, []ids.MachineID{"n-1"}) },
	"list":      func(ctx context.Context, c *Client) error { _, err := c.List(ctx); return err },
}

// checkError requires that an error wraps the wanted sentinel and none of the others. A nil want
// requires success.
func checkError(t *testing.T, got, want error) {
	t.Helper()
	if want == nil && got != nil {
		t.Errorf("error %v, want none", got)
	}
	for _, sentinel := range []error{ErrNoCapacity, ErrUnavailable, ErrIndeterminate, ErrRejected} {
		if is := errors.Is(got, sentinel); is != (sentinel == want) {
			t.Errorf("error %v wraps %q: %v, want the opposite", got, sentinel, is)
		}
	}
}

// The error of a response does not depend on the request, except that the body of a successful
// termination is not decoded. A wrong error makes the caller repeat or abandon the wrong requests.
func TestErrorsOfAllRequests(t *testing.T) {
	message := func(text string) []byte { return wire.Encode(map[string]string{"error": text}) }
	for _, c := range []struct {
		name   string
		status int
		body   []byte
		want   error
		// wantTerminate is the error of a termination.
		wantTerminate error
	}{
		{"ok", http.StatusOK, message(""), nil, nil},
		{"ok without a body", http.StatusOK, nil, ErrIndeterminate, nil},
		{"ok with a malformed body", http.StatusOK, []byte{0xc1}, ErrIndeterminate, nil},
		{"created", http.StatusCreated, message(""), ErrIndeterminate, ErrIndeterminate},
		{"redirect", http.StatusFound, nil, ErrIndeterminate, ErrIndeterminate},
		{"bad request", http.StatusBadRequest, message("malformed"), ErrRejected, ErrRejected},
		{"bad request without a body", http.StatusBadRequest, nil, ErrRejected, ErrRejected},
		{"bad request with the message of no capacity", http.StatusBadRequest, message("no capacity"), ErrRejected, ErrRejected},
		{"forbidden", http.StatusForbidden, nil, ErrIndeterminate, ErrIndeterminate},
		{"not found", http.StatusNotFound, nil, ErrIndeterminate, ErrIndeterminate},
		{"conflict", http.StatusConflict, message("no capacity"), ErrIndeterminate, ErrIndeterminate},
		{"gone", http.StatusGone, nil, ErrIndeterminate, ErrIndeterminate},
		{"too many requests", http.StatusTooManyRequests, message("no capacity"), ErrUnavailable, ErrUnavailable},
		{"internal error", http.StatusInternalServerError, message("no capacity"), ErrIndeterminate, ErrIndeterminate},
		{"bad gateway", http.StatusBadGateway, nil, ErrIndeterminate, ErrIndeterminate},
		{"no capacity", http.StatusServiceUnavailable, message("no capacity"), ErrNoCapacity, ErrNoCapacity},
		{"no capacity, and bytes after it", http.StatusServiceUnavailable, append(message("no capacity"), 0), ErrUnavailable, ErrUnavailable},
		{"service unavailable", http.StatusServiceUnavailable, message("other"), ErrUnavailable, ErrUnavailable},
		{"service unavailable without a body", http.StatusServiceUnavailable, nil, ErrUnavailable, ErrUnavailable},
		{"gateway timeout", http.StatusGatewayTimeout, nil, ErrIndeterminate, ErrIndeterminate},
	} {
		rec := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write(c.body)
		})
		for request, send := range requests {
			t.Run(c.name+"/"+request, func(t *testing.T) {
				want := c.want
				if request == "terminate" {
					want = c.wantTerminate
				}
				checkError(t, send(t.Context(), New(rec.Address, 1000)), want)
			})
		}
	}
}

// A catalog with one invalid machine type is rejected as a whole.
func TestMalformedMachineType(t *testing.T) {
	for name, machineType := range map[string]map[string]any{
		"no name":         {"cpus": 8},
		"no CPUs":         {"label": "g8"},
		"negative memory": {"label": "g8", "cpus": 8, "memoryGb": -1},
		"negative price":  {"label": "g8", "cpus": 8, "hourly": -1},
	} {
		t.Run(name, func(t *testing.T) {
			rec := golden.NewRecorder(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(wire.Encode(map[string]any{"frames": []any{machineType}}))
			})
			checkError(t, requests["catalog"](t.Context(), New(rec.Address, 1000)), ErrIndeterminate)
		})
	}
}

// abortingAddress returns the address of a server that closes the connection on each request.
func abortingAddress(t *testing.T) string {
	t.Helper()
	rec := golden.NewRecorder(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	return rec.Address
}

// closedAddress is an address on which nothing listens.
const closedAddress = "127.0.0.1:1"

// Without a response, the result is indeterminate only if the request was sent.
func TestRequestsWithoutAResponse(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name   string
		ctx    context.Context
		client *Client
		want   error
	}{
		{"no response", t.Context(), New(abortingAddress(t), 1000), ErrIndeterminate},
		{"refused connection", t.Context(), New(closedAddress, 1000), ErrUnavailable},
		{"canceled before it was sent", canceled, New(closedAddress, 1000), ErrUnavailable},
		{"not authorized", t.Context(), New(abortingAddress(t), 1000).AuthorizedBy(func() bool { return false }), ErrUnavailable},
	} {
		for request, send := range requests {
			t.Run(c.name+"/"+request, func(t *testing.T) { checkError(t, send(c.ctx, c.client), c.want) })
		}
	}
}
