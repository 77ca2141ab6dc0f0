package peerrpc

import (
	"errors"
	"fmt"

	"ospreystile.example/ospreystile/ids"
)

var (
	// ErrNotSent means that the peer did not receive the request.
	ErrNotSent = errors.New("peer not reached")
	// ErrNoResponse means that the peer may have received and executed the request.
	ErrNoResponse = errors.New("no answer from the peer")
	// ErrRemote means that the peer answered with an error. Such errors are *RemoteError.
	ErrRemote = errors.New("refused by the peer")
)

// Refusal is an error that a handler may return, and that callers on other controllers can
// test for with errors.Is. Only the text of an error is sent; Refusals are equal if their texts
// are.
type Refusal string

// Error returns the text.
func (r Refusal) Error() string { return string(r) }

// RemoteError is the error that a peer's handler returned. It wraps ErrRemote and the handler's
// error as a Refusal.
type RemoteError struct {
	Peer ids.ControllerName
	// Message is the text of the handler's error.
	Message string
}

// Error names the peer and its error.
func (e *RemoteError) Error() string { return fmt.Sprintf("%v: %s: %s", ErrRemote, e.Peer, e.Message) }

// Unwrap lets errors.Is find ErrRemote and the Refusal that the handler returned.
func (e *RemoteError) Unwrap() []error { return []error{ErrRemote, Refusal(e.Message)} }
