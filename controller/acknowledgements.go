package controller

import (
	"context"
	"sync/atomic"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/ids"
)

// acknowledgements determines which cancellations may be reported to users. It holds the acknowledged
// revision: a leader observed all changes of jobs up to this revision while it held its lease, and no
// previous leader could keep tasks of cancelled jobs running beyond the cancel deadline. This remains
// true under every later leader, so controllers exchange the revision in their pings. acknowledgements
// is safe for concurrent use.
//
// Once a job is reported as cancelled, its tasks must end within the cancel deadline, independent of
// later failures. A leader without access to the key-value store does not read the job's record, and
// continues to renew the leases of the job's tasks. So a cancellation is reported to users only once a
// leader that holds its lease has observed it. That leader acts on it without the store, and later
// leaders read the record. Previous leaders either cannot renew a lease for long enough or have no
// tasks of the job any more (scheduler.Core.CanAcknowledgeCancel). Until then the response is 503 and
// never an older status.
//
// Only terminalJobs.answer reports the cancellation of a job that may have tasks, so this rule applies
// to every request. A job that is cancelled because a dependency is cancelled never had a task, so no
// lease is renewed for it. The response to its submission may therefore already report it as cancelled.
type acknowledgements struct {
	localLeader  *localLeader
	leaderClient *leaderClient
	// acknowledgedRevision never decreases.
	acknowledgedRevision atomic.Uint64
}

// advanceTo raises the acknowledged revision to the given revision. It never lowers it.
func (a *acknowledgements) advanceTo(revision ids.Revision) {
	for {
		current := a.acknowledgedRevision.Load()
		if uint64(revision) <= current || a.acknowledgedRevision.CompareAndSwap(current, uint64(revision)) {
			return
		}
	}
}

// revision returns the highest acknowledged revision that this controller knows.
func (a *acknowledgements) revision() ids.Revision {
	if local := a.localLeader.get(); local != nil {
		if revision, ok := local.AcknowledgedRevision(); ok {
			a.advanceTo(revision)
		}
	}
	return ids.Revision(a.acknowledgedRevision.Load())
}

// acknowledged reports whether a cancellation may be reported to users. If the known revision does not
// show this, it asks the leader, and returns false if the leader does not answer. The next request asks
// again, and pings may raise the acknowledged revision in the meantime.
func (a *acknowledgements) acknowledged(ctx context.Context, job leader.JobRecord) bool {
	return job.Revision <= a.revision() || a.leaderClient.acknowledgeCancellation(ctx, job)
}
