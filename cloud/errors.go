package cloud

import (
	"errors"
	"net/http"

	"ospreystile.example/ospreystile/internal/httpclient"
)

// Errors of requests wrap one of these. ErrNoCapacity is a condition of the cloud and is returned
// alone. All others are wrapped together with a *httpclient.RequestError that names the request.
var (
	// ErrNoCapacity means that the cloud currently has no machine of the requested kind.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable means that the cloud did not execute the request.
	ErrUnavailable = errors.New("cloud unavailable")
	// ErrIndeterminate means that the request may have been executed, or may yet be.
	ErrIndeterminate = errors.New("no response from the cloud")
	// ErrRejected means that the cloud found the request malformed.
	ErrRejected = errors.New("request rejected by the cloud")
)

// errNotAuthorized means that the caller may no longer send requests to the cloud.
var errNotAuthorized = errors.New("the caller is no longer authorized")

// protocol maps the cloud's statuses to errors. A response that cannot be decoded does not show
// whether the request was executed.
var protocol = httpclient.Protocol{
	AcceptedStatuses: []int{http.StatusOK},
	Unavailable:      ErrUnavailable,
	Indeterminate:    ErrIndeterminate,
	Rejected:         ErrRejected,
	Malformed:        ErrIndeterminate,
	ConditionError:   condition,
}

// noCapacityMessage is the cloud's error message that stands for ErrNoCapacity.
const noCapacityMessage = "no capacity"

// condition returns ErrNoCapacity for the status and message that stand for it, and nil for all
// others.
func condition(status int, message string) error {
	if status == http.StatusServiceUnavailable && message == noCapacityMessage {
		return ErrNoCapacity
	}
	return nil
}
