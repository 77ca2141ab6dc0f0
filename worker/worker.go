// Package worker is the client of workers, that is, of the agents that run tasks on machines. The
// leader sends them commands and requests heartbeats. Each request is sent once; the leader is
// responsible for retries.
package worker

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

const (
	// idleTimeout is how long a connection to an agent stays open without requests. There may be
	// more agents than sockets, and a leader sends commands to hundreds of them within seconds.
	idleTimeout = 500 * time.Millisecond
	// maxConnections is the largest number of open connections to one agent.
	maxConnections = 2
	// maxResponseBytes is the largest response body that is accepted.
	maxResponseBytes = 1 << 20
)

// Client sends requests to agents by their addresses. It is safe for concurrent use.
type Client struct {
	mu sync.Mutex
	// transports holds the transport of each address.
	transports map[string]*httpclient.Client
}

// New returns a client without connections.
func New() *Client { return &Client{transports: map[string]*httpclient.Client{}} }

// transport returns the transport of an address, and creates it on first use.
func (c *Client) transport(address string) *httpclient.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	transport := c.transports[address]
	if transport == nil {
		transport = httpclient.New(address, maxConnections, maxResponseBytes)
		transport.SetIdleTimeout(idleTimeout)
		c.transports[address] = transport
	}
	return transport
}

// Forget closes the idle connections to the address of a terminated machine and deletes its
// transport.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if transport := c.transports[address]; transport != nil {
		transport.Close()
		delete(c.transports, address)
	}
}

// SendCommands sends commands and returns the agent's next heartbeat, which shows whether the
// agent executed or refused them. After an error the commands may have been executed, unless
// it wraps httpclient.ErrNotSent.
func (c *Client) SendCommands(ctx context.Context, address string, batch wire.CommandBatch, timeout time.Duration) (*wire.Heartbeat, error) {
	if batch.Commands == nil {
		batch.Commands = []wire.Command{} // the protocol requires a list
	}
	return c.do(ctx, address, httpclient.Request{Method: http.MethodPost, Path: "/do", Body: batch, Timeout: timeout})
}

// RequestHeartbeat asks an agent for a heartbeat.
func (c *Client) RequestHeartbeat(ctx context.Context, address string, timeout time.Duration) (*wire.Heartbeat, error) {
	return c.do(ctx, address, httpclient.Request{Method: http.MethodGet, Path: "/show", Timeout: timeout})
}

// do sends one request and reads the heartbeat from its response.
func (c *Client) do(ctx context.Context, address string, request httpclient.Request) (*wire.Heartbeat, error) {
	heartbeat, err := exchange(ctx, c.transport(address), request)
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", address, err)
	}
	return heartbeat, nil
}

// exchange sends one request over a transport. An agent responds with a heartbeat even if it
// refuses commands. Any other response leaves the result indeterminate.
func exchange(ctx context.Context, transport httpclient.Transport, request httpclient.Request) (*wire.Heartbeat, error) {
	var body []byte
	if request.Body != nil {
		body = wire.Encode(request.Body)
	}
	status, response, err := transport.Do(ctx, request.Method, request.Path, body, request.Timeout)
	if err != nil {
		return nil, err
	}
	failure := httpclient.RequestError{Kind: httpclient.ErrNoResponse, Method: request.Method, Path: request.Path, Status: status}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, &failure
	}
	heartbeat := new(wire.Heartbeat)
	if err := wire.Decode(response, heartbeat); err != nil {
		failure.Cause = err
		return nil, &failure
	}
	return heartbeat, nil
}
