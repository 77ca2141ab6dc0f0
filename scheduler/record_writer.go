package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// recordWriter keeps the records in the key-value store in line with the cluster state. It
// owns which records are behind, the changes in flight and the write budget, and what the
// state notes about records: cluster.JobRecords, cluster.RecordStatus and the fields of
// cluster.AdmissionSlice other than its tasks.
//
// Other policies mark what has changed. Core.Step calls refillBudget, writeRecords and
// takeDecisions in this order, and Core.CommitResult passes results to settle. A task must
// not be sent before the result says that its placement is committed. The record writer does
// no I/O, never has two changes of one slice in flight, and writes nothing more for a job
// whose record another writer changed before that record was read again.
type recordWriter struct {
	cluster  *cluster.State
	clock    *clock.Clock
	rounds   *clock.RoundTrigger
	tasks    taskReleaser
	commands machineQueue
	jobs     jobRecordObserver
	settings recordSettings

	budget writeBudget
	dirty  dirtySlices
	// completable are the jobs whose tasks are all done, and droppable those that have ended
	// and may have admission records to be deleted.
	completable map[*cluster.Job]bool
	droppable   map[*cluster.Job]bool
	// orphanCancels are jobs that are cancelled with one that they depend on and whose own
	// records do not say so yet.
	orphanCancels []*cluster.Job

	pending    map[uint64]pendingChange // changes in flight by ID
	lastChange uint64                   // ID of the last change

	changes []records.Change // since the last takeDecisions
	rereads []ids.JobID      // since the last takeDecisions
	// err is set when the records are not as this leader left them.
	err error
}

// recordSettings are the settings of the record writer.
type recordSettings struct {
	leaderRevision ids.Revision // of the leader key; nonces are made of it
	maxOperations  int          // of one change
	valueBytes     int          // limit of the JSON form of one record; 0: no limit
	// lazyWriteDelay is how long a record without new placements may be behind.
	lazyWriteDelay  time.Duration
	writesPerSecond float64 // operations; 0: no limit
	// splitRecords tells that every controller can read the parts of a slice that was split.
	splitRecords bool
}

// newRecordSettings picks the settings of the record writer.
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

// jobRecordObserver takes the new record of a job.
type jobRecordObserver interface {
	applyJobRecord(id ids.JobID, record *records.Job)
}

// newRecordWriter makes a record writer with a full budget. The core sets the other policies
// that it calls when they are made.
func newRecordWriter(state *cluster.State, now *clock.Clock, rounds *clock.RoundTrigger, settings recordSettings) *recordWriter {
	return &recordWriter{
		cluster:     state,
		clock:       now,
		rounds:      rounds,
		settings:    settings,
		budget:      newWriteBudget(settings.writesPerSecond),
		dirty:       dirtySlices{},
		completable: map[*cluster.Job]bool{},
		droppable:   map[*cluster.Job]bool{},
		pending:     map[uint64]pendingChange{},
	}
}

// begin begins the term.
func (w *recordWriter) begin() { w.budget.begin(w.clock.Now()) }

// refillBudget adds what the write rate allows since the last call. It is called before any
// record is written in a step. If it were called between the records of zones and those of
// jobs, thousands of waiting placements would take the whole budget, and the record of a zone
// that recovers would never be written.
func (w *recordWriter) refillBudget() { w.budget.refill(w.clock.Now()) }

// mayWrite tells whether the write budget allows one more change now.
func (w *recordWriter) mayWrite() bool { return w.budget.allows() }

// writeRecords submits changes of the records that are behind until the write budget is
// spent: placements first, then the ends of jobs, then the rest. While the budget is scarce,
// for instance for half a minute after a zone outage, completions of jobs go before placements:
// each is one operation, and users and dependent jobs wait for it.
func (w *recordWriter) writeRecords() {
	if !w.mayWrite() {
		return
	}
	if w.budget.scarce() && !w.completeJobs(0) {
		return
	}
	w.writePlacements()
	if !w.completeJobs(w.settings.maxOperations-reservedOperations) || !w.recordOrphanCancels() {
		return
	}
	if !w.deleteRecords() {
		return
	}
	w.writeOverdueSlices()
}

// takeDecisions returns the changes to be committed and the jobs whose records must be read
// again, since the last call.
func (w *recordWriter) takeDecisions() (changes []records.Change, rereads []ids.JobID) {
	changes, rereads = w.changes, w.rereads
	w.changes, w.rereads = nil, nil
	return changes, rereads
}

// submit decides on a change and returns its ID, under which Core.CommitResult gets the result.
func (w *recordWriter) submit(change records.Change) (id uint64) {
	w.lastChange++
	change.ID = w.lastChange
	w.budget.spend(len(change.Operations))
	w.changes = append(w.changes, change)
	return change.ID
}

// submitPending decides on a change whose result goes to settle.
func (w *recordWriter) submitPending(p pendingChange, change records.Change) {
	w.pending[w.submit(change)] = p
}

// nextNonce returns the nonce of the next change. No two leaders have the same revision, so
// no two changes have the same nonce.
func (w *recordWriter) nextNonce() uint64 {
	return uint64(ids.NewFencingToken(w.settings.leaderRevision, w.lastChange+1))
}

// delayed tells whether changes of a job must wait until its record is read again.
func (w *recordWriter) delayed(j *cluster.Job) bool { return w.clock.Now() < j.Records.RereadAt }

// writePlacements writes the slices that hold placements without a record.
func (w *recordWriter) writePlacements() { w.writeSlices(w.dirty.urgent()) }

// writeOverdueSlices writes the other slices that have been behind for long enough.
func (w *recordWriter) writeOverdueSlices() {
	w.writeSlices(w.dirty.overdue(w.clock.Now(), w.settings.lazyWriteDelay))
}

// writeSlices writes the given slices that may be written now, by priority, until the budget is
// spent.
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

// writable tells whether a slice may be written now.
func (w *recordWriter) writable(d dirtySlice) bool {
	j := d.job
	ending := j.Terminal() || j.Records.Completing || w.completable[j]
	refused := j.Records.Refusals >= maxRefusals
	return !d.slice.InFlight && !ending && !refused && !w.delayed(j)
}
