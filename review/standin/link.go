package standin

import (
	"net"
	"sync"
)

// Link is a TCP proxy to one address. While it is cut, it holds back what either side sends, and new
// connections hang. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	open        *sync.Cond
	cut, closed bool
	connections map[net.Conn]bool
}

// newLink starts a proxy to the target.
func newLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, connections: map[net.Conn]bool{}}
	l.open = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Address returns the address of the proxy.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetCut begins or ends a cut.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.open.Broadcast()
}

// close closes the proxy and its connections.
func (l *Link) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.open.Broadcast()
	for connection := range l.connections {
		connection.Close()
	}
}

// await waits while the link is cut, and reports whether it is still there.
func (l *Link) await() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut && !l.closed {
		l.open.Wait()
	}
	return !l.closed
}

// track keeps a connection until it is closed.
func (l *Link) track(connection net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[connection] = true
}

// drop closes a connection.
func (l *Link) drop(connection net.Conn) {
	connection.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, connection)
}

func (l *Link) accept() {
	for {
		connection, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(connection)
	}
}

// serve passes on one connection.
func (l *Link) serve(from net.Conn) {
	l.track(from)
	defer l.drop(from)
	if !l.await() {
		return
	}
	to, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	l.track(to)
	defer l.drop(to)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.pass(from, to)
	}()
	l.pass(to, from)
	<-done
}

// pass copies what one side sends until it ends, and then closes both.
func (l *Link) pass(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.await() {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
