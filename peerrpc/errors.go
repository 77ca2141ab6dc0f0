package peerrpc

import (
	"errors"
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

var (
	// ErrNotSent means that the peer did not receive the request.
	ErrNotSent = errors.New("peer not reached")
	// ErrNoResponse means that no readable response was received. The peer may have executed the
	// request, or may still execute it.
	ErrNoResponse = errors.New("no response from the peer")
	// ErrRemote means that the peer responded with an error. Such errors are *RemoteError.
	ErrRemote = errors.New("refused by the peer")
)

// Refusal represents an error that a handler may return, and that callers on other controllers can
// test for with errors.Is. Only the text of an error is sent. Refusals with equal texts are equal.
type Refusal string

// Error returns the text of the refusal.
func (r Refusal) Error() string { return string(r) }

// RemoteError represents an error that a peer's handler returned. It wraps ErrRemote, and the
// handler's error as a Refusal.
type RemoteError struct {
	Peer ids.ControllerName
	// Message is the text of the handler's error.
	Message string
}

// Error returns the name of the peer and the text of the handler's error.
func (e *RemoteError) Error() string { return fmt.Sprintf("%v: %s: %s", ErrRemote, e.Peer, e.Message) }

// Unwrap returns ErrRemote and the Refusal that the handler returned, for errors.Is.
func (e *RemoteError) Unwrap() []error { return []error{ErrRemote, Refusal(e.Message)} }
