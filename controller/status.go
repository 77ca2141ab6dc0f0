package controller

import (
	"context"
	"log/slog"
	"net/http"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// statusHandler answers users' status queries.
type statusHandler struct {
	reader   *statusReader
	terminal *terminalJobs
	log      *slog.Logger
}

// Status implements server.Service. Only a final status is returned from the cache. Any other status is
// read from the key-value store, since another controller may have returned a newer one.
func (h *statusHandler) Status(ctx context.Context, id ids.JobID) server.Response {
	if response, ok := h.terminal.cached(id); ok {
		return response
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer := h.reader.query(ctx, id, nil)
	if answer.err != nil {
		h.log.Debug("job read failed", "job", id, "err", answer.err)
		return server.RetryLater(retryDelay)
	}
	if !answer.found {
		return server.Response{Status: http.StatusNotFound}
	}
	return h.respond(ctx, id, answer)
}

// respond returns the response to a query whose job was found.
func (h *statusHandler) respond(ctx context.Context, id ids.JobID, answer queryAnswer) server.Response {
	if answer.job.Status.Terminal() {
		return h.terminal.answer(ctx, id, answer.job)
	}
	status := wire.JobStatus{ID: id, Status: answer.job.Status, Done: answer.progress.Done, Running: answer.progress.Running}
	if status.Running > 0 {
		status.Status = wire.JobRunning
	}
	return server.Response{Status: http.StatusOK, Body: status}
}
