package scheduler

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// reservedOperations is the number of operations of a change that completes a job that are not
// used to delete slices: one writes the job's own record, and one is unused.
const reservedOperations = 2

// completion represents the change that records that a job is done.
type completion struct {
	job    *cluster.Job
	doneMS int64 // wall-clock time in Unix milliseconds
	// deleted holds the slices whose records the change deletes.
	deleted []*cluster.AdmissionSlice
}

// completeJobs records the completion of the jobs whose tasks are all done, and deletes at most
// maxDeletions slices of each in the same change. It returns false if the write budget is spent.
func (w *recordWriter) completeJobs(maxDeletions int) bool {
	for _, j := range cluster.SortedByID(w.completable) {
		if !w.mayWrite() {
			return false
		}
		w.completeJob(j, maxDeletions)
	}
	return true
}

// completeJob records that a job is done, and deletes at most maxDeletions of its slices in the
// same change. Each refusal halves this number. The other slices are deleted later.
func (w *recordWriter) completeJob(j *cluster.Job, maxDeletions int) {
	// While a slice is in flight, its revision is not known.
	if sliceInFlight(j) || j.Records.CompletionInFlight || j.Terminal() || w.delayed(j) {
		return
	}
	delete(w.completable, j)
	w.dirty.clearJob(j)
	j.Records.CompletionInFlight = true
	p := &completion{
		job:     j,
		doneMS:  w.clock.WallMS(),
		deleted: recordedSlices(j, maxDeletions>>j.Records.Refusals),
	}
	setInFlight(p.deleted)
	record := records.Job{Nonce: w.nextNonce(), Tasks: len(j.Tasks()), DoneMS: p.doneMS}
	w.submitPending(p, records.CompleteJobChange(j.ID, j.Records.Revision, record, sliceVersions(p.deleted)))
}

func (p *completion) targetJob() *cluster.Job { return p.job }

func (p *completion) resolved() {
	p.job.Records.CompletionInFlight = false
	clearInFlight(p.deleted)
}

// committed ends the job. Jobs that depend on it may start only now, since only now would the
// next leader read that it is done.
func (p *completion) committed(w *recordWriter, revision ids.Revision) {
	w.cluster.EndJob(p.job, wire.JobDone)
	p.job.Records.Revision = revision
	w.jobs.applyJobRecord(p.job.ID, &records.Job{Status: wire.JobDone, DoneMS: p.doneMS})
	setDeleted(p.deleted)
	w.markDeletable(p.job)
}

func (p *completion) rollBack(w *recordWriter) {
	if p.job.Terminal() {
		w.markDeletable(p.job)
		return
	}
	w.markCompletable(p.job)
}

func (p *completion) needsJobRevision() bool { return !p.job.Terminal() }
