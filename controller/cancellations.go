package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// Cancel implements server.Service.
func (n *Controller) Cancel(ctx context.Context, id ids.JobID) server.Response {
	if s, ok := n.terminalJobs.get(id); ok {
		return server.Response{Status: 200, Body: s}
	}
	ctx, cancel := context.WithTimeout(ctx, userRequestTimeout)
	defer cancel()
	for ctx.Err() == nil {
		rec, revision, found, err := n.readJob(ctx, id)
		if err != nil {
			return server.RetryLater(retryDelay)
		}
		if !found {
			return server.Response{Status: 404}
		}
		if rec.Terminal() {
			return n.terminalAnswer(ctx, id, snapshotOf(rec, revision))
		}
		result := n.commit(ctx, records.CancelJobChange(id, revision, rand.Uint64(), *rec, n.valueBytes()))
		switch {
		case result.Err == nil:
			return n.terminalAnswer(ctx, id, jobSnapshot{Status: wire.JobCancelled, Tasks: rec.Tasks, revision: result.Revision})
		case errors.Is(result.Err, records.ErrRejected):
			return server.RetryLater(refusedLater)
		case !result.Resolved():
			return server.RetryLater(retryDelay)
		}
	}
	return server.RetryLater(retryDelay)
}

// acknowledgedRevision is the revision up to which a leader that held its key had applied
// all changes of jobs. It stays true whoever leads, so nodes pass it on.
//
// It is half of what makes a cancellation visible. A user who is told that a job is
// cancelled may count on its tasks being gone within cancel_s, whatever fails from then
// on. A leader that the state service refuses, or that is away for everybody, never reads
// the record; but it goes on renewing the leases of the job's tasks. So a cancellation is
// told only once a leader that surely holds its key has taken it in. That one acts on it
// without the state service; those that come later read the record; and earlier ones
// cannot renew a lease for long enough, or have none of the job's tasks any more
// (scheduler.Core.CanAcknowledgeCancel). Until then the answer is 503, never an older one.
//
// This holds for all ways to tell it: Controller.terminalAnswer is the only one. A job that is
// cancelled because one that it depends on is never had a task, so nobody renews anything
// for it.
type acknowledgedRevision struct{ upTo atomic.Uint64 }

// advanceTo raises the revision, and never lowers it.
func (a *acknowledgedRevision) advanceTo(to ids.Revision) {
	for {
		was := a.upTo.Load()
		if uint64(to) <= was || a.upTo.CompareAndSwap(was, uint64(to)) {
			return
		}
	}
}

// acknowledgedUpTo is the latest that this node knows of it. Whether the key is held is
// asked after what the own term has taken in.
func (n *Controller) acknowledgedUpTo() ids.Revision {
	if t := n.term.Load(); t != nil {
		if applied := ids.Revision(t.applied.Load()); t.key.HoldsLease() {
			n.acknowledged.advanceTo(applied)
		}
	}
	return ids.Revision(n.acknowledged.upTo.Load())
}

// acknowledgeTimeout is how long the leader may take to take a cancellation in.
const acknowledgeTimeout = 700 * time.Millisecond

// cancelVisible tells whether a cancellation may be told, and has the leader take it in if
// that is not known. Without a leader that answers it may not, for now: the next
// request asks again, and the pings bring what a leader has read by itself.
func (n *Controller) cancelVisible(ctx context.Context, id ids.JobID, rec *records.Job, revision ids.Revision) bool {
	if revision <= n.acknowledgedUpTo() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	l, _ := n.election.Leader()
	if t := n.term.Load(); t != nil && l.Revision == t.key.Revision {
		return t.acknowledge(ctx, id, rec, revision)
	}
	p := n.peerNamed(l.Name)
	if p == nil {
		return false
	}
	var held bool
	if err := p.Call(ctx, opJob, newJobNotice(id, rec, revision), &held); err != nil {
		n.log.Debug("cancellation not acknowledged", "job", id, "err", err)
		return false
	}
	return held
}

// acknowledge has the core take a job's record in, and tells whether its cancellation may
// be told: no earlier leader can keep its tasks for too long, and the key was surely held
// after that.
func (t *term) acknowledge(ctx context.Context, id ids.JobID, rec *records.Job, revision ids.Revision) bool {
	harmless := false
	return t.ask(ctx, func() {
		now := t.n.clock.Now()
		t.core.ObserveJob(now, id, rec, revision)
		harmless = t.core.CanAcknowledgeCancel(now, id)
	}) && harmless && t.key.HoldsLease()
}
