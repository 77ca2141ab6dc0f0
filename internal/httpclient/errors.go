package httpclient

import (
	"errors"
	"fmt"
	"strings"
)

var (
	// ErrNoResponse means that no response was received. The service may have executed the request, or
	// may still execute it.
	ErrNoResponse = errors.New("no response")
	// ErrNotSent means that the request was not sent, so the service has not executed it.
	ErrNotSent = errors.New("not sent")
)

// RequestError describes a failed request. It wraps Kind and Cause.
type RequestError struct {
	// Kind is the sentinel error that callers test for: ErrNotSent, ErrNoResponse, or one of the
	// errors of a Protocol.
	Kind   error
	Method string
	Path   string
	// Status is the status of the response, or 0 if there was none.
	Status int
	// Message is the error message in the response, or "" if there was none.
	Message string
	// Cause is the underlying error, or nil if only the status indicates the failure.
	Cause error
}

// Error returns a message with the kind, the request, the status, the service's message and the cause.
func (e *RequestError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%v: %s %s", e.Kind, e.Method, e.Path)
	if e.Status != 0 {
		fmt.Fprintf(&text, ": status %d", e.Status)
	}
	if e.Message != "" {
		fmt.Fprintf(&text, ": %s", e.Message)
	}
	if e.Cause != nil {
		fmt.Fprintf(&text, ": %v", e.Cause)
	}
	return text.String()
}

// Unwrap returns the kind and the cause, for errors.Is and errors.As.
func (e *RequestError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
