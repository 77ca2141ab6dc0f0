package controller

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// retryListener is a listener that goes on after errors. While the process is out of sockets
// accepting fails; that passes, and must not end the process.
type retryListener struct {
	net.Listener
	log *slog.Logger
}

// acceptRetryDelay is how long a listener waits after an error.
const acceptRetryDelay = 50 * time.Millisecond

// Accept implements net.Listener.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.log.Warn("accept failed", "address", l.Addr().String(), "err", err)
		time.Sleep(acceptRetryDelay)
	}
}
