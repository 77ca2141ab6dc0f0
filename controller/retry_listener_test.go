package controller

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
)

// failingListener is a listener whose first calls of Accept fail because the process has no free sockets.
type failingListener struct {
	net.Listener
	failures int // number of calls of Accept that still fail
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A controller that has run out of sockets must accept connections again once sockets are free.
func TestListenerRecoversFromSocketExhaustion(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := retryListener{&failingListener{ln, 2}, slog.New(slog.DiscardHandler)}
	go func() {
		if c, err := net.Dial("tcp4", ln.Addr().String()); err == nil {
			c.Close()
		}
	}()
	c, err := p.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	ln.Close()
	if _, err := p.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept on the closed listener: %v", err)
	}
}
