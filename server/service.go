package server

import (
	"context"
	"net/http"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// Service handles the requests that the server has decoded and validated. Its methods are
// called from many goroutines at once; the context ends with the request.
type Service interface {
	Submit(ctx context.Context, id ids.JobID, spec *wire.JobSpec) Response
	Status(ctx context.Context, id ids.JobID) Response
	Cancel(ctx context.Context, id ids.JobID) Response
	// Heartbeat gets the heartbeat and its encoded form, which the service may keep.
	Heartbeat(ctx context.Context, raw []byte, heartbeat *wire.Heartbeat) Response
	// Healthy reports whether the controller can serve requests.
	Healthy() bool
}

// Response is what a service responds to a request.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Body is a wire value, or a []byte that holds an encoded one. Nil means no body.
	Body any
	// RetryAfter is how long the client should wait before it asks again. 0 means that the
	// response does not say.
	RetryAfter time.Duration
	// Close ends the connection, so that the load balancer may choose another controller
	// for the next request.
	Close bool
}

// RetryLater is the response to a request that cannot be served now. The client should ask
// again after the given time.
func RetryLater(after time.Duration) Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: after}
}
