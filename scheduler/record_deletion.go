package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// sliceDeletion represents the change that deletes admission slices of a job that has ended.
type sliceDeletion struct {
	job     *cluster.Job
	deleted []*cluster.AdmissionSlice
}

// deleteRecords deletes admission records of jobs that have ended. It returns false if the write
// budget is spent.
func (w *recordWriter) deleteRecords() bool {
	for _, j := range cluster.SortedByID(w.deletable) {
		if !w.mayWrite() {
			return false
		}
		w.deleteSlices(j)
	}
	return true
}

// deleteSlices deletes admission slices of a job that has ended, as many as one change allows. It
// waits until none of the job's tasks can be on a machine. A job without recorded slices is
// removed from the cluster state. A job that has to wait is marked again by the event that it
// waits for. The records of a cancelled job are kept while a previous leader may terminate machines
// for its tasks, so that the next leader knows these machines too.
func (w *recordWriter) deleteSlices(j *cluster.Job) {
	if w.delayed(j) || j.Status() == wire.JobCancelled && w.leaders.mayCallCloud() {
		return
	}
	delete(w.deletable, j)
	if !j.Terminal() || len(j.Active()) > 0 || j.Records.CancelUnrecorded || sliceInFlight(j) {
		return
	}
	limit := max(1, w.settings.maxOperations>>j.Records.Refusals-1)
	deleted := recordedSlices(j, limit)
	if len(deleted) == 0 {
		w.cluster.RemoveJob(j)
		return
	}
	setInFlight(deleted)
	w.submitPending(&sliceDeletion{job: j, deleted: deleted}, records.DeleteSlicesChange(j.ID, sliceVersions(deleted)))
}

func (p *sliceDeletion) targetJob() *cluster.Job { return p.job }

func (p *sliceDeletion) resolved() { clearInFlight(p.deleted) }

func (p *sliceDeletion) committed(w *recordWriter, _ ids.Revision) {
	setDeleted(p.deleted)
	w.markDeletable(p.job)
}

func (p *sliceDeletion) rollBack(w *recordWriter) { w.markDeletable(p.job) }

// needsJobRevision returns false, since the job's own record is not written.
func (*sliceDeletion) needsJobRevision() bool { return false }

// sliceInFlight reports whether a change of one of a job's slices is in flight.
func sliceInFlight(j *cluster.Job) bool {
	for _, s := range j.Slices() {
		if s.InFlight {
			return true
		}
	}
	return false
}

// recordedSlices returns the first slices of a job that have a record, at most limit of them.
func recordedSlices(j *cluster.Job, limit int) []*cluster.AdmissionSlice {
	var recorded []*cluster.AdmissionSlice
	for _, s := range j.Slices() {
		if s.Revision != 0 && len(recorded) < limit {
			recorded = append(recorded, s)
		}
	}
	return recorded
}

// sliceVersions returns the numbers of slices with the revisions of their records.
func sliceVersions(list []*cluster.AdmissionSlice) []records.SliceVersion {
	var versions []records.SliceVersion
	for _, s := range list {
		versions = append(versions, sliceVersion(s))
	}
	return versions
}

// setInFlight marks slices as changed by a change in flight.
func setInFlight(list []*cluster.AdmissionSlice) {
	for _, s := range list {
		s.InFlight = true
	}
}

// clearInFlight marks slices as not changed by a change in flight.
func clearInFlight(list []*cluster.AdmissionSlice) {
	for _, s := range list {
		s.InFlight = false
	}
}

// setDeleted marks slices as having no record.
func setDeleted(list []*cluster.AdmissionSlice) {
	for _, s := range list {
		s.Revision = 0
	}
}
