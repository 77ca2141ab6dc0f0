package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// recordWriter keeps the records in the key-value store consistent with the cluster state. It owns
// the marks of records that are out of date, the changes in flight, the write budget, and the
// fields of the cluster state that describe records: cluster.JobRecords, cluster.RecordStatus, and
// cluster.AdmissionSlice except its tasks. Only jobRecordReader also sets some of these fields, from
// the records that it reads.
//
// Other components mark what has changed. Core.Step calls refillBudget, writeRecords and
// takeDecisions in this order, and Core.CommitResult passes results to handleResult. A task must
// not be sent before the result says that its placement is committed. The record writer does no
// I/O and never has two changes of one slice in flight. If another writer has changed a job's
// record, it writes nothing for the job until that record has been read again.
type recordWriter struct {
	cluster  *cluster.State
	clock    *clock.Clock
	rounds   *clock.RoundTrigger
	tasks    taskReleaser
	commands machineQueue
	jobs     jobRecordObserver
	leaders  cloudCallObserver
	settings recordSettings

	budget writeBudget
	dirty  dirtySlices
	// completable holds the jobs whose tasks are all done. deletable holds the jobs that have
	// ended and may have admission records to be deleted.
	completable map[*cluster.Job]bool
	deletable   map[*cluster.Job]bool
	// cascadedCancels holds the jobs that are cancelled because a job that they depend on is
	// cancelled, and whose own records do not say so yet.
	cascadedCancels []*cluster.Job

	pending    map[uint64]pendingChange // changes in flight by ID
	lastChange uint64                   // ID of the last change

	changes []records.Change // since the last takeDecisions
	rereads []ids.JobID      // since the last takeDecisions
	// err is set when the records are not as this leader last wrote them.
	err error
}

// recordSettings holds the settings of the record writer.
type recordSettings struct {
	leaderRevision ids.Revision // of the leader key; part of every nonce
	maxOperations  int          // per change
	valueBytes     int          // size limit of the JSON form of one record; 0: no limit
	// lazyWriteDelay is how long a record without new placements may be out of date.
	lazyWriteDelay  time.Duration
	writesPerSecond float64 // operations; 0: no limit
	// splitRecords reports whether every controller can read the parts of a split slice.
	splitRecords bool
}

// newRecordSettings returns the settings of the record writer from the scheduler's options.
func newRecordSettings(opt Options) recordSettings {
	return recordSettings{
		leaderRevision:  opt.Revision,
		maxOperations:   opt.MaxTxnOps,
		valueBytes:      opt.MaxValueBytes,
		lazyWriteDelay:  opt.LazyWriteDelay,
		writesPerSecond: opt.WriteRate,
		splitRecords:    opt.SplitRecords,
	}
}

// cloudCallObserver reports whether a call of a previous leader to the cloud may still be carried out.
type cloudCallObserver interface{ mayCallCloud() bool }

// jobRecordObserver is notified of the new record of a job.
type jobRecordObserver interface {
	applyJobRecord(id ids.JobID, record *records.Job)
}

// newRecordWriter returns a record writer with a full budget. The core sets the components that
// the record writer calls once they are created.
func newRecordWriter(state *cluster.State, clk *clock.Clock, rounds *clock.RoundTrigger, settings recordSettings) *recordWriter {
	return &recordWriter{
		cluster:     state,
		clock:       clk,
		rounds:      rounds,
		settings:    settings,
		budget:      newWriteBudget(settings.writesPerSecond),
		dirty:       dirtySlices{},
		completable: map[*cluster.Job]bool{},
		deletable:   map[*cluster.Job]bool{},
		pending:     map[uint64]pendingChange{},
	}
}

// begin starts refilling the budget at the start of the term.
func (w *recordWriter) begin() { w.budget.begin(w.clock.Now()) }

// refillBudget adds the operations that the write rate allows since the last call. It is called
// before any record is written in a step. If it were called between the records of zones and
// those of jobs, thousands of waiting placements would use the whole budget, and the record of a
// recovering zone would never be written.
func (w *recordWriter) refillBudget() { w.budget.refill(w.clock.Now()) }

// mayWrite reports whether the write budget allows one more change now.
func (w *recordWriter) mayWrite() bool { return w.budget.allows() }

// writeRecords submits changes of the records that are out of date until the write budget is
// spent. The order is placements, completions of jobs, cascaded cancellations, deletions, and
// then all other slices. While the budget is scarce, for instance for half a minute after a zone
// outage, completions come before placements: each is one operation, and users and dependent jobs
// wait for it.
func (w *recordWriter) writeRecords() {
	if !w.mayWrite() {
		return
	}
	if w.budget.scarce() && !w.completeJobs(0) {
		return
	}
	w.writePlacements()
	if !w.completeJobs(w.settings.maxOperations-reservedOperations) || !w.recordCascadedCancels() {
		return
	}
	if !w.deleteRecords() {
		return
	}
	w.writeOverdueSlices()
}

// takeDecisions returns and clears the changes to be committed and the jobs whose records must be
// read again.
func (w *recordWriter) takeDecisions() (changes []records.Change, rereads []ids.JobID) {
	changes, rereads = w.changes, w.rereads
	w.changes, w.rereads = nil, nil
	return changes, rereads
}

// submit adds a change to the decisions and returns its ID. Core.CommitResult receives the result
// under this ID.
func (w *recordWriter) submit(change records.Change) (id uint64) {
	w.lastChange++
	change.ID = w.lastChange
	w.budget.spend(len(change.Operations))
	w.changes = append(w.changes, change)
	return change.ID
}

// submitPending adds a change to the decisions and registers it as pending, so that handleResult
// applies its result.
func (w *recordWriter) submitPending(p pendingChange, change records.Change) {
	w.pending[w.submit(change)] = p
}

// nextNonce returns the nonce of the next change. No two terms have the same revision, so no
// two changes have the same nonce.
func (w *recordWriter) nextNonce() uint64 {
	return uint64(ids.NewFencingToken(w.settings.leaderRevision, w.lastChange+1))
}

// delayed reports whether changes of a job must wait for its record to be read again, or for the
// backoff after a refusal to end.
func (w *recordWriter) delayed(j *cluster.Job) bool { return w.clock.Now() < j.Records.RereadAt }

// writePlacements writes the slices that have placements without a record.
func (w *recordWriter) writePlacements() { w.writeSlices(w.dirty.urgent()) }

// writeOverdueSlices writes the other slices that have been dirty for lazyWriteDelay.
func (w *recordWriter) writeOverdueSlices() {
	w.writeSlices(w.dirty.overdue(w.clock.Now(), w.settings.lazyWriteDelay))
}

// writeSlices writes those of the given slices that may be written now, by priority, until the
// budget is spent.
func (w *recordWriter) writeSlices(dirty []dirtySlice) {
	dirty = slices.DeleteFunc(dirty, func(d dirtySlice) bool { return !w.writable(d) })
	sortByPriority(dirty)
	for _, d := range dirty {
		if !w.mayWrite() {
			return
		}
		w.writeSlice(d.job, d.slice)
	}
}

// writable reports whether a slice may be written now.
func (w *recordWriter) writable(d dirtySlice) bool {
	j := d.job
	ending := j.Terminal() || j.Records.CompletionInFlight || w.completable[j]
	refused := j.Records.Refusals >= maxRefusals
	return !d.slice.InFlight && !ending && !refused && !w.delayed(j)
}
