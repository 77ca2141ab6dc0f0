package controller

import (
	"time"

	"ospreystile.example/ospreystile/server"
)

// service implements server.Service with one handler for each kind of request.
type service struct {
	*submissionHandler
	*statusHandler
	*cancellationHandler
	*heartbeatHandler
	*availability
	catalog *catalog
}

var _ server.Service = service{}

// Healthy implements server.Service. A controller without the catalog cannot validate submissions.
func (s service) Healthy() bool {
	_, ok := s.catalog.MachineTypes()
	return ok && s.available()
}

const (
	// retryDelay is the delay after which users should retry a request that could not be answered.
	retryDelay = time.Second
	// rejectedRetryDelay is the delay after which users should retry a change that the key-value
	// store rejected although the change is within all known limits.
	rejectedRetryDelay = 5 * time.Second
	// changeTimeout bounds the time that a submission or a cancellation takes in this process.
	// Users wait 5 s for the response.
	changeTimeout = 3500 * time.Millisecond
	// queryTimeout bounds the time that a status query takes in this process. Users wait 2 s for
	// the response.
	queryTimeout = 1500 * time.Millisecond
)
