package node

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// patient is a listener that goes on after errors. When a node is out of
// sockets, accepting fails; that passes, and must not end the process.
type patient struct {
	net.Listener
	log *slog.Logger
}

// acceptPause is how long a listener waits after an error.
const acceptPause = 50 * time.Millisecond

// Accept implements net.Listener.
func (l patient) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.log.Warn("connection not accepted", "addr", l.Addr().String(), "err", err)
		time.Sleep(acceptPause)
	}
}
