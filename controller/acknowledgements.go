package controller

import (
	"context"
	"sync/atomic"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/ids"
)

// acknowledgements decides which cancellations may be reported to users. It holds the
// acknowledged revision: a leader observed all changes of jobs up to it while it held its lease,
// and no earlier leader could still keep tasks of cancelled jobs. That stays true under every
// later leader, so controllers exchange the revision in their pings. It is safe for concurrent
// use.
//
// Once a job is reported as cancelled, its tasks must end within the cancel deadline,
// independent of later failures. A leader without access to the key-value store does not read
// the record, and continues to renew the leases of the job's tasks. So a cancellation is reported
// to users only once a leader that holds its lease has observed it. That leader acts on it
// without the store. Later leaders read the record. Earlier leaders cannot renew a lease for
// long enough, or no longer have tasks of the job (scheduler.Core.CanAcknowledgeCancel). Until
// then the response is 503, never an older status.
//
// Only terminalJobs.answer reports cancellations, so this holds for every request. A job that is
// cancelled because a dependency is cancelled never had a task, so no lease is renewed for it.
type acknowledgements struct {
	localLeader *localLeader
	leaders     *leaderClient
	// upTo is the acknowledged revision. It never decreases.
	acknowledgedRevision atomic.Uint64
}

// advanceTo raises the acknowledged revision, and never lowers it.
func (a *acknowledgements) advanceTo(revision ids.Revision) {
	for {
		current := a.acknowledgedRevision.Load()
		if uint64(revision) <= current || a.acknowledgedRevision.CompareAndSwap(current, uint64(revision)) {
			return
		}
	}
}

// revision returns the latest acknowledged revision that this controller knows.
func (a *acknowledgements) revision() ids.Revision {
	if local := a.localLeader.get(); local != nil {
		if revision, ok := local.AcknowledgedRevision(); ok {
			a.advanceTo(revision)
		}
	}
	return ids.Revision(a.acknowledgedRevision.Load())
}

// acknowledged reports whether a cancellation may be reported to users. It asks the leader if
// that is not known, and returns false without an answer. The next request asks again, and pings
// may raise the acknowledged revision meanwhile.
func (a *acknowledgements) acknowledged(ctx context.Context, job leader.JobRecord) bool {
	return job.Revision <= a.revision() || a.leaders.acknowledgeCancellation(ctx, job)
}
