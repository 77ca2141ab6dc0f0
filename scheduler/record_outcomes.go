package scheduler

import (
	"errors"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// CommitResult applies the result of a change, which must be resolved.
func (c *Core) CommitResult(now monotonic.Instant, result records.CommitResult) {
	c.clock.Set(now)
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
	w.core.rounds.MarkDue()
	if p.slice != nil {
		p.slice.InFlight = false
	}
	for _, s := range p.dropped {
		s.InFlight = false
	}
	switch {
	case result.Err == nil:
		p.job.Records.Refusals = 0
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
		j.Records.Revision = revision
		w.cancelRecorded(j)
		return
	case p.slice != nil:
		w.sliceRecorded(p, revision)
		return
	case p.completes:
		j.Records.Completing = false
		w.core.cluster.EndJob(j, wire.JobDone)
		j.Records.Revision = revision
		// Only now may those that depend on it start: a successor would find it done.
		w.core.jobRecords.applyJobRecord(j.ID, &records.Job{Status: wire.JobDone, DoneMS: p.doneMS})
	}
	for _, s := range p.dropped {
		s.Revision = 0
	}
	w.droppable[j] = true
}

// sliceRecorded takes note that placements are recorded and may be sent.
func (w *recordWriter) sliceRecorded(p *pendingChange, revision ids.Revision) {
	p.slice.Revision = revision
	w.applySplit(p, revision)
	for _, a := range p.placed {
		a.Record.Committed, a.Record.InFlight = true, false
		w.core.commands.queueCommands(a.Machine)
		if a.StopReason() != cluster.StopNone && a.Machine.Assignment(a.Ref()) == a {
			w.core.lifecycle.release(a) // never sent
		}
	}
	if p.job.Terminal() {
		w.droppable[p.job] = true
	}
}

// changeRejected handles a change whose guards failed. Only the job's own key may have
// moved, by a cancellation; anything else means that the records are not as this leader
// left them.
func (w *recordWriter) changeRejected(p *pendingChange, err error) {
	j := p.job
	j.Records.Completing = false
	conflict, ok := errors.AsType[*records.ConflictError](err)
	jobAlone := ok && len(conflict.Keys) == 1 && conflict.Keys[0] == records.JobKey(j.ID)
	if !jobAlone || j.Records.Revision == 0 {
		w.fail(fmt.Errorf("records of %s moved without this leader: %w", j.ID, err))
		return
	}
	w.rollBack(p)
	if p.orphanCancel || !j.Terminal() {
		j.Records.RereadAt = w.core.clock.Now().Add(500 * time.Millisecond)
		w.core.decisions.RereadJobs = append(w.core.decisions.RereadJobs, j.ID)
	}
}

// rollBack takes back what a change that was not applied would have recorded.
func (w *recordWriter) rollBack(p *pendingChange) {
	j := p.job
	for _, a := range p.placed {
		a.Record.InFlight = false
		if a.Machine.Assignment(a.Ref()) == a {
			w.core.lifecycle.release(a)
		}
	}
	switch {
	case p.orphanCancel:
		w.orphanCancels = append(w.orphanCancels, j) // unless its user withdrew it too
	case j.Terminal():
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
	j.Records.Completing = false
	w.rollBack(p)
	j.Records.Refusals++
	wait := min(time.Minute, time.Second<<min(j.Records.Refusals, maxRefusals))
	j.Records.RereadAt, j.Queue.RetryAt = w.core.clock.Now().Add(wait), w.core.clock.Now().Add(wait)
}

// cancelRecorded takes note that a job's own record says that it is over.
func (w *recordWriter) cancelRecorded(j *cluster.Job) {
	if j.Records.CancelUnrecorded {
		j.Records.CancelUnrecorded = false
		w.droppable[j] = true
	}
}
