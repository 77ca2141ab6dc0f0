package controller

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// retryListener is a listener that retries Accept after errors. Accept fails while the process has
// no free sockets; this is temporary and must not end the process.
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
