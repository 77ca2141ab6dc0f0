package controller

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
)

// fullOnce is a listener of a process that is out of sockets at first.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A controller without free sockets accepts connections again once it has some.
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
		t.Errorf("closed: %v", err)
	}
}
