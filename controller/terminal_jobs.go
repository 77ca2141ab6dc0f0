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

// maxCachedTerminalJobs bounds the memory of the cache; a job that was dropped is read again.
const maxCachedTerminalJobs = 20_000

// terminalJobs answers requests about jobs that are done or cancelled. That is final, so every
// controller may answer from its cache at any time. It is safe for concurrent use.
type terminalJobs struct {
	acknowledgements *acknowledgements

	// mu guards cache, the final status of jobs about which a user was told.
	mu    sync.Mutex
	cache map[ids.JobID]wire.JobStatus
}

func newTerminalJobs(acknowledgements *acknowledgements) *terminalJobs {
	return &terminalJobs{acknowledgements: acknowledgements, cache: map[ids.JobID]wire.JobStatus{}}
}

// cached returns the answer about a job that is known to be done or cancelled.
func (t *terminalJobs) cached(id ids.JobID) (server.Response, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status, ok := t.cache[id]
	return server.Response{Status: http.StatusOK, Body: status}, ok
}

// put adds a final status to the cache.
func (t *terminalJobs) put(status wire.JobStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.cache) >= maxCachedTerminalJobs {
		clear(t.cache)
	}
	t.cache[status.ID] = status
}

// answer is the answer about a job that is done or cancelled. A cancellation that is not
// acknowledged must not be told yet; the user should ask again, at another controller, which
// may reach the leader.
func (t *terminalJobs) answer(ctx context.Context, id ids.JobID, job jobSnapshot) server.Response {
	if !t.mayTell(ctx, id, job) {
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

// mayTell tells whether users may be told that a job is done or cancelled.
func (t *terminalJobs) mayTell(ctx context.Context, id ids.JobID, job jobSnapshot) bool {
	if job.Status == wire.JobDone || job.cancelledByDependency {
		return true
	}
	record := &records.Job{Status: job.Status, Tasks: job.Tasks}
	return t.acknowledgements.acknowledged(ctx, leader.JobRecord{ID: id, Record: record, Revision: job.revision})
}
