package peerrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"ospreystile.example/ospreystile/ids"
)

// errConnectionClosed means that the connection ended before the response came.
var errConnectionClosed = errors.New("connection ended")

// clientConnection is a connection to a peer with its requests in flight. Its reader goroutine
// hands responses to them, and ends when the connection is closed, by either side.
type clientConnection struct {
	peer   ids.ControllerName
	socket net.Conn
	// readerDone is closed when the reader goroutine has ended.
	readerDone chan struct{}

	// mu orders requests on the wire; it is held while one is written.
	mu     sync.Mutex
	writer *bufio.Writer
	lastID uint64
	// inFlight holds the channel for the response to each request. It is closed when the
	// connection ends.
	inFlight map[uint64]chan *frame
	closed   bool
}

// newClientConnection starts the reader of a connection.
func newClientConnection(peer ids.ControllerName, socket net.Conn) *clientConnection {
	c := &clientConnection{
		peer:       peer,
		socket:     socket,
		readerDone: make(chan struct{}),
		writer:     bufio.NewWriter(socket),
		inFlight:   map[uint64]chan *frame{},
	}
	go c.read()
	return c
}

// read hands responses to the requests in flight until the connection ends.
func (c *clientConnection) read() {
	defer close(c.readerDone)
	defer c.close()
	reader := bufio.NewReader(c.socket)
	for {
		response, err := readFrame(reader)
		if err != nil {
			return
		}
		if waiting := c.forget(response.ID); waiting != nil {
			waiting <- response
		}
	}
}

// exchange sends a request and waits for its response. An error wraps ErrNotSent or
// ErrNoResponse.
func (c *clientConnection) exchange(ctx context.Context, request *frame) (*frame, error) {
	responses, err := c.send(ctx, request)
	if err != nil {
		return nil, err
	}
	select {
	case response, open := <-responses:
		if !open {
			return nil, c.failed(ErrNoResponse, errConnectionClosed)
		}
		return response, nil
	case <-ctx.Done():
		c.forget(request.ID)
		return nil, c.failed(ErrNoResponse, ctx.Err())
	}
}

// send gives a request its ID, writes it, and returns the channel of its response. A write that
// fails may have sent a part of it, so the connection ends.
func (c *clientConnection) send(ctx context.Context, request *frame) (<-chan *frame, error) {
	responses, err := c.write(ctx, request)
	if errors.Is(err, ErrNoResponse) {
		c.close()
	}
	return responses, err
}

// write gives a request its ID and writes it. It leaves a connection open that failed.
func (c *clientConnection) write(ctx context.Context, request *frame) (<-chan *frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, c.failed(ErrNotSent, errConnectionClosed)
	}
	c.lastID++
	request.ID = c.lastID
	responses := make(chan *frame, 1) // the reader never waits for a caller
	c.inFlight[request.ID] = responses
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.socket.SetWriteDeadline(deadline) // a closed connection fails to write, too
	}
	if err := writeFrame(c.writer, request); err != nil {
		return nil, c.failed(ErrNoResponse, err)
	}
	return responses, nil
}

// failed returns the error of a request; kind is ErrNotSent or ErrNoResponse.
func (c *clientConnection) failed(kind, cause error) error {
	return fmt.Errorf("%w: %s: %w", kind, c.peer, cause)
}

// forget removes a request and returns the channel of its response, nil if it is not in flight.
func (c *clientConnection) forget(id uint64) chan<- *frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	responses := c.inFlight[id]
	delete(c.inFlight, id)
	return responses
}

// isClosed reports whether the connection has ended.
func (c *clientConnection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// close ends the connection and fails the requests in flight.
func (c *clientConnection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.socket.Close()
	for id, responses := range c.inFlight {
		delete(c.inFlight, id)
		close(responses)
	}
}
