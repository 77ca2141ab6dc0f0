package kv

import (
	"errors"
	"net/http"

	"ospreystile.example/ospreystile/internal/httpclient"
)

// Errors of requests wrap one of these. ErrLeaseExpired and ErrCompacted are conditions of the
// store, and are returned as they are. All other errors contain a *httpclient.RequestError, which
// names the request.
var (
	// ErrUnavailable means that the store did not execute the request.
	ErrUnavailable = errors.New("key-value store unavailable")
	// ErrIndeterminate means that the request may have been executed, or may be executed later.
	ErrIndeterminate = errors.New("no response from the key-value store")
	// ErrLeaseExpired means that a lease has expired or was revoked.
	ErrLeaseExpired = errors.New("no such lease")
	// ErrCompacted means that the store no longer keeps the changes that a watch asks for.
	// The watch must start again from a list.
	ErrCompacted = errors.New("watch revision too old")
	// ErrRejected means that the store rejected the request because of its size or form. A
	// retry would be rejected too.
	ErrRejected = errors.New("request rejected by the key-value store")
	// ErrMalformedResponse means that the response of the store cannot be decoded, or that the
	// protocol does not allow it for the request.
	ErrMalformedResponse = errors.New("malformed response from the key-value store")
)

// protocol maps the HTTP statuses of the store to errors.
var protocol = httpclient.Protocol{
	AcceptedStatuses: []int{http.StatusOK, http.StatusNotFound, http.StatusConflict},
	Unavailable:      ErrUnavailable,
	Indeterminate:    ErrIndeterminate,
	Rejected:         ErrRejected,
	Malformed:        ErrMalformedResponse,
	ConditionError:   condition,
}

// leaseExpiredMessage is the store's error message for a lease that does not exist.
const leaseExpiredMessage = "no such lease"

// condition returns the error for a status and message that represent a condition of the store, or
// nil for all others.
func condition(status int, message string) error {
	switch {
	case status == http.StatusGone:
		return ErrCompacted
	case status == http.StatusBadRequest && message == leaseExpiredMessage:
		return ErrLeaseExpired
	}
	return nil
}

// IsNotSent reports whether the error of a request or of its transport shows that the request
// never left this process.
func IsNotSent(err error) bool { return errors.Is(err, httpclient.ErrNotSent) }
