// Package httpclient is the one HTTP client that all outside calls go through:
// kept-open connections, a deadline on every call, and no repeat of its own.
package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNoResponse means that the request may have been carried out, or may yet be.
var ErrNoResponse = errors.New("no answer")

// ErrNotSent means that the request surely never left.
var ErrNotSent = errors.New("not sent")

// Client talks to one address.
type Client struct {
	hc   *fasthttp.HostClient
	base string
}

// New makes a client for an address with at most conns connections. Answers
// above maxBody bytes are refused.
func New(addr string, conns, maxBody int) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Client{base: "http://" + addr, hc: &fasthttp.HostClient{
		Addr:                     addr,
		MaxConns:                 conns,
		MaxIdleConnDuration:      30 * time.Second,
		MaxConnWaitTimeout:       500 * time.Millisecond,
		MaxResponseBodySize:      maxBody,
		NoDefaultUserAgentHeader: true,
		// A repeat inside the client would hide an unknown outcome from the
		// callers, who alone know how to settle it.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			c, err := dialer.Dial("tcp4", addr)
			if err != nil {
				return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
			}
			return c, nil
		},
	}}
}

// SetIdleTimeout sets how long a connection is kept without use. It goes before the
// first call.
func (c *Client) SetIdleTimeout(d time.Duration) { c.hc.MaxIdleConnDuration = d }

// Do sends one request and returns the status and a copy of the body.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	if err := ctx.Err(); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/msgpack")
		req.SetBodyRaw(body)
	}
	if err := c.hc.DoDeadline(req, resp, deadline); err != nil {
		if errors.Is(err, ErrNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
			return 0, nil, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		return 0, nil, fmt.Errorf("%w: %v", ErrNoResponse, err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// Close drops the idle connections.
func (c *Client) Close() { c.hc.CloseIdleConnections() }
