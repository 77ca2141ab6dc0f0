package controller

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/controller/settings"
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
		out, err := n.commit(ctx, records.CancelJobChange(id, revision, rand.Uint64(), *rec, settings.MaxValueBytes(n.cfg)))
		if err != nil {
			return server.RetryLater(retryDelay)
		}
		if out.Rejected {
			return server.RetryLater(refusedLater)
		}
		if out.Applied {
			return n.terminalAnswer(ctx, id, jobSnapshot{Status: wire.JobCancelled, Tasks: rec.Tasks, revision: out.Revision})
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
	if t := n.leader.Load(); t != nil {
		if applied, ok := t.AcknowledgedRevision(); ok {
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
	if t := n.leader.Load(); t != nil && l.Revision == t.Revision() {
		return t.AcknowledgeCancellation(ctx, leader.JobRecord{ID: id, Record: rec, Revision: revision})
	}
	p := n.peerNamed(l.Name)
	if p == nil {
		return false
	}
	var held bool
	if err := p.Call(ctx, peerapi.OpJob, peerapi.NewJobNotice(id, rec, revision), &held); err != nil {
		n.log.Debug("cancellation not acknowledged", "job", id, "err", err)
		return false
	}
	return held
}
