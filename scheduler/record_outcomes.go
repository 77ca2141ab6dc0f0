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
	// firstRefusalWait is doubled at each refusal of a change, up to maxRefusalWait, and is
	// the time until the job's next change.
	firstRefusalWait = time.Second
	maxRefusalWait   = time.Minute
	// rereadWait is the time for which no change of a job is made so that its record can be
	// read again.
	rereadWait = 500 * time.Millisecond
)

// pendingChange is a change in flight. When its result is known, settled is called and then
// either applied or rollBack.
type pendingChange interface {
	// target is the job whose records are changed.
	target() *cluster.Job
	// settled notes that the change is not in flight any more.
	settled()
	// applied notes that the change is committed at a revision.
	applied(w *recordWriter, revision ids.Revision)
	// rollBack undoes the placements that the change would have recorded and marks the
	// records dirty again.
	rollBack(w *recordWriter)
	// outstanding tells, after rollBack, whether the job's own revision is needed to try
	// again.
	outstanding() bool
}

// CommitResult applies the result of a change, which must be resolved.
func (c *Core) CommitResult(now monotonic.Instant, result records.CommitResult) {
	c.clock.Set(now)
	if c.zones.applyResult(result) {
		return
	}
	c.records.settle(result)
}

// settle takes the result of a change. It ignores changes of other parts.
func (w *recordWriter) settle(result records.CommitResult) {
	p, ok := w.pending[result.Change.ID]
	if !ok {
		return
	}
	delete(w.pending, result.Change.ID)
	w.rounds.MarkDue()
	p.settled()
	switch {
	case result.Err == nil:
		p.target().Records.Refusals = 0
		p.applied(w, result.Revision)
	case errors.Is(result.Err, records.ErrRejected):
		w.refused(p)
	default:
		w.conflicted(p, result.Err)
	}
}

// conflicted handles a change whose preconditions did not hold. Only the job's own record may
// have changed, by a cancellation. Anything else means that the records are not as this
// leader left them.
func (w *recordWriter) conflicted(p pendingChange, err error) {
	j := p.target()
	if !onlyJobChanged(j, err) {
		w.fail(fmt.Errorf("records of %s moved without this leader: %w", j.ID, err))
		return
	}
	p.rollBack(w)
	if p.outstanding() {
		j.Records.RereadAt = w.clock.Now().Add(rereadWait)
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

// refused handles a change that the key-value store does not take at all, for instance
// because its limits are lower than it said. The same change would be refused again, so the
// job's next change is half as large and is made later. After maxRefusals the job waits
// until slices may be split or another controller leads. Other jobs are not delayed.
func (w *recordWriter) refused(p pendingChange) {
	p.rollBack(w)
	j := p.target()
	j.Records.Refusals++
	wait := min(maxRefusalWait, firstRefusalWait<<min(j.Records.Refusals, maxRefusals))
	retryAt := w.clock.Now().Add(wait)
	j.Records.RereadAt = retryAt
	j.Queue.RetryAt = retryAt
}

// fail notes that the records are not as this leader left them. The term must end.
func (w *recordWriter) fail(err error) { w.err = err }
