package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

const (
	retryDelay = time.Second
	// userRequestTimeout is how long a user's request may take here, of the 5 s that
	// users wait.
	userRequestTimeout = 3500 * time.Millisecond
	// pollTimeout is the same for polls, of 2 s.
	pollTimeout = 1500 * time.Millisecond
	// maxIntake bounds the submissions that wait for a commit.
	maxIntake = 128
)

// Healthy implements server.Service. A node without the catalog cannot judge
// submissions yet.
func (n *Controller) Healthy() bool { return n.catalog.Load() != nil }

// canRun tells whether a job could ever run here.
func (n *Controller) canRun(s *wire.JobSpec, types []wire.MachineType) bool {
	for i := range n.cfg.Settings.Teams {
		t := &n.cfg.Settings.Teams[i]
		if t.Name != s.Team {
			continue
		}
		need := quota.Amount{CPUs: s.CPUs, GPUs: s.GPUs}
		if s.Service || s.Gang {
			need = need.Times(s.Tasks)
		}
		if !need.FitsIn(limitOf(*t)) {
			return false
		}
		return slices.ContainsFunc(types, func(t wire.MachineType) bool {
			return placement.Fits(s, &t) && (s.Zone == "" || slices.Contains(t.Zones, s.Zone))
		})
	}
	return false
}

// Submit implements server.Service.
func (n *Controller) Submit(ctx context.Context, id ids.JobID, spec *wire.JobSpec) server.Response {
	if s, ok := n.terminalJobs.get(id); ok {
		return server.Response{Status: 200, Body: s}
	}
	types := n.catalog.Load()
	if types == nil {
		return server.RetryLater(retryDelay)
	}
	ctx, cancel := context.WithTimeout(ctx, userRequestTimeout)
	defer cancel()
	if !n.canRun(spec, *types) {
		return n.refuseUnlessKnown(ctx, id)
	}
	// Names that no machine type has would only make the record larger.
	spec.Types = slices.DeleteFunc(spec.Types, func(name ids.MachineType) bool {
		return !slices.ContainsFunc(*types, func(t wire.MachineType) bool { return t.Name == name })
	})
	if n.intake.QueueLength() >= maxIntake {
		return server.RetryLater(retryDelay)
	}
	record := records.Job{Nonce: rand.Uint64(), Status: wire.JobQueued, Tasks: spec.Tasks, Spec: spec,
		SubmittedMS: time.Now().UnixMilli()}
	if len(spec.DependsOn) > 0 {
		dependencyCancelled, answer := n.checkDependencies(ctx, id, spec.DependsOn)
		if answer.Status != 0 {
			return answer
		}
		if dependencyCancelled {
			record.Status = wire.JobCancelled
		}
	}
	// With room for what a cancellation changes. A list that is too long to be kept
	// is refused whole.
	if wire.ExceedsJSONSize(record, n.valueBytes()-recordSlack) {
		return n.refuseUnlessKnown(ctx, id)
	}
	return n.recordSubmission(ctx, id, &record)
}

// refuseUnlessKnown answers a submission that can never run. A job that was accepted stays
// so, whatever has changed since.
func (n *Controller) refuseUnlessKnown(ctx context.Context, id ids.JobID) server.Response {
	if a := n.Status(ctx, id); a.Status != 404 {
		return a
	}
	return server.Response{Status: 422}
}

// recordSubmission commits a job's record, unless the job is known already.
func (n *Controller) recordSubmission(ctx context.Context, id ids.JobID, record *records.Job) server.Response {
	result := n.commit(ctx, records.CreateJobChange(id, *record))
	switch {
	case result.Err == nil:
		n.notifyLeader(id, record, result.Revision)
		return server.Response{Status: 201, Body: wire.JobStatus{ID: id, Status: record.Status}}
	case errors.Is(result.Err, records.ErrRejected):
		return server.RetryLater(refusedLater)
	case !result.Resolved():
		n.log.Debug("submission commit failed", "job", id, "err", result.Err)
		return server.RetryLater(retryDelay)
	}
	return n.Status(ctx, id)
}

const (
	// recordSlack is by how much rewriting a job's record may lengthen it.
	recordSlack = 64
	// refusedLater is when to come back with what the state service would not
	// take although it keeps to all its limits that are known.
	refusedLater = 5 * time.Second
)

// checkDependencies decides on a submission that depends on other jobs: the answer, or that
// it may be accepted (code 0), and whether it is then cancelled at once. What has been
// accepted before is answered from its record, whatever it names. That a named job was
// never accepted is said only on the strength of a replica that is as new as the question.
func (n *Controller) checkDependencies(ctx context.Context, id ids.JobID, needs []ids.JobID) (doomed bool, _ server.Response) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	a := n.statusReads.ask(ctx, id, needs)
	switch {
	case a.err != nil:
		n.log.Debug("dependency read failed", "job", id, "err", a.err)
		return false, server.RetryLater(retryDelay)
	case a.found:
		return false, n.jobAnswer(ctx, id, a)
	case !a.accepted:
		return false, server.Response{Status: 422}
	case !n.upgrade.done():
		// An older leader would not wait for them.
		return false, server.RetryLater(retryDelay)
	}
	return a.dependencyCancelled, server.Response{}
}

// commit commits one user's change and waits for its result. After a result that is not
// resolved the user must ask again.
func (n *Controller) commit(ctx context.Context, change records.Change) records.CommitResult {
	results := make(chan records.CommitResult, 1)
	deadline, _ := ctx.Deadline()
	n.intake.Submit(change, deadline, func(result records.CommitResult) { results <- result })
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		return records.CommitResult{Change: change, Err: ctx.Err()}
	}
}
