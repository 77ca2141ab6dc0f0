// Package worker is the client for commands sent straight to workers.
package worker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

// Client keeps one small client for each worker address.
type Client struct {
	mu    sync.Mutex
	conns map[string]*httpclient.Client
}

// keepIdle is how long a connection to a worker is kept. There may be more
// workers than sockets, and a term sends commands to hundreds of them within
// seconds.
const keepIdle = 500 * time.Millisecond

// New makes an empty client.
func New() *Client { return &Client{conns: map[string]*httpclient.Client{}} }

// to finds the client of an address, or makes one.
func (c *Client) to(addr string) *httpclient.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.conns[addr]
	if h == nil {
		h = httpclient.New(addr, 2, 1<<20)
		h.SetIdleTimeout(keepIdle)
		c.conns[addr] = h
	}
	return h
}

// Forget drops what is kept for a worker that is gone.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.conns[addr]; h != nil {
		h.Close()
		delete(c.conns, addr)
	}
}

// SendCommands sends commands. Whether they were executed or refused, the report is the
// worker's after it, and tells. Any error leaves the outcome unknown unless it wraps
// httpclient.ErrNotSent.
func (c *Client) SendCommands(ctx context.Context, addr string, d wire.CommandBatch, timeout time.Duration) (*wire.Heartbeat, error) {
	if d.Commands == nil {
		d.Commands = []wire.Command{}
	}
	return c.call(ctx, addr, "POST", "/do", wire.Encode(d), timeout)
}

// RequestHeartbeat asks for the worker's report.
func (c *Client) RequestHeartbeat(ctx context.Context, addr string, timeout time.Duration) (*wire.Heartbeat, error) {
	return c.call(ctx, addr, "GET", "/show", nil, timeout)
}

// call sends one request and reads the worker's report from the answer.
func (c *Client) call(ctx context.Context, addr, method, path string, body []byte, timeout time.Duration) (*wire.Heartbeat, error) {
	status, ans, err := c.to(addr).Do(ctx, method, path, body, timeout)
	if err != nil {
		return nil, fmt.Errorf("worker %s%s: %w", addr, path, err)
	}
	if status != 200 && status != 409 {
		return nil, fmt.Errorf("worker %s%s: %w: status %d", addr, path, httpclient.ErrNoResponse, status)
	}
	rep := new(wire.Heartbeat)
	if err := wire.Decode(ans, rep); err != nil {
		return nil, fmt.Errorf("worker %s%s: %w: %w", addr, path, httpclient.ErrNoResponse, err)
	}
	return rep, nil
}
