package scheduler

import "ospreystile.example/ospreystile/scheduler/cluster"

// markTaskDirty marks a task's record to be written within the delay for lazy writes.
func (w *recordWriter) markTaskDirty(j *cluster.Job, index int) {
	w.dirty.mark(j.Task(index).Slice(), j, w.clock.Now())
}

// markPlacementDirty marks the placement of a task to be recorded immediately. No command is sent
// for the task before its placement is recorded.
func (w *recordWriter) markPlacementDirty(j *cluster.Job, index int) {
	w.dirty.markUrgent(j.Task(index).Slice(), j, w.clock.Now())
}

// markOversized marks a slice whose record exceeds the size limit for a value to be written again
// in parts, if slices may be split.
func (w *recordWriter) markOversized(j *cluster.Job, s *cluster.AdmissionSlice) {
	if w.settings.splitRecords && s.Oversized && !j.Terminal() {
		w.dirty.mark(s, j, w.clock.Now())
	}
}

// enableSplitting allows slices to be split, and marks those whose records are oversized.
func (w *recordWriter) enableSplitting() {
	if w.settings.splitRecords {
		return
	}
	w.settings.splitRecords = true
	for _, j := range w.cluster.SortedJobs() {
		j.Records.Refusals = 0 // oversized changes can be split now
		for _, s := range j.Slices() {
			w.markOversized(j, s)
		}
	}
}

// markCompletable marks a job whose tasks are all done to be completed.
func (w *recordWriter) markCompletable(j *cluster.Job) { w.completable[j] = true }

// markDeletable marks a job that has ended, whose admission records may be deleted.
func (w *recordWriter) markDeletable(j *cluster.Job) { w.deletable[j] = true }

// markCascadedCancel marks a job that is cancelled because a job that it depends on is cancelled.
// Its own record does not say so yet and must be written.
func (w *recordWriter) markCascadedCancel(j *cluster.Job) {
	j.Records.CancelUnrecorded = true
	w.cascadedCancels = append(w.cascadedCancels, j)
}

// discardUnwritten discards the unwritten changes of a job that has ended.
func (w *recordWriter) discardUnwritten(j *cluster.Job) {
	w.dirty.clearJob(j)
	delete(w.completable, j)
}

// upToDate reports whether the record of a task matches the cluster state: neither the record nor
// the completion of its job has yet to be written.
func (w *recordWriter) upToDate(j *cluster.Job, index int) bool {
	s := j.Task(index).Slice()
	return !j.Records.CompletionInFlight && !w.completable[j] && !w.dirty.contains(s) && !s.InFlight
}
