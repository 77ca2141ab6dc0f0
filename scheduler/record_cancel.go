package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// orphanCancel is the change that records that a job is cancelled with one that it depends
// on.
type orphanCancel struct{ job *cluster.Job }

// recordOrphanCancels records that jobs are cancelled with one that they depend on. None of
// them ever had a task, so no other record of them is needed. There may be thousands, so
// each is visited once, in order. False means that the write budget is spent.
func (w *recordWriter) recordOrphanCancels() bool {
	for range len(w.orphanCancels) {
		if !w.mayWrite() {
			return false
		}
		j := w.orphanCancels[0]
		w.orphanCancels = w.orphanCancels[1:]
		switch {
		case !j.Records.CancelUnrecorded: // its user cancelled it too
		case w.delayed(j):
			w.orphanCancels = append(w.orphanCancels, j)
		default:
			w.recordOrphanCancel(j)
		}
	}
	return true
}

func (w *recordWriter) recordOrphanCancel(j *cluster.Job) {
	const noLimit = 0
	record := records.Job{Tasks: len(j.Tasks()), SubmittedMS: j.Queue.ReadyMS}
	w.submitPending(&orphanCancel{job: j}, records.CancelJobChange(j.ID, j.Records.Revision, w.nextNonce(), record, noLimit))
}

// cancelRecorded notes that a job's own record says that it is cancelled.
func (w *recordWriter) cancelRecorded(j *cluster.Job) {
	if j.Records.CancelUnrecorded {
		j.Records.CancelUnrecorded = false
		w.markDroppable(j)
	}
}

func (p *orphanCancel) target() *cluster.Job { return p.job }

// settled does nothing: the change holds no slice.
func (*orphanCancel) settled() {}

func (p *orphanCancel) applied(w *recordWriter, revision ids.Revision) {
	p.job.Records.Revision = revision
	w.cancelRecorded(p.job)
}

// rollBack tries again later, unless the job's user cancels it in the meantime.
func (p *orphanCancel) rollBack(w *recordWriter) {
	w.orphanCancels = append(w.orphanCancels, p.job)
}

// outstanding is true although the job has ended: its record does not say so.
func (*orphanCancel) outstanding() bool { return true }
