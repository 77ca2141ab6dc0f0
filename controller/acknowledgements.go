package controller

import (
	"context"
	"sync/atomic"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/ids"
)

// acknowledgements tells which cancellations users may be told of. It holds the acknowledged
// revision: a leader took in all changes of jobs up to it while it held its lease, and no
// earlier leader could keep tasks of cancelled jobs any more. That stays true under every later
// leader, so controllers pass the revision on in their pings. It is safe for concurrent use.
//
// A user who is told that a job is cancelled may count on its tasks being gone within the
// cancel deadline, whatever fails from then on. A leader that the key-value store refuses, or
// that is down for every controller, never reads the record, but goes on renewing the leases of
// the job's tasks. So users are told of a cancellation only once a leader that holds its lease
// has taken it in. That leader acts on it without the store. Later leaders read the record.
// Earlier ones cannot renew a lease for long enough, or have none of the job's tasks any more
// (scheduler.Core.CanAcknowledgeCancel). Until then the answer is 503, never an older status.
//
// This holds for every way to tell a cancellation: terminalJobs.answer is the only one. A job
// that is cancelled because a dependency is cancelled never had a task, so no lease is renewed
// for it.
type acknowledgements struct {
	ownLeader *localLeader
	leaders   *leaderClient
	// upTo is the acknowledged revision. It never decreases.
	upTo atomic.Uint64
}

// advanceTo raises the acknowledged revision, and never lowers it.
func (a *acknowledgements) advanceTo(revision ids.Revision) {
	for {
		current := a.upTo.Load()
		if uint64(revision) <= current || a.upTo.CompareAndSwap(current, uint64(revision)) {
			return
		}
	}
}

// revision is the latest acknowledged revision that this controller knows.
func (a *acknowledgements) revision() ids.Revision {
	if own := a.ownLeader.get(); own != nil {
		if revision, ok := own.AcknowledgedRevision(); ok {
			a.advanceTo(revision)
		}
	}
	return ids.Revision(a.upTo.Load())
}

// acknowledged tells whether users may be told of a cancellation, and asks the leader if that is
// not known. While no leader answers it is false; the next request asks again, and pings bring
// what a leader has read by itself.
func (a *acknowledgements) acknowledged(ctx context.Context, job leader.JobRecord) bool {
	return job.Revision <= a.revision() || a.leaders.acknowledgeCancellation(ctx, job)
}
