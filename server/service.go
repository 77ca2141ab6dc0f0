package server

import (
	"context"
	"net/http"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Service handles the requests that the server has decoded and validated. Its methods are
// called concurrently. The context ends with the request.
type Service interface {
	Submit(ctx context.Context, id ids.JobID, spec *wire.JobSpec) Response
	Status(ctx context.Context, id ids.JobID) Response
	Cancel(ctx context.Context, id ids.JobID) Response
	// Heartbeat receives the heartbeat and its encoded form, which the service may retain.
	Heartbeat(ctx context.Context, raw []byte, heartbeat *wire.Heartbeat) Response
	// Healthy reports whether the controller can serve requests.
	Healthy() bool
	// Draining reports whether connections should be closed after a response of 503, because the
	// load balancer sends new ones to other controllers.
	Draining() bool
}

// Response is the response of a service to a request.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Body is a wire value, or a []byte that holds an encoded one. Nil means no body.
	Body any
	// RetryAfter is how long the client should wait before it repeats the request. With 0 the
	// response has no Retry-After header.
	RetryAfter time.Duration
	// Close reports whether the connection is closed after the response, so that the load
	// balancer may choose another controller for the next request.
	Close bool
}

// RetryLater returns the response to a request that currently cannot be served. The client
// should repeat the request after the given time.
func RetryLater(after time.Duration) Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: after}
}
