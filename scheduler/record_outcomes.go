package scheduler

import (
	"errors"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// CommitResult applies the result of a change, which must be resolved.
func (c *Core) CommitResult(now monotonic.Instant, result records.CommitResult) {
	c.now = now
	c.records.settleChange(result)
}

// settleChange takes the definite outcome of a change into account.
func (w *recordWriter) settleChange(result records.CommitResult) {
	if w.core.zones.settle(result) {
		return
	}
	p := w.pendingChanges[result.Change.ID]
	if p == nil {
		return
	}
	delete(w.pendingChanges, result.Change.ID)
	w.core.schedulingDue = true
	if p.slice != nil {
		p.slice.inFlight = false
	}
	for _, s := range p.dropped {
		s.inFlight = false
	}
	switch {
	case result.Err == nil:
		p.job.refusals = 0
		w.changeApplied(p, result.Revision)
	case errors.Is(result.Err, records.ErrRejected):
		w.postpone(p)
	default:
		w.changeRejected(p, result.Err)
	}
}

// changeApplied takes note of what is recorded now.
func (w *recordWriter) changeApplied(p *pendingChange, revision ids.Revision) {
	j := p.job
	switch {
	case p.orphanCancel:
		j.revision = revision
		w.cancelRecorded(j)
		return
	case p.slice != nil:
		w.sliceRecorded(p, revision)
		return
	case p.completes:
		j.completing = false
		j.status, j.revision = wire.JobDone, revision
		// Only now may those that depend on it start: a successor would find it done.
		w.core.applyJobRecord(j.id, &records.Job{Status: wire.JobDone, DoneMS: p.doneMS})
	}
	for _, s := range p.dropped {
		s.revision = 0
	}
	w.droppable[j] = true
}

// sliceRecorded takes note that placements are recorded and may be sent.
func (w *recordWriter) sliceRecorded(p *pendingChange, revision ids.Revision) {
	p.slice.revision = revision
	w.applySplit(p, revision)
	for _, a := range p.placed {
		a.recorded, a.recordInFlight = true, false
		w.core.commands.queueCommands(a.machine)
		if a.stopReason != stopNone && a.machine.tasks[a.ref()] == a {
			w.core.release(a) // never sent
		}
	}
	if p.job.terminal() {
		w.droppable[p.job] = true
	}
}

// changeRejected handles a change whose guards failed. Only the job's own key may have
// moved, by a cancellation; anything else means that the records are not as this leader
// left them.
func (w *recordWriter) changeRejected(p *pendingChange, err error) {
	j := p.job
	j.completing = false
	conflict, ok := errors.AsType[*records.ConflictError](err)
	jobAlone := ok && len(conflict.Keys) == 1 && conflict.Keys[0] == records.JobKey(j.id)
	if !jobAlone || j.revision == 0 {
		w.core.recordsErr = fmt.Errorf("records of %s moved without this leader: %w", j.id, err)
		return
	}
	w.rollBack(p)
	if p.orphanCancel || !j.terminal() {
		j.rereadAt = w.core.now.Add(500 * time.Millisecond)
		w.core.decisions.RereadJobs = append(w.core.decisions.RereadJobs, j.id)
	}
}

// rollBack takes back what a change that was not applied would have recorded.
func (w *recordWriter) rollBack(p *pendingChange) {
	j := p.job
	for _, a := range p.placed {
		a.recordInFlight = false
		if a.machine.tasks[a.ref()] == a {
			w.core.release(a)
		}
	}
	switch {
	case p.orphanCancel:
		w.orphanCancels = append(w.orphanCancels, j) // unless its user withdrew it too
	case j.terminal():
		w.droppable[j] = true
	case p.completes:
		w.completable[j] = true
	case p.slice != nil:
		w.markDirty(j, p.slice, true)
	}
}

// maxRefusals is how often a change of one job may be refused for its size.
const maxRefusals = 8

// postpone handles a change that the state service would not take at all, as when its
// limits are lower than it said. The same change would be refused again: the job's next
// one is half as large and comes later, and after a few of them nothing more is written or
// placed for it, until all controllers are new or another leads. Others go on meanwhile.
func (w *recordWriter) postpone(p *pendingChange) {
	j := p.job
	j.completing = false
	w.rollBack(p)
	j.refusals++
	wait := min(time.Minute, time.Second<<min(j.refusals, maxRefusals))
	j.rereadAt, j.retryAt = w.core.now.Add(wait), w.core.now.Add(wait)
}

// cancelRecorded takes note that a job's own record says that it is over.
func (w *recordWriter) cancelRecorded(j *job) {
	if j.cancelUnrecorded {
		j.cancelUnrecorded = false
		w.droppable[j] = true
	}
}
