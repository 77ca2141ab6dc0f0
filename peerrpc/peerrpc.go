// Package peerrpc carries requests between controllers: CBOR frames over TCP.
package peerrpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/ids"
)

// maxFrame bounds one frame; a larger one ends the connection.
const maxFrame = 4 << 20

// maxInFlight is how many requests one connection may have under way. More are held back
// in the connection itself.
const maxInFlight = 32

// frame is one request or answer.
type frame struct {
	ID     uint64          `cbor:"1,keyasint"`
	Op     Operation       `cbor:"2,keyasint,omitempty"`
	Answer bool            `cbor:"3,keyasint,omitempty"`
	Err    string          `cbor:"4,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

var (
	// ErrNotSent means that the peer surely did not get the request.
	ErrNotSent = errors.New("peer not reached")
	// ErrNoResponse means that the peer may have got the request.
	ErrNoResponse = errors.New("no answer from the peer")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = errors.New("refused by the peer")
)

// Operation names what a request asks for.
type Operation string

// Handler answers one request.
type Handler func(ctx context.Context, op Operation, body []byte) (any, error)

// Decode reads a request's body.
func Decode(b []byte, v any) error { return cbor.Unmarshal(b, v) }

// writeFrame writes a frame behind its length.
func writeFrame(w *bufio.Writer, f *frame) error {
	b, err := cbor.Marshal(f)
	if err != nil {
		return fmt.Errorf("peer frame: %w", err)
	}
	var head [4]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(b)))
	if _, err := w.Write(head[:]); err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return err
	}
	return w.Flush()
}

// readFrame reads a frame behind its length.
func readFrame(r *bufio.Reader) (*frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > maxFrame {
		return nil, fmt.Errorf("peer frame of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	f := new(frame)
	if err := cbor.Unmarshal(b, f); err != nil {
		return nil, fmt.Errorf("peer frame: %w", err)
	}
	return f, nil
}

// Serve answers requests on a listener until the context ends.
func Serve(ctx context.Context, ln net.Listener, h Handler, log *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("peer listener: %w", err)
		}
		wg.Go(func() { serveConn(ctx, c, h, log) })
	}
}

// serveConn answers the requests of one connection until it ends.
func serveConn(ctx context.Context, c net.Conn, h Handler, log *slog.Logger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	r, w := bufio.NewReader(c), bufio.NewWriter(c)
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxInFlight)
	defer g.Wait() //nolint:errcheck // the handlers return nothing
	for {
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		f, err := readFrame(r)
		if err != nil {
			if !errors.Is(err, io.EOF) && ctx.Err() == nil {
				log.Debug("peer connection closed", "err", err)
			}
			return
		}
		g.Go(func() error {
			ans := &frame{ID: f.ID, Answer: true}
			v, err := h(ctx, f.Op, f.Body)
			if err == nil {
				ans.Body, err = cbor.Marshal(v)
			}
			if err != nil {
				ans.Err, ans.Body = err.Error(), nil
			}
			mu.Lock()
			defer mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
			if writeFrame(w, ans) != nil {
				cancel()
			}
			return nil
		})
	}
}

// Peer is the way to one other controller. It keeps one connection, made when
// it is needed.
type Peer struct {
	Name ids.ControllerName
	addr string

	mu   sync.Mutex
	conn *conn
}

// NewPeer makes the way to a peer.
func NewPeer(name ids.ControllerName, addr string) *Peer { return &Peer{Name: name, addr: addr} }

// conn is a connection to a peer with the requests that wait for their answers.
type conn struct {
	c       net.Conn
	w       *bufio.Writer
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan *frame
	dead    bool
}

// connect returns the open connection, or opens one.
func (p *Peer) connect(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && !p.conn.isDead() {
		return p.conn, nil
	}
	d := net.Dialer{Timeout: 700 * time.Millisecond}
	c, err := d.DialContext(ctx, "tcp4", p.addr)
	if err != nil {
		return nil, err
	}
	cn := &conn{c: c, w: bufio.NewWriter(c), waiting: map[uint64]chan *frame{}}
	go cn.read()
	p.conn = cn
	return cn, nil
}

// isDead tells whether the connection has ended.
func (cn *conn) isDead() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.dead
}

// read hands answers to those who wait for them until the connection ends.
func (cn *conn) read() {
	r := bufio.NewReader(cn.c)
	for {
		f, err := readFrame(r)
		if err != nil {
			cn.close()
			return
		}
		cn.mu.Lock()
		ch := cn.waiting[f.ID]
		delete(cn.waiting, f.ID)
		cn.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	}
}

// close ends the connection and fails the requests that wait.
func (cn *conn) close() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.dead {
		return
	}
	cn.dead = true
	cn.c.Close()
	for id, ch := range cn.waiting {
		delete(cn.waiting, id)
		close(ch)
	}
}

// Call sends a request and waits for its answer within the context's time. A
// cut shows no error: who finds that a peer lets requests time out calls
// Close, and the next call makes a new connection.
func (p *Peer) Call(ctx context.Context, op Operation, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return fmt.Errorf("peer call %s: %w", op, err)
	}
	cn, err := p.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNotSent, p.Name, err)
	}
	ch := make(chan *frame, 1)
	cn.mu.Lock()
	if cn.dead {
		cn.mu.Unlock()
		return fmt.Errorf("%w: %s: connection ended", ErrNotSent, p.Name)
	}
	cn.next++
	id := cn.next
	cn.waiting[id] = ch
	if d, ok := ctx.Deadline(); ok {
		_ = cn.c.SetWriteDeadline(d)
	}
	err = writeFrame(cn.w, &frame{ID: id, Op: op, Body: body})
	cn.mu.Unlock()
	if err != nil {
		cn.close()
		return fmt.Errorf("%w: %s: %w", ErrNoResponse, p.Name, err)
	}
	select {
	case f, ok := <-ch:
		if !ok {
			return fmt.Errorf("%w: %s: connection ended", ErrNoResponse, p.Name)
		}
		if f.Err != "" {
			return fmt.Errorf("%w: %s: %s", ErrRemote, p.Name, f.Err)
		}
		if out == nil {
			return nil
		}
		if err := cbor.Unmarshal(f.Body, out); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrNoResponse, p.Name, err)
		}
		return nil
	case <-ctx.Done():
		cn.mu.Lock()
		delete(cn.waiting, id)
		cn.mu.Unlock()
		return fmt.Errorf("%w: %s: %w", ErrNoResponse, p.Name, ctx.Err())
	}
}

// Close ends the connection; the next call makes another.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.close()
	}
}
