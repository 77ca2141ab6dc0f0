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
	// maxInFlight is how many requests of one connection are handled at a time. The next is
	// not read before one of them is done.
	maxInFlight = 32
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 30 * time.Second
	// responseTimeout bounds the writing of one response.
	responseTimeout = 5 * time.Second
)

// Handler answers one request. The result is encoded as CBOR. The caller receives only the text
// of an error: see Refusal. The context ends with the connection. Handlers run concurrently.
type Handler func(ctx context.Context, op Operation, body []byte) (any, error)

// Serve answers requests on a listener until the context ends. It closes the listener then, and
// returns once that is closed and all handlers have ended.
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
			return fmt.Errorf("peer listener: %w", err)
		}
		connections.Go(func() { serveConnection(ctx, connection, handler, log) })
	}
}

// serverConnection is a connection of a peer to this controller.
type serverConnection struct {
	connection net.Conn
	handler    Handler
	// close ends the connection and the context of its handlers.
	close context.CancelFunc

	writeMu sync.Mutex
	writer  *bufio.Writer
}

// serveConnection answers the requests of one connection until it ends, and waits for its
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

// run reads requests and starts their handlers until reading fails, and waits for the handlers.
func (s *serverConnection) run(ctx context.Context) error {
	var handlers errgroup.Group
	handlers.SetLimit(maxInFlight)
	defer handlers.Wait() //nolint:errcheck // the handlers return nothing
	reader := bufio.NewReader(s.connection)
	for {
		_ = s.connection.SetReadDeadline(time.Now().Add(idleTimeout)) // a closed connection fails to read, too
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

// handle has the handler answer a request.
func (s *serverConnection) handle(ctx context.Context, request *frame) *frame {
	response := &frame{ID: request.ID, Answer: true}
	result, err := s.handler(ctx, request.Op, request.Body)
	if err == nil {
		response.Body, err = cbor.Marshal(result)
	}
	if err != nil {
		response.Err, response.Body = err.Error(), nil
	}
	return response
}

// respond writes a response. A connection that cannot be written to ends.
func (s *serverConnection) respond(response *frame) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.connection.SetWriteDeadline(time.Now().Add(responseTimeout)) // a closed connection fails to write, too
	if writeFrame(s.writer, response) != nil {
		s.close()
	}
}
