package controller

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/controller/settings"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// recordMarginBytes is the size by which a later change of a job's record, such as a cancellation, may
// extend the record.
const recordMarginBytes = 64

// submissionHandler handles users' submissions.
type submissionHandler struct {
	teams         []config.Team
	maxValueBytes int
	catalog       *catalog
	statuses      *statusHandler
	terminal      *terminalJobs
	gate          *versionGate
	commits       *userCommitter
	leaderClient  *leaderClient
	log           *slog.Logger
}

// Submit implements server.Service. It retains the specification and may modify it.
func (h *submissionHandler) Submit(ctx context.Context, id ids.JobID, spec *wire.JobSpec) server.Response {
	if response, ok := h.terminal.cached(id); ok {
		return response
	}
	types, ok := h.catalog.MachineTypes()
	if !ok {
		return server.RetryLater(retryDelay)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if !h.canRun(spec, types) {
		return h.refuseUnlessAccepted(ctx, id)
	}
	// Unknown machine types have no effect and only make the record larger.
	spec.Types = slices.DeleteFunc(spec.Types, func(name ids.MachineType) bool {
		return !slices.ContainsFunc(types, func(t wire.MachineType) bool { return t.Name == name })
	})
	if h.commits.overloaded() {
		return server.RetryLater(retryDelay)
	}
	record := records.Job{Nonce: rand.Uint64(), Status: wire.JobQueued, Tasks: spec.Tasks, Spec: spec,
		SubmittedMS: time.Now().UnixMilli()}
	if len(spec.DependsOn) > 0 {
		var refusal *server.Response
		if record.Status, refusal = h.checkDependencies(ctx, id, spec.DependsOn); refusal != nil {
			return *refusal
		}
	}
	// A long list of dependencies may make the record too large. Such a job is refused.
	if wire.ExceedsJSONSize(record, h.maxValueBytes-recordMarginBytes) {
		return h.refuseUnlessAccepted(ctx, id)
	}
	return h.commitRecord(ctx, id, &record)
}

// canRun reports whether a job fits within its team's limit and on one of the machine types, in its zone
// if it names one.
func (h *submissionHandler) canRun(spec *wire.JobSpec, types []wire.MachineType) bool {
	team := slices.IndexFunc(h.teams, func(t config.Team) bool { return t.Name == spec.Team })
	if team < 0 {
		return false
	}
	need := quota.Amount{CPUs: spec.CPUs, GPUs: spec.GPUs}
	if spec.Service || spec.Gang {
		need = need.Times(spec.Tasks)
	}
	if !need.FitsIn(settings.TeamLimit(h.teams[team])) {
		return false
	}
	return slices.ContainsFunc(types, func(t wire.MachineType) bool {
		return placement.Fits(spec, &t) && (spec.Zone == "" || slices.Contains(t.Zones, spec.Zone))
	})
}

// refuseUnlessAccepted returns the response to a submission of a job that can never run. A job that was
// accepted before remains accepted, even if it would be refused now.
func (h *submissionHandler) refuseUnlessAccepted(ctx context.Context, id ids.JobID) server.Response {
	if response := h.statuses.Status(ctx, id); response.Status != http.StatusNotFound {
		return response
	}
	return server.Response{Status: http.StatusUnprocessableEntity}
}

// checkDependencies returns the status with which a job with dependencies is accepted, or the response
// that refuses the submission. For a job that was accepted before, the response is determined by its
// record and not by the dependencies of this request. The check is a barrier read, so a dependency that
// was accepted before the request is always found.
func (h *submissionHandler) checkDependencies(ctx context.Context, id ids.JobID, dependsOn []ids.JobID) (wire.JobState, *server.Response) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer := h.statuses.reader.query(ctx, id, dependsOn)
	var refusal server.Response
	switch {
	case answer.err != nil:
		h.log.Debug("dependency read failed", "job", id, "err", answer.err)
		refusal = server.RetryLater(retryDelay)
	case answer.found:
		refusal = h.statuses.respond(ctx, id, answer)
	case !answer.dependenciesAccepted:
		refusal = server.Response{Status: http.StatusUnprocessableEntity}
	case !h.gate.Open():
		// A leader of an older version would start the job without waiting for the dependencies.
		refusal = server.RetryLater(retryDelay)
	case answer.dependencyCancelled:
		return wire.JobCancelled, nil
	default:
		return wire.JobQueued, nil
	}
	return "", &refusal
}

// commitRecord commits the record of a new job. If the job already has a record, the request is a
// duplicate and the response is the job's status.
func (h *submissionHandler) commitRecord(ctx context.Context, id ids.JobID, record *records.Job) server.Response {
	result := h.commits.commit(ctx, records.CreateJobChange(id, *record))
	switch {
	case result.Err == nil:
		h.leaderClient.notifyJob(leader.JobRecord{ID: id, Record: record, Revision: result.Revision})
		return server.Response{Status: http.StatusCreated, Body: wire.JobStatus{ID: id, Status: record.Status}}
	case errors.Is(result.Err, records.ErrRejected):
		return server.RetryLater(rejectedRetryDelay)
	case !result.Resolved():
		h.log.Debug("submission commit failed", "job", id, "err", result.Err)
		return server.RetryLater(retryDelay)
	}
	return h.statuses.Status(ctx, id)
}
