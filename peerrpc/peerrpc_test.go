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

// errBusy is a refusal of testHandler.
const errBusy = Refusal("busy")

// testHandler doubles numbers, hangs until its context ends, refuses, or knows no operation.
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

// startServer serves testHandler until the test ends, or stop is called, which returns what Serve
// returned.
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

// checkDouble requires that the peer answers.
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

func TestErrorOfTheHandler(t *testing.T) {
	address, _ := startServer(t)
	peer := newTestPeer(t, address)
	for _, c := range []struct {
		op      Operation
		text    string
		refusal bool
	}{
		{"nonsense", "refused by the peer: n-1: unknown", false},
		{"refuse", "refused by the peer: n-1: busy", true},
	} {
		t.Run(string(c.op), func(t *testing.T) {
			err := peer.Call(t.Context(), c.op, 1, nil)
			if !errors.Is(err, ErrRemote) || errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoResponse) {
				t.Errorf("an error of the handler gave %v", err)
			}
			if err.Error() != c.text {
				t.Errorf("text %q, want %q", err, c.text)
			}
			if got := errors.Is(err, errBusy); got != c.refusal {
				t.Errorf("%v is %q: %v", err, errBusy, got)
			}
		})
	}
}

// The text of a remote error is not taken for an error of this side.
func TestRemoteErrorWithTheTextOfAnotherError(t *testing.T) {
	err := error(&RemoteError{Peer: "n-1", Message: ErrNotSent.Error()})
	if !errors.Is(err, ErrRemote) || errors.Is(err, ErrNotSent) {
		t.Errorf("%v: remote: %v, not sent: %v", err, errors.Is(err, ErrRemote), errors.Is(err, ErrNotSent))
	}
}

// A partition shows no error: the call ends with its time, and may have been executed.
func TestCallEndsWithItsContext(t *testing.T) {
	address, _ := startServer(t)
	peer := newTestPeer(t, address)
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := peer.Call(short, "hang", 1, nil); !errors.Is(err, ErrNoResponse) {
		t.Errorf("a hanging peer gave %v", err)
	}
}

// countInFlight returns how many requests wait for their responses.
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
		t.Errorf("a request on a connection that was closed gave %v", err)
	}
}

func TestCallAfterCloseOpensAConnection(t *testing.T) {
	address, _ := startServer(t)
	peer := newTestPeer(t, address)
	checkDouble(t, peer, 1)
	peer.Close()
	checkDouble(t, peer, 4)
}

func TestUnreachablePeer(t *testing.T) {
	address, stop := startServer(t)
	if err := stop(); !errors.Is(err, context.Canceled) {
		t.Errorf("serving ended with %v", err)
	}
	if err := newTestPeer(t, address).Call(t.Context(), "double", 1, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("a peer that is gone gave %v", err)
	}
}
