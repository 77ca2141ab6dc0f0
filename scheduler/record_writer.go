package scheduler

import (
	"sort"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// recordWriter turns changes of tasks and jobs into guarded changes of the records in
// the state service, no faster than it may be written, and settles their outcomes.
type recordWriter struct {
	core *Core
	// pendingChanges are on their way to the state service, by their id.
	pendingChanges map[uint64]*pendingChange
	nextChange     uint64
	// writeBudget is how many writes the rate still allows.
	writeBudget      float64
	budgetRefilledAt monotonic.Instant
	// dirty are the slices whose records lag behind, with their jobs.
	dirty map[*cluster.AdmissionSlice]*cluster.Job
	// completable are jobs whose tasks are all done, and droppable those that are
	// over, whose admission records may be dropped.
	completable map[*cluster.Job]bool
	droppable   map[*cluster.Job]bool
	// orphanCancels are jobs that are cancelled with one that they depend on, whose
	// own records do not say so yet.
	orphanCancels []*cluster.Job
}

// newRecordWriter makes a writer whose budget is full.
func newRecordWriter(c *Core) *recordWriter {
	return &recordWriter{
		core:           c,
		pendingChanges: map[uint64]*pendingChange{},
		writeBudget:    c.opt.WriteRate,
		dirty:          map[*cluster.AdmissionSlice]*cluster.Job{},
		completable:    map[*cluster.Job]bool{},
		droppable:      map[*cluster.Job]bool{},
	}
}

// pendingChange is a change on its way to the state service, and what follows from its
// outcome.
type pendingChange struct {
	job   *cluster.Job
	slice *cluster.AdmissionSlice
	// parts are the slices that come of a split, slice first, and split the
	// tasks of each; nil if there is none.
	parts     []*cluster.AdmissionSlice
	split     [][]int
	placed    []*cluster.Assignment
	completes bool
	doneMS    int64
	// orphanCancel tells that the job is cancelled with one that it depends on.
	orphanCancel bool
	dropped      []*cluster.AdmissionSlice
}

// markOversized sees that a record which is too large is written again, in parts.
func (w *recordWriter) markOversized(j *cluster.Job, s *cluster.AdmissionSlice) {
	if w.core.opt.SplitRecords && s.Oversized && !j.Terminal() {
		w.markDirty(j, s, false)
	}
}

// markOrphanCancel notes that a job is cancelled with one that it depends on, which its own
// record does not say yet.
func (w *recordWriter) markOrphanCancel(j *cluster.Job) {
	w.orphanCancels = append(w.orphanCancels, j)
}

// markCompletable notes that all tasks of a job are done.
func (w *recordWriter) markCompletable(j *cluster.Job) { w.completable[j] = true }

// markDroppable notes that the admission records of a job that is over may be dropped.
func (w *recordWriter) markDroppable(j *cluster.Job) { w.droppable[j] = true }

// discard forgets unwritten changes of a job that is over.
func (w *recordWriter) discard(j *cluster.Job) {
	for _, s := range j.Slices() {
		delete(w.dirty, s)
		s.Dirty = false
	}
	delete(w.completable, j)
}

// markTaskDirty notes that a task's record must be written: at once for a placement, else
// when there is time.
func (w *recordWriter) markTaskDirty(j *cluster.Job, index int, urgent bool) {
	w.markDirty(j, j.Task(index).Slice(), urgent)
}

// markDirty notes that a slice's record must be written.
func (w *recordWriter) markDirty(j *cluster.Job, s *cluster.AdmissionSlice, urgent bool) {
	if !s.Dirty {
		s.Dirty, s.DirtySince = true, w.core.clock.Now()
	}
	s.Urgent = s.Urgent || urgent
	w.dirty[s] = j
}

// mayWrite tells whether the write rate allows one more change now.
func (w *recordWriter) mayWrite() bool { return w.core.opt.WriteRate <= 0 || w.writeBudget >= 1 }

// refillBudget adds what the write rate allows since the last time. It comes before anything
// is written in a step: what is refilled in between goes to placements alone while thousands
// of them wait, and the record of a zone that returns would never have its turn.
func (w *recordWriter) refillBudget() {
	w.writeBudget = min(w.core.opt.WriteRate, w.writeBudget+w.core.opt.WriteRate*w.core.clock.Now().Sub(w.budgetRefilledAt).Seconds())
	w.budgetRefilledAt = w.core.clock.Now()
}

// writeRecords turns dirty records into changes, no faster than the state service may be
// written: placements first, then what is over, then what only lags behind. While writes
// are scarce, as for half a minute after a zone is lost, the ends of jobs go before
// placements: each is one write, users wait for it, and so may other jobs.
func (w *recordWriter) writeRecords() {
	if !w.mayWrite() {
		return
	}
	if w.writeBudget < w.core.opt.WriteRate*scarceWrites && !w.completeJobs(0) {
		return
	}
	w.writeSlices(true)
	if !w.completeJobs(w.core.opt.TxnOps-2) || !w.recordOrphanCancels() {
		return
	}
	for _, j := range cluster.SortedByID(w.droppable) {
		if !w.mayWrite() {
			return
		}
		w.dropRecords(j)
	}
	w.writeSlices(false)
}

// scarceWrites is the part of a second's writes below which they count as scarce.
const scarceWrites = 0.5

// writeSlices saves the dirty slices that hold placements, or else those that
// have lagged behind for long enough.
func (w *recordWriter) writeSlices(urgent bool) {
	type item struct {
		s *cluster.AdmissionSlice
		j *cluster.Job
	}
	var items []item
	for s, j := range w.dirty {
		if s.InFlight || j.Terminal() || j.Records.Completing || w.completable[j] || w.core.clock.Now() < j.Records.RereadAt || j.Records.Refusals >= maxRefusals {
			continue
		}
		if s.Urgent != urgent || !urgent && w.core.clock.Now() < s.DirtySince.Add(w.core.opt.LazyWriteDelay) {
			continue
		}
		items = append(items, item{s, j})
	}
	sort.Slice(items, func(i, k int) bool {
		a, b := items[i], items[k]
		if a.j.Priority() != b.j.Priority() {
			return a.j.Priority() > b.j.Priority()
		}
		if a.j.ID != b.j.ID {
			return a.j.ID < b.j.ID
		}
		return a.s.Number < b.s.Number
	})
	for _, it := range items {
		if !w.mayWrite() {
			return
		}
		w.writeSlice(it.j, it.s)
	}
}

// completeJobs ends the jobs whose tasks are all done, with so many drops each. False
// means that the rate allows no more.
func (w *recordWriter) completeJobs(drops int) bool {
	for _, j := range cluster.SortedByID(w.completable) {
		if !w.mayWrite() {
			return false
		}
		w.completeJob(j, drops)
	}
	return true
}

// completeJob commits that a job is done, and drops what records it can in the same
// transaction.
func (w *recordWriter) completeJob(j *cluster.Job, most int) {
	for _, s := range j.Slices() {
		if s.InFlight {
			return // its version is not known yet
		}
	}
	if j.Records.Completing || j.Terminal() || w.core.clock.Now() < j.Records.RereadAt {
		return
	}
	delete(w.completable, j)
	j.Records.Completing = true
	p := &pendingChange{job: j, completes: true, doneMS: w.core.clock.WallMS()}
	// The rest of the records is dropped later, and less at once where a change
	// was refused.
	most >>= j.Records.Refusals
	var drops []records.SliceVersion
	for _, s := range j.Slices() {
		delete(w.dirty, s)
		s.Dirty = false
		if s.Revision != 0 && len(drops) < most {
			s.InFlight = true
			p.dropped = append(p.dropped, s)
			drops = append(drops, records.SliceVersion{Number: s.Number, Revision: s.Revision})
		}
	}
	rec := records.Job{Nonce: w.nextNonce(), Tasks: len(j.Tasks()), DoneMS: p.doneMS}
	w.submitChange(p, records.CompleteJobChange(j.ID, j.Records.Revision, rec, drops))
}

// recordOrphanCancels writes that jobs are cancelled with one that they need. They never
// had a task, so nothing else of them has to be kept. There may be thousands of them,
// so each is looked at once, in order. False means that the rate allows no more.
func (w *recordWriter) recordOrphanCancels() bool {
	for n := len(w.orphanCancels); n > 0; n-- {
		if !w.mayWrite() {
			return false
		}
		j := w.orphanCancels[0]
		w.orphanCancels = w.orphanCancels[1:]
		switch {
		case !j.Records.CancelUnrecorded: // its user withdrew it too
		case w.core.clock.Now() < j.Records.RereadAt:
			w.orphanCancels = append(w.orphanCancels, j)
		default:
			rec := records.Job{Tasks: len(j.Tasks()), SubmittedMS: j.Queue.ReadyMS}
			w.submitChange(&pendingChange{job: j, orphanCancel: true}, records.CancelJobChange(j.ID, j.Records.Revision, w.nextNonce(), rec, 0))
		}
	}
	return true
}

// dropRecords drops the admission records of a job that is over, once none of its
// tasks can be on a machine.
func (w *recordWriter) dropRecords(j *cluster.Job) {
	if w.core.clock.Now() < j.Records.RereadAt {
		return
	}
	delete(w.droppable, j)
	if !j.Terminal() || len(j.Active()) > 0 || j.Records.CancelUnrecorded {
		return // comes again with what is missing
	}
	p := &pendingChange{job: j}
	var drops []records.SliceVersion
	for _, s := range j.Slices() {
		if s.InFlight {
			return // comes again with the outcome
		}
		if s.Revision != 0 && len(drops) < max(1, w.core.opt.TxnOps>>j.Records.Refusals-1) {
			p.dropped = append(p.dropped, s)
			drops = append(drops, records.SliceVersion{Number: s.Number, Revision: s.Revision})
		}
	}
	if len(drops) == 0 {
		delete(w.core.cluster.Jobs(), j.ID)
		return
	}
	for _, s := range p.dropped {
		s.InFlight = true
	}
	w.submitChange(p, records.DeleteSlicesChange(j.ID, drops))
}

// submitChange hands a change out with the step's effects.
func (w *recordWriter) submitChange(p *pendingChange, ch records.Change) {
	w.pendingChanges[w.submitOther(ch)] = p
}

// submitOther hands out a change whose outcome is for another part, and names it.
func (w *recordWriter) submitOther(ch records.Change) (id uint64) {
	w.nextChange++
	ch.ID = w.nextChange
	w.writeBudget -= float64(len(ch.Operations))
	w.core.decisions.RecordChanges = append(w.core.decisions.RecordChanges, ch)
	return ch.ID
}

// nextNonce names the next change. No two leaders share a revision, so no two changes
// share a nonce.
func (w *recordWriter) nextNonce() uint64 {
	return uint64(ids.NewFencingToken(w.core.opt.Revision, w.nextChange+1))
}

// fail notes that the records are not as this leader left them. The term must end.
func (w *recordWriter) fail(err error) { w.core.recordsErr = err }
