package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"
)

// errBusy is the refusal that testHandler returns for the operation refuse.
const errBusy = Refusal("busy")

// testHandler implements the operations double, hang (until the context ends) and refuse. It returns
// an error for all others.
func testHandler(ctx context.Context, op Operation, body []byte) (any, error) {
	switch op {
	case "double":
		var n int
		if err := Decode(body, &n); err != nil {
			return nil, err
		}
		return 2 * n, nil
	case "hang":
		<-ctx.Done()
		return 0, nil
	case "refuse":
		return nil, errBusy
	}
	return nil, errors.New("unknown")
}

// startServer serves testHandler until the test ends or stop is called. stop returns the error of
// Serve.
func startServer(t *testing.T) (address string, stop func() error) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, testHandler, slog.New(slog.DiscardHandler)) }()
	stop = sync.OnceValue(func() error {
		cancel()
		return <-served
	})
	t.Cleanup(func() { _ = stop() })
	return listener.Addr().String(), stop
}

// newTestPeer returns a peer that is closed when the test ends.
func newTestPeer(t *testing.T, address string) *Peer {
	t.Helper()
	peer := NewPeer("n-1", address)
	t.Cleanup(peer.Close)
	return peer
}

// checkDouble requires that a call to the peer succeeds.
func checkDouble(t *testing.T, peer *Peer, n int) {
	t.Helper()
	var out int
	if err := peer.Call(t.Context(), "double", n, &out); err != nil || out != 2*n {
		t.Errorf("double %d: %d, %v", n, out, err)
	}
}

func TestConcurrentCalls(t *testing.T) {
	address, _ := startServer(t)
	peer := newTestPeer(t, address)
	var calls sync.WaitGroup
	errs := make(chan error, 50)
	for n := range 50 {
		calls.Go(func() {
			var out int
			if err := peer.Call(t.Context(), "double", n, &out); err != nil || out != 2*n {
				errs <- fmt.Errorf("double %d: %d, %w", n, out, err)
			}
		})
	}
	calls.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
}

func TestHandlerError(t *testing.T) {
	address, _ := startServer(t)
	peer := newTestPeer(t, address)
	for _, c := range []struct {
		op      Operation
		text    string
		refusal bool
	}{
		{"undefined", "refused by the peer: n-1: unknown", false},
		{"refuse", "refused by the peer: n-1: busy", true},
	} {
		t.Run(string(c.op), func(t *testing.T) {
			err := peer.Call(t.Context(), c.op, 1, nil)
			if !errors.Is(err, ErrRemote) || errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoResponse) {
				t.Errorf("%v, want an error that wraps only ErrRemote", err)
			}
			if err.Error() != c.text {
				t.Errorf("text %q, want %q", err, c.text)
			}
			if got := errors.Is(err, errBusy); got != c.refusal {
				t.Errorf("%v: wraps %q: %v", err, errBusy, got)
			}
		})
	}
}

// A remote error whose text equals that of a local error must not match the local error. Otherwise a
// request that the peer executed would count as not sent.
func TestRemoteErrorIsNotALocalError(t *testing.T) {
	err := error(&RemoteError{Peer: "n-1", Message: ErrNotSent.Error()})
	if !errors.Is(err, ErrRemote) || errors.Is(err, ErrNotSent) {
		t.Errorf("%v: wraps ErrRemote: %v, wraps ErrNotSent: %v", err, errors.Is(err, ErrRemote), errors.Is(err, ErrNotSent))
	}
}

// checkTimeout requires that a call to a hanging peer ends with its context. The peer still executes
// the request.
func checkTimeout(t *testing.T, peer *Peer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := peer.Call(ctx, "hang", 1, nil); !errors.Is(err, ErrNoResponse) {
		t.Errorf("call to a hanging peer: %v, want ErrNoResponse", err)
	}
}

// A network partition causes no connection error. The call ends with its context, and the peer may
// have executed the request.
func TestCallTimeout(t *testing.T) {
	address, _ := startServer(t)
	checkTimeout(t, newTestPeer(t, address))
}

// countInFlight returns the number of requests in flight.
func (c *clientConnection) countInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlight)
}

func TestCloseFailsRequestsInFlight(t *testing.T) {
	address, _ := startServer(t)
	peer := newTestPeer(t, address)
	checkDouble(t, peer, 1) // opens the connection
	failed := make(chan error, 1)
	go func() { failed <- peer.Call(t.Context(), "hang", 1, nil) }()
	for peer.connection.countInFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	peer.Close()
	if err := <-failed; !errors.Is(err, ErrNoResponse) {
		t.Errorf("request on a closed connection: %v, want ErrNoResponse", err)
	}
}

func TestCallAfterCloseReconnects(t *testing.T) {
	address, _ := startServer(t)
	peer := newTestPeer(t, address)
	checkDouble(t, peer, 1)
	checkTimeout(t, peer)
	peer.Close()
	checkDouble(t, peer, 4)
}

func TestUnreachablePeer(t *testing.T) {
	address, stop := startServer(t)
	if err := stop(); !errors.Is(err, context.Canceled) {
		t.Errorf("Serve returned %v, want context.Canceled", err)
	}
	if err := newTestPeer(t, address).Call(t.Context(), "double", 1, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("call to an unreachable peer: %v, want ErrNotSent", err)
	}
}
