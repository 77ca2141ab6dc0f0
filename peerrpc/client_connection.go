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

// errConnectionClosed means that the connection was closed before the response arrived.
var errConnectionClosed = errors.New("connection closed")

// clientConnection holds a connection to a peer and its requests in flight. Its reader goroutine
// delivers responses to them, and ends when either side closes the connection.
type clientConnection struct {
	peer   ids.ControllerName
	socket net.Conn
	// readerDone is closed when the reader goroutine has ended.
	readerDone chan struct{}

	// mu serializes the writing of requests, and guards the fields below.
	mu     sync.Mutex
	writer *bufio.Writer
	lastID uint64
	// inFlight holds the channel for the response to each request, by the request's ID. The
	// channels are closed when the connection is closed.
	inFlight map[uint64]chan *frame
	closed   bool
}

// newClientConnection returns a connection over a socket, and starts its reader goroutine.
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

// read delivers responses to the requests in flight until the connection is closed.
func (c *clientConnection) read() {
	defer close(c.readerDone)
	defer c.close()
	reader := bufio.NewReader(c.socket)
	for {
		response, err := readFrame(reader)
		if err != nil {
			return
		}
		if responses := c.removeInFlight(response.ID); responses != nil {
			responses <- response
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
			return nil, c.requestError(ErrNoResponse, errConnectionClosed)
		}
		return response, nil
	case <-ctx.Done():
		c.removeInFlight(request.ID)
		return nil, c.requestError(ErrNoResponse, ctx.Err())
	}
}

// send assigns an ID to a request, writes it, and returns the channel for its response. A write that
// fails may have sent a part of the request, so send then closes the connection.
func (c *clientConnection) send(ctx context.Context, request *frame) (<-chan *frame, error) {
	responses, err := c.write(ctx, request)
	if errors.Is(err, ErrNoResponse) {
		c.close()
	}
	return responses, err
}

// write assigns an ID to a request and writes it. It does not close the connection if the write fails.
func (c *clientConnection) write(ctx context.Context, request *frame) (<-chan *frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, c.requestError(ErrNotSent, errConnectionClosed)
	}
	c.lastID++
	request.ID = c.lastID
	responses := make(chan *frame, 1) // the buffer keeps the reader from blocking on a caller
	c.inFlight[request.ID] = responses
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.socket.SetWriteDeadline(deadline) // if this fails, so does the write
	}
	if err := writeFrame(c.writer, request); err != nil {
		return nil, c.requestError(ErrNoResponse, err)
	}
	return responses, nil
}

// requestError returns the error of a request to the peer. kind is ErrNotSent or ErrNoResponse.
func (c *clientConnection) requestError(kind, cause error) error {
	return fmt.Errorf("%w: %s: %w", kind, c.peer, cause)
}

// removeInFlight removes a request and returns the channel for its response, or nil if the request
// is not in flight.
func (c *clientConnection) removeInFlight(id uint64) chan<- *frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	responses := c.inFlight[id]
	delete(c.inFlight, id)
	return responses
}

// isClosed reports whether the connection is closed.
func (c *clientConnection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// close closes the connection and fails the requests in flight.
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
