package controller

import (
	"time"

	"ospreystile.example/ospreystile/server"
)

// service implements server.Service. It has one handler for each kind of request.
type service struct {
	*submissionHandler
	*statusHandler
	*cancellationHandler
	*heartbeatHandler
}

var _ server.Service = service{}

const (
	// retryDelay is after how long users should repeat a request that could not be answered.
	retryDelay = time.Second
	// rejectedRetryDelay is the same for a change that the key-value store rejected although
	// it is within all known limits.
	rejectedRetryDelay = 5 * time.Second
	// changeTimeout is how long a submission or cancellation may take here, of the 5 s that
	// users wait.
	changeTimeout = 3500 * time.Millisecond
	// queryTimeout is how long a status query may take here, of the 2 s that users wait.
	queryTimeout = 1500 * time.Millisecond
)
