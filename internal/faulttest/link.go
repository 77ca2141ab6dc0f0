package faulttest

import (
	"io"
	"net"
	"sync"
)

// link forwards the connections to one address. A cut link accepts connections and forwards nothing, as a network
// that loses all packets. It is safe for concurrent use.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// newLink starts a link to an address.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go l.run() // ends when close closes the listener
	return l, nil
}

// address returns the host:port that the link forwards.
func (l *link) address() string { return l.listener.Addr().String() }

// run accepts connections until the listener is closed.
func (l *link) run() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

// forward forwards one connection until one side closes it or the link is cut.
func (l *link) forward(conn net.Conn) {
	if !l.add(conn) {
		return // it stays open, and nobody answers
	}
	server, err := net.Dial("tcp4", l.target)
	if err != nil {
		conn.Close()
		return
	}
	l.add(server)
	go func() {
		_, _ = io.Copy(server, conn) // an error ends the connection like its regular end
		server.Close()
	}()
	_, _ = io.Copy(conn, server)
	conn.Close()
}

// add registers a connection and reports whether the link is not cut.
func (l *link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	return !l.cut
}

// setCut begins or ends a cut. Connections that exist then are closed.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for conn := range l.conns {
		conn.Close()
	}
	clear(l.conns)
}

// close closes the link and its connections.
func (l *link) close() {
	l.listener.Close()
	l.setCut(true)
}
