package kv

import (
	"errors"
	"net/http"

	"ospreystile.example/ospreystile/internal/httpclient"
)

// Errors of requests wrap one of these. ErrLeaseExpired and ErrCompacted are conditions of the
// store; all others come with a *httpclient.RequestError that names the request.
var (
	// ErrUnavailable means that the store did not execute the request.
	ErrUnavailable = errors.New("key-value store unavailable")
	// ErrIndeterminate means that the request may have been executed, or may yet be.
	ErrIndeterminate = errors.New("no response from the key-value store")
	// ErrLeaseExpired means that a lease has expired or was revoked.
	ErrLeaseExpired = errors.New("no such lease")
	// ErrCompacted means that the store no longer keeps the changes that a watch asks for.
	// The watch must start again from a list.
	ErrCompacted = errors.New("watch revision too old")
	// ErrRejected means that the store rejects the request for its size or form. It would be
	// rejected again.
	ErrRejected = errors.New("request rejected by the key-value store")
	// ErrMalformedResponse means that the response of the store cannot be decoded, or does not
	// belong to the request.
	ErrMalformedResponse = errors.New("malformed response from the key-value store")
)

// protocol maps the store's statuses to errors.
var protocol = httpclient.Protocol{
	AcceptedStatuses: []int{http.StatusOK, http.StatusNotFound, http.StatusConflict},
	Unavailable:      ErrUnavailable,
	Indeterminate:    ErrIndeterminate,
	Rejected:         ErrRejected,
	Malformed:        ErrMalformedResponse,
	ConditionError:   condition,
}

// leaseExpiredMessage is the message of the store for a lease that it does not hold.
const leaseExpiredMessage = "no such lease"

// condition returns the sentinel of a status and message that stand for a condition, or nil.
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
