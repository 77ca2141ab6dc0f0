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
	// maxRefusals is the number of changes of one job in a row that the key-value store may
	// refuse before the scheduler stops writing and placing tasks for the job.
	maxRefusals = 8
	// refusalBackoffBase, doubled at each refusal of a change up to maxRefusalBackoff, is the
	// time until the job's next change.
	refusalBackoffBase = time.Second
	maxRefusalBackoff  = time.Minute
	// rereadDelay is the time after a conflict in which no change of a job is made, so that
	// its record can be read again.
	rereadDelay = 500 * time.Millisecond
)

// pendingChange represents a change in flight. When its result is known, resolved is called. Then,
// unless the result ends the term, either committed or rollBack is called.
type pendingChange interface {
	// targetJob returns the job whose records are changed.
	targetJob() *cluster.Job
	// resolved records that the change is no longer in flight.
	resolved()
	// committed updates the state after the change was committed at a revision.
	committed(w *recordWriter, revision ids.Revision)
	// rollBack undoes the placements that the change would have recorded, and marks its
	// records to be written again.
	rollBack(w *recordWriter)
	// needsJobRevision reports, after rollBack, whether a retry needs the current revision of
	// the job's own record.
	needsJobRevision() bool
}

// CommitResult applies the result of a change. The result must be resolved.
func (c *Core) CommitResult(now monotonic.Instant, result records.CommitResult) {
	c.clock.Set(now)
	if c.zones.applyResult(result) || c.terminations.applyResult(result) {
		return
	}
	c.records.handleResult(result)
}

// handleResult applies the result of a change. It ignores changes that are not pending in the
// record writer.
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
		p.targetJob().Records.Refusals = 0
		p.committed(w, result.Revision)
	case errors.Is(result.Err, records.ErrRejected):
		w.handleRefusal(p)
	default:
		w.handleConflict(p, result.Err)
	}
}

// handleConflict handles a change whose preconditions failed. The only record that another writer
// may change is the job's own, by a cancellation. Any other conflict means that the records are
// not as this leader last wrote them.
func (w *recordWriter) handleConflict(p pendingChange, err error) {
	j := p.targetJob()
	if !onlyJobChanged(j, err) {
		w.abortTerm(fmt.Errorf("write records of job %s: changed by another writer: %w", j.ID, err))
		return
	}
	p.rollBack(w)
	if p.needsJobRevision() {
		j.Records.RereadAt = w.clock.Now().Add(rereadDelay)
		w.rereads = append(w.rereads, j.ID)
	}
}

// onlyJobChanged reports whether the job's own record is the only one in a conflict.
func onlyJobChanged(j *cluster.Job, err error) bool {
	conflict, ok := errors.AsType[*records.ConflictError](err)
	if !ok || j.Records.Revision == 0 {
		return false
	}
	return len(conflict.Keys) == 1 && conflict.Keys[0] == records.JobKey(j.ID)
}

// handleRefusal handles a change that the key-value store refuses for its size or form, for
// instance because the store's limits are lower than announced. The same change would be refused
// again, so the job's next change is half as large and is made after a backoff. After maxRefusals
// the job waits until slices may be split or another controller is the leader. Other jobs are not
// delayed.
func (w *recordWriter) handleRefusal(p pendingChange) {
	p.rollBack(w)
	j := p.targetJob()
	j.Records.Refusals++
	backoff := min(maxRefusalBackoff, refusalBackoffBase<<min(j.Records.Refusals, maxRefusals))
	retryAt := w.clock.Now().Add(backoff)
	j.Records.RereadAt = retryAt
	j.Queue.RetryAt = retryAt
}

// abortTerm sets the error that Core.RecordsError returns: the records are not as this leader last
// wrote them. The term must end.
func (w *recordWriter) abortTerm(err error) { w.err = err }
