package controller

import (
	"context"
	"net/http"
	"sync"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// maxCachedTerminalJobs is the maximum number of jobs in the cache. The records of evicted jobs are read
// again.
const maxCachedTerminalJobs = 20_000

// terminalJobs answers requests about jobs that are done or cancelled. These states are final, so a
// controller may always answer from its cache. terminalJobs is safe for concurrent use.
type terminalJobs struct {
	acknowledgements *acknowledgements

	// mu guards cache, which holds the final statuses that were returned to users.
	mu    sync.Mutex
	cache map[ids.JobID]wire.JobStatus
}

func newTerminalJobs(acknowledgements *acknowledgements) *terminalJobs {
	return &terminalJobs{acknowledgements: acknowledgements, cache: map[ids.JobID]wire.JobStatus{}}
}

// cached returns the response for a job whose final status is in the cache.
func (t *terminalJobs) cached(id ids.JobID) (server.Response, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status, ok := t.cache[id]
	return server.Response{Status: http.StatusOK, Body: status}, ok
}

// put adds a final status to the cache. It empties a full cache first.
func (t *terminalJobs) put(status wire.JobStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.cache) >= maxCachedTerminalJobs {
		clear(t.cache)
	}
	t.cache[status.ID] = status
}

// answer returns the response for a job that is done or cancelled. A cancellation that is not
// acknowledged must not be reported yet. In this case the response closes the connection, so that the
// client retries on a new one and may get a controller that can reach the leader.
func (t *terminalJobs) answer(ctx context.Context, id ids.JobID, job jobSnapshot) server.Response {
	if !t.mayReport(ctx, id, job) {
		response := server.RetryLater(retryDelay)
		response.Close = true
		return response
	}
	status := wire.JobStatus{ID: id, Status: job.Status}
	if job.Status == wire.JobDone {
		status.Done = job.Tasks
	}
	t.put(status)
	return server.Response{Status: http.StatusOK, Body: status}
}

// mayReport reports whether the final status of a job may be reported to users.
func (t *terminalJobs) mayReport(ctx context.Context, id ids.JobID, job jobSnapshot) bool {
	if job.Status == wire.JobDone || job.cancelledByDependency {
		return true
	}
	record := &records.Job{Status: job.Status, Tasks: job.Tasks}
	return t.acknowledgements.acknowledged(ctx, leader.JobRecord{ID: id, Record: record, Revision: job.revision})
}
