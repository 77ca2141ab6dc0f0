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

// Transport carries one request to a service, once. Its errors are *RequestError of the kind
// ErrNotSent or ErrNoResponse. An error that does not wrap ErrNotSent leaves the result
// indeterminate.
type Transport interface {
	Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (status int, response []byte, err error)
}

// Protocol maps the statuses of one service to errors. The error kinds are sentinels of the
// package of the service's client.
type Protocol struct {
	// AcceptedStatuses lists the statuses that are answers. All others are errors.
	AcceptedStatuses []int
	// Unavailable is the kind of an error after which the request is known not to be executed.
	Unavailable error
	// Indeterminate is the kind of an error after which the request may have been executed,
	// or may yet be.
	Indeterminate error
	// Rejected is the kind of an error for a request that the service never accepts as it is.
	Rejected error
	// Malformed is the kind of an error for an answer that cannot be decoded.
	Malformed error
	// ConditionError returns the sentinel for a status and message that stand for a condition of
	// the service, such as an expired lease, and nil for all others. The sentinel is returned
	// to callers without a *RequestError.
	ConditionError func(status int, message string) error
}

// Request is one request to a service.
type Request struct {
	Method string
	Path   string
	// Body is encoded as MessagePack; nil sends none.
	Body any
	// Timeout bounds the exchange; it starts once the budget admits the request.
	Timeout time.Duration
}

// Service sends requests to one service within a request budget and maps the results by the
// service's protocol. It repeats no request. It is safe for concurrent use.
type Service struct {
	transport Transport
	budget    *rate.Limiter
	protocol  Protocol
}

// NewService returns a service that sends over a transport within a budget.
func NewService(transport Transport, budget *rate.Limiter, protocol Protocol) *Service {
	return &Service{transport: transport, budget: budget, protocol: protocol}
}

// WithTransport returns the same service over another transport. Both share the budget.
func (s *Service) WithTransport(transport Transport) *Service {
	return NewService(transport, s.budget, s.protocol)
}

// Unthrottled returns the same service without a budget.
func (s *Service) Unthrottled() *Service {
	return NewService(s.transport, rate.NewLimiter(rate.Inf, 1), s.protocol)
}

// Do waits for the budget, sends one request and returns its answer. An error is one of the
// protocol's conditions, or wraps one of the protocol's kinds and a *RequestError.
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

// statusError returns the error of a response whose status is not accepted.
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

// errorMessage returns the message in the body of an error response, "" if there is none.
func errorMessage(body []byte) string {
	var response struct {
		Error string `msgpack:"error"`
	}
	if wire.Decode(body, &response) != nil {
		return ""
	}
	return response.Error
}

// Response is a response with an accepted status.
type Response struct {
	Status int
	Body   []byte

	request       Request
	malformedKind error
}

// Decode reads the body into a value. An error is a *RequestError of the kind Malformed.
func (a *Response) Decode(value any) error {
	if err := wire.Decode(a.Body, value); err != nil {
		return a.MalformedError(err)
	}
	return nil
}

// MalformedError returns the error of an answer that the protocol does not allow. cause is nil if
// the status alone is wrong.
func (a *Response) MalformedError(cause error) error {
	return &RequestError{Kind: a.malformedKind, Method: a.request.Method, Path: a.request.Path, Status: a.Status, Cause: cause}
}
