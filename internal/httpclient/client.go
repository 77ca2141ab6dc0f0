// Package httpclient sends requests to external services: the key-value store, the cloud and
// the workers' agents. Client is the HTTP transport to one address. It keeps connections open
// and sets a deadline on every request. Service adds a request budget and maps response statuses to
// errors. Packages kv and cloud use a Service, and package worker uses a Client for each agent.
// Neither type retries a request, because only the caller can resolve an indeterminate result.
package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// connectionWaitTimeout is how long a request waits for a free connection.
	connectionWaitTimeout = 500 * time.Millisecond
	// contentType is the media type of request bodies.
	contentType = "application/msgpack"
)

// Client sends HTTP requests to one address. It is safe for concurrent use.
type Client struct {
	host    *fasthttp.HostClient
	baseURL string
}

// New returns a client for an address that opens at most maxConnections connections. A request whose
// response body is larger than maxBodyBytes fails.
func New(address string, maxConnections, maxBodyBytes int) *Client {
	return &Client{baseURL: "http://" + address, host: &fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 maxConnections,
		MaxIdleConnDuration:      idleTimeout,
		MaxConnWaitTimeout:       connectionWaitTimeout,
		MaxResponseBodySize:      maxBodyBytes,
		NoDefaultUserAgentHeader: true,
		// A retry inside the client would hide an indeterminate result from the caller.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      dial,
	}}
}

// errNoConnection means that no connection could be opened, so the request was not sent.
var errNoConnection = errors.New("no connection")

// dial opens a TCP connection. Its errors wrap errNoConnection.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoConnection, err)
	}
	return connection, nil
}

// SetIdleTimeout sets how long an idle connection stays open. It must be called before the first
// request.
func (c *Client) SetIdleTimeout(timeout time.Duration) { c.host.MaxIdleConnDuration = timeout }

// Do sends one request and returns the status and a copy of the response body. The request fails
// when the timeout or the context's deadline expires, whichever is earlier. Cancelling the context
// does not abort a request that was already sent. An error is a *RequestError of kind ErrNotSent or
// ErrNoResponse.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	if err := ctx.Err(); err != nil {
		return 0, nil, &RequestError{Kind: ErrNotSent, Method: method, Path: path, Cause: err}
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.baseURL + path)
	request.Header.SetMethod(method)
	if body != nil {
		request.Header.SetContentType(contentType)
		request.SetBodyRaw(body)
	}
	if err := c.host.DoDeadline(request, response, requestDeadline(ctx, timeout)); err != nil {
		return 0, nil, &RequestError{Kind: transportErrorKind(err), Method: method, Path: path, Cause: err}
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// requestDeadline returns the time at which the timeout expires if it starts now, or the context's
// deadline if that is earlier.
func requestDeadline(ctx context.Context, timeout time.Duration) time.Time {
	deadline := time.Now().Add(timeout)
	if contextDeadline, ok := ctx.Deadline(); ok && contextDeadline.Before(deadline) {
		return contextDeadline
	}
	return deadline
}

// transportErrorKind returns the kind of a transport error: ErrNotSent or ErrNoResponse.
func transportErrorKind(err error) error {
	if errors.Is(err, errNoConnection) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return ErrNotSent
	}
	return ErrNoResponse
}

// Close closes all idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }
