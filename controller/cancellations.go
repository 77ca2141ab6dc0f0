package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// cancellationHandler handles users' requests to cancel jobs.
type cancellationHandler struct {
	store         *kv.Client
	maxValueBytes int
	terminal      *terminalJobs
	commits       *userCommitter
}

// Cancel implements server.Service. If the job's record changes between the read and the commit, it
// reads the record again and retries.
func (h *cancellationHandler) Cancel(ctx context.Context, id ids.JobID) server.Response {
	if response, ok := h.terminal.cached(id); ok {
		return response
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if response, resolved := h.tryCancel(ctx, id); resolved {
			return response
		}
	}
	return server.RetryLater(retryDelay)
}

// tryCancel reads a job's record and commits the cancellation. resolved reports whether response is
// valid; it is false if the record changed between the read and the commit.
func (h *cancellationHandler) tryCancel(ctx context.Context, id ids.JobID) (response server.Response, resolved bool) {
	job, found, err := leader.ReadJob(ctx, h.store, id)
	switch {
	case err != nil:
		return server.RetryLater(retryDelay), true
	case !found:
		return server.Response{Status: http.StatusNotFound}, true
	case job.Record.Terminal():
		return h.terminal.answer(ctx, id, snapshotOf(job.Record, job.Revision)), true
	}
	record := *job.Record
	record.DoneMS = time.Now().UnixMilli()
	result := h.commits.commit(ctx, records.CancelJobChange(id, job.Revision, rand.Uint64(), record, h.maxValueBytes))
	switch {
	case errors.Is(result.Err, records.ErrRejected):
		return server.RetryLater(rejectedRetryDelay), true
	case !result.Resolved():
		return server.RetryLater(retryDelay), true
	case result.Err == nil:
		cancelled := jobSnapshot{Status: wire.JobCancelled, Tasks: job.Record.Tasks, revision: result.Revision}
		return h.terminal.answer(ctx, id, cancelled), true
	}
	return server.Response{}, false
}
