package controller

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

// retryListener is a listener that retries Accept after an error. Accept fails while the process has no
// free sockets. This condition is temporary and must not end the process.
type retryListener struct {
	net.Listener
	log *slog.Logger
}

// acceptRetryDelay is the delay between an error of Accept and the next attempt.
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
