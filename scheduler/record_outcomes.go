package scheduler

import (
	"errors"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

const (
	// maxRefusals is how many changes of one job in a row the key-value store may refuse
	// until nothing more is written or placed for the job.
	maxRefusals = 8
	// refusalBackoffBase is doubled at each refusal of a change, up to maxRefusalWait, and is
	// the time until the job's next change.
	refusalBackoffBase = time.Second
	maxRefusalBackoff   = time.Minute
	// rereadDelay is the time for which no change of a job is made so that its record can be
	// read again.
	rereadDelay = 500 * time.Millisecond
)

// pendingChange is a change in flight. When its result is known, settled is called and then
// either applied or rollBack.
type pendingChange interface {
	// target is the job whose records are changed.
	target() *cluster.Job
	// resolved notes that the change is not in flight any more.
	resolved()
	// committed notes that the change is committed at a revision.
	committed(w *recordWriter, revision ids.Revision)
	// rollBack undoes the placements that the change would have recorded and marks the
	// records dirty again.
	rollBack(w *recordWriter)
	// needsJobRevision tells, after rollBack, whether the job's own revision is needed to try
	// again.
	needsJobRevision() bool
}

// CommitResult applies the result of a change, which must be resolved.
func (c *Core) CommitResult(now monotonic.Instant, result records.CommitResult) {
	c.clock.Set(now)
	if c.zones.settle(result) {
		return
	}
	c.records.handleResult(result)
}

// handleResult takes the result of a change. It ignores changes of other parts.
func (w *recordWriter) handleResult(result records.CommitResult) {
	p, ok := w.pending[result.Change.ID]
	if !ok {
		return
	}
	delete(w.pending, result.Change.ID)
	w.rounds.MarkDue()
	p.resolved()
	switch {
	case result.Err == nil:
		p.target().Records.Refusals = 0
		p.committed(w, result.Revision)
	case errors.Is(result.Err, records.ErrRejected):
		w.handleRefusal(p)
	default:
		w.handleConflict(p, result.Err)
	}
}

// handleConflict handles a change whose preconditions did not hold. Only the job's own record may
// have changed, by a cancellation. Anything else means that the records are not as this
// leader left them.
func (w *recordWriter) handleConflict(p pendingChange, err error) {
	j := p.target()
	if !onlyJobChanged(j, err) {
		w.abortTerm(fmt.Errorf("records of %s moved without this leader: %w", j.ID, err))
		return
	}
	p.rollBack(w)
	if p.needsJobRevision() {
		j.Records.RereadAt = w.clock.Now().Add(rereadDelay)
		w.rereads = append(w.rereads, j.ID)
	}
}

// onlyJobChanged tells whether a conflict is with the job's own record alone.
func onlyJobChanged(j *cluster.Job, err error) bool {
	conflict, ok := errors.AsType[*records.ConflictError](err)
	if !ok || j.Records.Revision == 0 {
		return false
	}
	return len(conflict.Keys) == 1 && conflict.Keys[0] == records.JobKey(j.ID)
}

// handleRefusal handles a change that the key-value store does not take at all, for instance
// because its limits are lower than it said. The same change would be handleRefusal again, so the
// job's next change is half as large and is made later. After maxRefusals the job waits
// until slices may be split or another controller leads. Other jobs are not delayed.
func (w *recordWriter) handleRefusal(p pendingChange) {
	p.rollBack(w)
	j := p.target()
	j.Records.Refusals++
	wait := min(maxRefusalBackoff, refusalBackoffBase<<min(j.Records.Refusals, maxRefusals))
	retryAt := w.clock.Now().Add(wait)
	j.Records.RereadAt = retryAt
	j.Queue.RetryAt = retryAt
}

// abortTerm notes that the records are not as this leader left them. The term must end.
func (w *recordWriter) abortTerm(err error) { w.err = err }
