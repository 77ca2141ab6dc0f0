package controller

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
)

// fullOnce is a listener of a process that is out of sockets at first.
type fullOnce struct {
	net.Listener
	left int
}

func (l *fullOnce) Accept() (net.Conn, error) {
	if l.left > 0 {
		l.left--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A controller without free sockets accepts connections again once it has some.
func TestAcceptsAgainOnceThereAreSockets(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := retryListener{&fullOnce{ln, 2}, slog.New(slog.DiscardHandler)}
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
