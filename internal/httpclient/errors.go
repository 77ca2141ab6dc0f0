package httpclient

import (
	"errors"
	"fmt"
	"strings"
)

var (
	// ErrNoResponse means that the service may have executed the request, or may yet do so.
	ErrNoResponse = errors.New("no response")
	// ErrNotSent means that the request never left this process.
	ErrNotSent = errors.New("not sent")
)

// RequestError says which request failed and how. It wraps Kind and Cause.
type RequestError struct {
	// Kind is the sentinel that callers test for: ErrNotSent, ErrNoResponse, or one of a
	// Protocol.
	Kind   error
	Method string
	Path   string
	// Status is the status of the response; 0 if there was none.
	Status int
	// Message is the service's error message, "" if there was none.
	Message string
	// Cause is the underlying error; nil if only the status shows the failure.
	Cause error
}

// Error names the kind, the request, the status and the cause.
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

// Unwrap lets errors.Is and errors.As see the kind and the cause.
func (e *RequestError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
