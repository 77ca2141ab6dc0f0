package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// sliceDeletion is the deletion of admission slices of a job that has ended.
type sliceDeletion struct {
	job     *cluster.Job
	deleted []*cluster.AdmissionSlice
}

// deleteRecords deletes admission records of jobs that have ended. False means that the write
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

// deleteSlices deletes as many admission slices of a job that has ended as one change may, once
// none of its tasks can be on a machine. A job without slices is removed from the state. A
// job that has to wait is marked again by the event for which it waits.
func (w *recordWriter) deleteSlices(j *cluster.Job) {
	if w.delayed(j) {
		return
	}
	delete(w.deletable, j)
	if !j.Terminal() || len(j.Active()) > 0 || j.Records.CancelUnrecorded || sliceInFlight(j) {
		return
	}
	most := max(1, w.settings.maxOperations>>j.Records.Refusals-1)
	deleted := recordedSlices(j, most)
	if len(deleted) == 0 {
		w.cluster.RemoveJob(j)
		return
	}
	setInFlight(deleted)
	w.submitPending(&sliceDeletion{job: j, deleted: deleted}, records.DeleteSlicesChange(j.ID, sliceVersions(deleted)))
}

func (p *sliceDeletion) target() *cluster.Job { return p.job }

func (p *sliceDeletion) resolved() { clearInFlight(p.deleted) }

func (p *sliceDeletion) committed(w *recordWriter, _ ids.Revision) {
	setDeleted(p.deleted)
	w.markDeletable(p.job)
}

func (p *sliceDeletion) rollBack(w *recordWriter) { w.markDeletable(p.job) }

// needsJobRevision is false: the job's own record is not written.
func (*sliceDeletion) needsJobRevision() bool { return false }

// sliceInFlight tells whether a change of one of a job's slices is in flight.
func sliceInFlight(j *cluster.Job) bool {
	for _, s := range j.Slices() {
		if s.InFlight {
			return true
		}
	}
	return false
}

// recordedSlices lists the first slices of a job that have a record, at most the given number.
func recordedSlices(j *cluster.Job, most int) []*cluster.AdmissionSlice {
	var recorded []*cluster.AdmissionSlice
	for _, s := range j.Slices() {
		if s.Revision != 0 && len(recorded) < most {
			recorded = append(recorded, s)
		}
	}
	return recorded
}

// sliceVersions names slices and the revisions of their records.
func sliceVersions(list []*cluster.AdmissionSlice) []records.SliceVersion {
	var versions []records.SliceVersion
	for _, s := range list {
		versions = append(versions, sliceVersion(s))
	}
	return versions
}

func setInFlight(list []*cluster.AdmissionSlice) {
	for _, s := range list {
		s.InFlight = true
	}
}

func clearInFlight(list []*cluster.AdmissionSlice) {
	for _, s := range list {
		s.InFlight = false
	}
}

// setDeleted notes that slices have no record any more.
func setDeleted(list []*cluster.AdmissionSlice) {
	for _, s := range list {
		s.Revision = 0
	}
}
