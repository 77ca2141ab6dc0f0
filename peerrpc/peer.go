// Package peerrpc carries requests between controllers: CBOR frames over TCP, with many requests
// in flight on one connection. Peer is the client and Serve the server. The package does not
// interpret requests, and never retries one: an error shows whether the peer may have executed
// it. Package controller/peerapi defines the requests.
package peerrpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ospreystile.example/ospreystile/ids"
)

// dialTimeout bounds the time to open a connection to a peer.
const dialTimeout = 700 * time.Millisecond

// Operation is the name of the operation that a request calls.
type Operation string

// Decode decodes the body of a request.
func Decode(body []byte, value any) error { return cbor.Unmarshal(body, value) }

// Peer is the client of one other controller. It keeps one connection, which the first call
// opens. It is safe for concurrent use. Close closes the connection and ends its goroutine.
type Peer struct {
	Name    ids.ControllerName
	address string

	mu         sync.Mutex
	connection *clientConnection // nil before the first call
}

// NewPeer returns the client of the controller with a name and address. It opens no connection.
func NewPeer(name ids.ControllerName, address string) *Peer {
	return &Peer{Name: name, address: address}
}

// Call sends a request and decodes its response into out, unless out is nil. Only the context
// limits the time of a request. An error wraps ErrNotSent, ErrNoResponse or ErrRemote, unless the
// request cannot be encoded.
//
// A network partition causes no connection error. A caller whose requests to a peer time out
// should call Close, so that the next call opens another connection.
func (p *Peer) Call(ctx context.Context, op Operation, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode peer request %s: %w", op, err)
	}
	connection, err := p.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNotSent, p.Name, err)
	}
	response, err := connection.exchange(ctx, &frame{Op: op, Body: body})
	if err != nil {
		return err
	}
	if response.Err != "" {
		return &RemoteError{Peer: p.Name, Message: response.Err}
	}
	if out == nil {
		return nil
	}
	if err := cbor.Unmarshal(response.Body, out); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNoResponse, p.Name, err)
	}
	return nil
}

// connect returns the open connection, or opens a new one if there is none.
func (p *Peer) connect(ctx context.Context) (*clientConnection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connection != nil && !p.connection.isClosed() {
		return p.connection, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		return nil, err
	}
	p.connection = newClientConnection(p.Name, socket)
	return p.connection, nil
}

// Close closes the connection and fails its requests in flight. The next call opens another one.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connection != nil {
		p.connection.close()
		<-p.connection.readerDone
	}
}
