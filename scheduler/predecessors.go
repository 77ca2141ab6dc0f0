package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
)

// A leader that lost the state service and its peers, but not its workers, goes on
// answering them for a while (election.Bounds.Isolated). It does not know of jobs that
// are cancelled through its successor meanwhile, and renews the leases of their tasks.
// So a successor acknowledges the cancellation of a job only once no earlier leader can
// keep one of its tasks for longer than cancel_s from then.

// CancelMargin is for how long an earlier leader may go on answering workers after a user
// was told that a job is cancelled: the lease that it renews last must have ended within
// cancel from then. It is 0 where cancel is no longer than a lease.
func CancelMargin(cancel, lease time.Duration) time.Duration {
	return max(0, cancel-cancel/500-ids.Drift(lease)-time.Second)
}

// PredecessorsHarmless tells whether no earlier leader answers workers any more, or for no
// longer than CancelMargin: then every cancellation may be acknowledged.
func (c *Core) PredecessorsHarmless(now ids.Instant) bool {
	return now.Add(CancelMargin(c.opt.Cancel, c.opt.Lease)) >= c.predecessorUntil
}

// CanAcknowledgeCancel tells whether the cancellation of a job, which the core has taken
// in, may be told to users: this leader acts on it, and no earlier one can keep any of
// the job's tasks for too long. A machine that has seen a token of this leader drops all
// that earlier ones answer, and one that was returned has no tasks. What is not recorded
// was never started, so the recorded tasks are all there are.
func (c *Core) CanAcknowledgeCancel(now ids.Instant, id ids.JobID) bool {
	if c.PredecessorsHarmless(now) {
		return true
	}
	j := c.jobs[id]
	if j == nil {
		return !c.unreadable[id]
	}
	for _, a := range j.active {
		if !a.machine.fenced {
			return false
		}
	}
	return true
}
