package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// cascadedCancel represents the change that records that a job is cancelled because a job that it
// depends on is cancelled.
type cascadedCancel struct{ job *cluster.Job }

// recordCascadedCancels records the cancellation of jobs that depend on a cancelled job. None of
// their tasks was ever placed, so no other record of them is needed. There may be thousands of
// such jobs, so each is visited once, in order. recordCascadedCancels returns false if the write
// budget is spent.
func (w *recordWriter) recordCascadedCancels() bool {
	for range len(w.cascadedCancels) {
		if !w.mayWrite() {
			return false
		}
		j := w.cascadedCancels[0]
		w.cascadedCancels = w.cascadedCancels[1:]
		switch {
		case !j.Records.CancelUnrecorded: // recorded already, since its user cancelled it too
		case w.delayed(j):
			w.cascadedCancels = append(w.cascadedCancels, j)
		default:
			w.recordCascadedCancel(j)
		}
	}
	return true
}

func (w *recordWriter) recordCascadedCancel(j *cluster.Job) {
	const noLimit = 0
	record := records.Job{Tasks: len(j.Tasks()), SubmittedMS: j.Queue.ReadyMS}
	w.submitPending(&cascadedCancel{job: j}, records.CancelJobChange(j.ID, j.Records.Revision, w.nextNonce(), record, noLimit))
}

// cancelRecorded updates the state once a job's own record says that it is cancelled: no cascaded
// cancel has to be recorded any more, and the job's admission records may be deleted.
func (w *recordWriter) cancelRecorded(j *cluster.Job) {
	if j.Records.CancelUnrecorded {
		j.Records.CancelUnrecorded = false
		w.markDeletable(j)
	}
}

func (p *cascadedCancel) targetJob() *cluster.Job { return p.job }

// resolved does nothing, since the change writes no slice.
func (*cascadedCancel) resolved() {}

func (p *cascadedCancel) committed(w *recordWriter, revision ids.Revision) {
	p.job.Records.Revision = revision
	w.cancelRecorded(p.job)
}

// rollBack queues the cancellation to be recorded later, unless the job's user cancels it in the
// meantime.
func (p *cascadedCancel) rollBack(w *recordWriter) {
	w.cascadedCancels = append(w.cascadedCancels, p.job)
}

// needsJobRevision returns true although the job has ended, since its record does not say so.
func (*cascadedCancel) needsJobRevision() bool { return true }
