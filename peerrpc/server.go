package peerrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// maxInFlight is the maximum number of requests of one connection that are handled
	// concurrently. While that many are in flight, the server reads at most one more request,
	// which puts backpressure on the peer.
	maxInFlight = 32
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 30 * time.Second
	// responseTimeout bounds the time to write one response.
	responseTimeout = 5 * time.Second
)

// Handler handles one request and returns its result, which is encoded as CBOR. The caller receives
// only the text of an error; see Refusal. The context ends with the connection. Handlers are called
// concurrently.
type Handler func(ctx context.Context, op Operation, body []byte) (any, error)

// Serve handles requests on a listener until the context ends. It then closes the listener, and
// returns once the listener is closed and all handlers have returned.
func Serve(ctx context.Context, listener net.Listener, handler Handler, log *slog.Logger) error {
	// Accept fails before the listener refuses connections, so Serve waits for Close to return.
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		listener.Close()
	})
	defer func() {
		if !stop() {
			<-closed
		}
	}()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		connection, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("accept peer connection: %w", err)
		}
		connections.Go(func() { serveConnection(ctx, connection, handler, log) })
	}
}

// serverConnection holds a connection from a peer to this controller.
type serverConnection struct {
	connection net.Conn
	handler    Handler
	// close closes the connection and cancels the context of its handlers.
	close context.CancelFunc

	// writeMu serializes the writing of responses.
	writeMu sync.Mutex
	writer  *bufio.Writer
}

// serveConnection handles the requests of one connection until it is closed, and waits for its
// handlers.
func serveConnection(ctx context.Context, connection net.Conn, handler Handler, log *slog.Logger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	defer stop()
	defer connection.Close()
	server := &serverConnection{connection: connection, handler: handler, close: cancel, writer: bufio.NewWriter(connection)}
	err := server.run(ctx)
	if !errors.Is(err, io.EOF) && ctx.Err() == nil {
		log.Debug("peer connection closed", "err", err)
	}
}

// run reads requests and starts their handlers until reading fails, and then waits for the handlers.
func (s *serverConnection) run(ctx context.Context) error {
	var handlers errgroup.Group
	handlers.SetLimit(maxInFlight)
	defer handlers.Wait() //nolint:errcheck // the handlers return nothing
	reader := bufio.NewReader(s.connection)
	for {
		_ = s.connection.SetReadDeadline(time.Now().Add(idleTimeout)) // if this fails, so does the read
		request, err := readFrame(reader)
		if err != nil {
			return err
		}
		handlers.Go(func() error {
			s.respond(s.handle(ctx, request))
			return nil
		})
	}
}

// handle calls the handler for a request and returns the response.
func (s *serverConnection) handle(ctx context.Context, request *frame) *frame {
	response := &frame{ID: request.ID, IsResponse: true}
	result, err := s.handler(ctx, request.Op, request.Body)
	if err == nil {
		response.Body, err = cbor.Marshal(result)
	}
	if err != nil {
		response.Err, response.Body = err.Error(), nil
	}
	return response
}

// respond writes a response. It closes the connection if the write fails.
func (s *serverConnection) respond(response *frame) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.connection.SetWriteDeadline(time.Now().Add(responseTimeout)) // if this fails, so does the write
	if writeFrame(s.writer, response) != nil {
		s.close()
	}
}
