package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"ospreystile.example/ospreystile/wire"
)

// Transport sends one request to a service, without retries. Its errors are of type *RequestError and
// of kind ErrNotSent or ErrNoResponse. After an error that does not wrap ErrNotSent the result is
// indeterminate.
type Transport interface {
	Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (status int, response []byte, err error)
}

// Protocol maps the response statuses of one service to errors. The error kinds are sentinel errors
// of the package that implements the service's client.
type Protocol struct {
	// AcceptedStatuses lists the statuses that are returned as a Response. All others are errors.
	AcceptedStatuses []int
	// Unavailable is the error kind if the service has certainly not executed the request.
	Unavailable error
	// Indeterminate is the error kind if the service may have executed the request, or may still
	// execute it.
	Indeterminate error
	// Rejected is the error kind for an invalid request, which fails again if it is retried unchanged.
	Rejected error
	// Malformed is the error kind for a response that the protocol does not allow or that cannot be
	// decoded.
	Malformed error
	// ConditionError returns the sentinel error for a status and message that represent a condition
	// of the service, such as an expired lease, and nil for all others. Service.Do returns the
	// sentinel without a *RequestError.
	ConditionError func(status int, message string) error
}

// Request is one request to a service.
type Request struct {
	Method string
	Path   string
	// Body is encoded as MessagePack. If it is nil, no body is sent.
	Body any
	// Timeout is the timeout of the request. It starts once the budget permits the request.
	Timeout time.Duration
}

// Service sends requests to one service within a request budget and maps the results according to the
// service's protocol. It does not retry requests. It is safe for concurrent use.
type Service struct {
	transport Transport
	budget    *rate.Limiter
	protocol  Protocol
}

// NewService returns a Service that sends requests over the transport within the budget.
func NewService(transport Transport, budget *rate.Limiter, protocol Protocol) *Service {
	return &Service{transport: transport, budget: budget, protocol: protocol}
}

// WithTransport returns a Service that uses another transport and shares the request budget with s.
func (s *Service) WithTransport(transport Transport) *Service {
	return NewService(transport, s.budget, s.protocol)
}

// Unthrottled returns a Service that uses the same transport without a request budget.
func (s *Service) Unthrottled() *Service {
	return NewService(s.transport, rate.NewLimiter(rate.Inf, 1), s.protocol)
}

// Do waits until the budget permits the request, sends it once and returns the response. An error is
// one of the protocol's condition errors, or wraps one of the protocol's error kinds and a
// *RequestError.
func (s *Service) Do(ctx context.Context, request Request) (*Response, error) {
	if err := s.budget.Wait(ctx); err != nil {
		cause := fmt.Errorf("request budget: %w", err)
		return nil, &RequestError{Kind: s.protocol.Unavailable, Method: request.Method, Path: request.Path, Cause: cause}
	}
	var body []byte
	if request.Body != nil {
		body = wire.Encode(request.Body)
	}
	status, response, err := s.transport.Do(ctx, request.Method, request.Path, body, request.Timeout)
	if errors.Is(err, ErrNotSent) {
		return nil, fmt.Errorf("%w: %w", s.protocol.Unavailable, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", s.protocol.Indeterminate, err)
	}
	if !slices.Contains(s.protocol.AcceptedStatuses, status) {
		return nil, s.statusError(request, status, response)
	}
	return &Response{Status: status, Body: response, request: request, malformedKind: s.protocol.Malformed}, nil
}

// statusError returns the error for a response whose status is not accepted.
func (s *Service) statusError(request Request, status int, response []byte) error {
	message := errorMessage(response)
	if err := s.protocol.ConditionError(status, message); err != nil {
		return err
	}
	kind := s.protocol.Indeterminate
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = s.protocol.Unavailable
	case http.StatusBadRequest:
		kind = s.protocol.Rejected
	}
	return &RequestError{Kind: kind, Method: request.Method, Path: request.Path, Status: status, Message: message}
}

// errorMessage returns the message in the body of an error response, or "" if there is none.
func errorMessage(body []byte) string {
	var response struct {
		Error string `msgpack:"error"`
	}
	if wire.Decode(body, &response) != nil {
		return ""
	}
	return response.Error
}

// Response represents a response with an accepted status.
type Response struct {
	Status int
	Body   []byte

	request       Request
	malformedKind error
}

// Decode decodes the body into value. An error is a *RequestError of the protocol's Malformed kind.
func (r *Response) Decode(value any) error {
	if err := wire.Decode(r.Body, value); err != nil {
		return r.MalformedError(err)
	}
	return nil
}

// MalformedError returns the error for a response that the protocol does not allow. cause is nil if
// only the status is wrong.
func (r *Response) MalformedError(cause error) error {
	return &RequestError{Kind: r.malformedKind, Method: r.request.Method, Path: r.request.Path, Status: r.Status, Cause: cause}
}
