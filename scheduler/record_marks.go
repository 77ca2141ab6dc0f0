package scheduler

import "ospreystile.example/ospreystile/scheduler/cluster"

// markTaskDirty notes that a task's record must be written, within the delay for lazy writes.
func (w *recordWriter) markTaskDirty(j *cluster.Job, index int) {
	w.dirty.mark(j.Task(index).Slice(), j, w.clock.Now())
}

// markPlacementDirty notes that the placement of a task must be recorded at once. No command
// is sent for it before that.
func (w *recordWriter) markPlacementDirty(j *cluster.Job, index int) {
	w.dirty.markUrgent(j.Task(index).Slice(), j, w.clock.Now())
}

// markOversized notes that a record beyond the limit for a value must be written again, in
// parts, if that is allowed.
func (w *recordWriter) markOversized(j *cluster.Job, s *cluster.AdmissionSlice) {
	if w.settings.splitRecords && s.Oversized && !j.Terminal() {
		w.dirty.mark(s, j, w.clock.Now())
	}
}

// enableSplitting allows that slices are split from now on, and marks all that were too
// large so far.
func (w *recordWriter) enableSplitting() {
	if w.settings.splitRecords {
		return
	}
	w.settings.splitRecords = true
	for _, j := range w.cluster.SortedJobs() {
		j.Records.Refusals = 0 // changes that were too large can be split now
		for _, s := range j.Slices() {
			w.markOversized(j, s)
		}
	}
}

// markCompletable notes that all tasks of a job are done.
func (w *recordWriter) markCompletable(j *cluster.Job) { w.completable[j] = true }

// markDroppable notes that a job has ended and its admission records may be deleted.
func (w *recordWriter) markDroppable(j *cluster.Job) { w.droppable[j] = true }

// markOrphanCancel notes that a job is cancelled with one that it depends on. Its own record
// does not say so yet and must be written.
func (w *recordWriter) markOrphanCancel(j *cluster.Job) {
	j.Records.CancelUnrecorded = true
	w.orphanCancels = append(w.orphanCancels, j)
}

// discard forgets unwritten changes of a job that has ended.
func (w *recordWriter) discard(j *cluster.Job) {
	w.dirty.clearJob(j)
	delete(w.completable, j)
}

// upToDate tells whether the record of a task says what the state says: neither the record
// nor the end of its job is still to be written.
func (w *recordWriter) upToDate(j *cluster.Job, index int) bool {
	s := j.Task(index).Slice()
	return !j.Records.CompletionInFlight && !w.completable[j] && !w.dirty.contains(s) && !s.InFlight
}
