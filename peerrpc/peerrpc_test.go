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

func TestCalls(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	release := make(chan struct{})
	go func() {
		served <- Serve(ctx, ln, func(ctx context.Context, op Operation, body []byte) (any, error) {
			switch op {
			case "double":
				var n int
				if err := Decode(body, &n); err != nil {
					return nil, err
				}
				return 2 * n, nil
			case "hang":
				select {
				case <-release:
				case <-ctx.Done():
				}
				return 0, nil
			}
			return nil, errors.New("unknown")
		}, slog.New(slog.DiscardHandler))
	}()
	p := NewPeer("n-1", ln.Addr().String())
	var wg sync.WaitGroup
	errs := make(chan error, 50)
	for n := range 50 {
		wg.Go(func() {
			var out int
			if err := p.Call(ctx, "double", n, &out); err != nil || out != 2*n {
				errs <- fmt.Errorf("double %d: %d, %w", n, out, err)
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
	if err := p.Call(ctx, "nonsense", 1, nil); !errors.Is(err, ErrRemote) {
		t.Errorf("an unknown request gave %v", err)
	}
	// A cut shows no error: the call ends with its time, and may have been
	// carried out.
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	if err := p.Call(short, "hang", 1, nil); !errors.Is(err, ErrNoResponse) {
		t.Errorf("a hanging peer gave %v", err)
	}
	stop()
	p.Close()
	var out int
	if err := p.Call(ctx, "double", 4, &out); err != nil || out != 8 {
		t.Errorf("after a new connection: %d, %v", out, err)
	}
	close(release)
	cancel()
	<-served
	if err := NewPeer("n-2", ln.Addr().String()).Call(t.Context(), "double", 1, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("a peer that is gone gave %v", err)
	}
	p.Close()
}
