package scheduler

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// LoadJob loads a job's record at the start of the term. All jobs must be loaded before
// any admission slice.
func (c *Core) LoadJob(id ids.JobID, record *records.Job, revision ids.Revision) {
	c.jobRecords.loadJob(id, record, revision)
}

// LoadUnreadableJob registers a job whose own record cannot be read. Its admission records are
// kept, because they name the machines of its tasks, which are needed once the record is repaired.
func (c *Core) LoadUnreadableJob(id ids.JobID) {
	c.jobRecords.unreadable[id] = true
	c.previousLeaders.recordsUnreadable = true
}

// LoadSlice loads an admission record at the start of the term.
func (c *Core) LoadSlice(id ids.JobID, number int, record *records.AdmissionSlice, revision ids.Revision) error {
	return c.jobRecords.loadSlice(id, number, record, revision)
}

// Suspend prevents the placement of a job's tasks, because it is not known on which machines all its
// tasks may be. Other jobs are not affected.
func (c *Core) Suspend(id ids.JobID) {
	c.previousLeaders.recordsUnreadable = true
	if j := c.cluster.Job(id); j != nil {
		j.Queue.Suspended = true
	}
}

// ObserveJob processes a job's record as read from the key-value store. The job may be new or
// cancelled, or its record may have a revision that this leader has not seen.
func (c *Core) ObserveJob(now monotonic.Instant, id ids.JobID, record *records.Job, revision ids.Revision) {
	c.clock.Set(now)
	c.jobRecords.observe(id, record, revision)
}

// EnableSplitRecords allows records to be split, and terminations to be recorded. It must be called only
// once every controller can read these records. From then on, records that exceed the size limit of the
// key-value store are split.
func (c *Core) EnableSplitRecords(now monotonic.Instant) {
	c.clock.Set(now)
	c.records.enableSplitting()
	c.terminations.settings.enabled = true
}

// jobRecordReader processes the records of jobs and slices that are read from the key-value store.
// It updates jobs when a job that they depend on changes. It writes no records: recordWriter does.
type jobRecordReader struct {
	cluster *cluster.State
	clock   *clock.Clock
	rounds  *clock.RoundTrigger
	// graph holds the dependencies of all jobs.
	graph *dependency.Graph
	// unreadable holds the jobs whose own record cannot be read.
	unreadable map[ids.JobID]bool
	lifecycle  jobEnder
	records    jobRecordMarks
	sites      siteRecorder
	arrivals   arrivalObserver
	// revision is the revision of the leader key.
	revision ids.Revision
	// valueBytes is the maximum size of a record in JSON form, in bytes. Zero means no limit.
	valueBytes int
}

// jobEnder ends jobs.
type jobEnder interface {
	endJob(j *cluster.Job, status wire.JobState)
}

// jobRecordMarks tracks which records of jobs must be written.
type jobRecordMarks interface {
	// markCascadedCancel records that a cancelled job's own record does not show the cancellation
	// yet.
	markCascadedCancel(j *cluster.Job)
	// cancelRecorded records that the job's own record shows the cancellation.
	cancelRecorded(j *cluster.Job)
	markOversized(j *cluster.Job, s *cluster.AdmissionSlice)
	markCompletable(j *cluster.Job)
}

// arrivalObserver is notified of jobs that become ready.
type arrivalObserver interface {
	recordArrival(spec *wire.JobSpec)
}

// loadJob loads a job's record at the start of the term.
func (r *jobRecordReader) loadJob(id ids.JobID, record *records.Job, revision ids.Revision) {
	r.graph.Put(id, record.DependencyRecord())
	if record.Status == wire.JobDone || record.Spec == nil {
		return
	}
	r.cluster.AddJob(id, record, revision)
}

// loadSlice loads an admission record at the start of the term, after the jobs.
func (r *jobRecordReader) loadSlice(id ids.JobID, number int, record *records.AdmissionSlice, revision ids.Revision) error {
	if r.unreadable[id] {
		return nil
	}
	j := r.cluster.Job(id)
	if j == nil {
		// The job is done. The slice only needs to be deleted.
		j = r.cluster.AddJob(id, &records.Job{Status: wire.JobDone}, 0)
	}
	// Splits add at most one slice for each task. Slice numbers may be unused.
	if !j.Terminal() && number >= len(j.Slices())+2*len(j.Tasks()) {
		return fmt.Errorf("load admission record %s/%d: slice number out of range", id, number)
	}
	j.GrowSlices(number + 1)
	s := j.Slices()[number]
	s.Revision = revision
	if j.Status() == wire.JobDone {
		return nil
	}
	s.Oversized = wire.ExceedsJSONSize(record, r.valueBytes)
	if err := j.LoadDone(s, record.Done); err != nil {
		return err
	}
	return r.loadPlacements(j, s, record)
}

// loadPlacements assigns the tasks of a slice to the machines on which a previous leader
// placed them.
func (r *jobRecordReader) loadPlacements(j *cluster.Job, s *cluster.AdmissionSlice, record *records.AdmissionSlice) error {
	for k := 0; k+2 < len(record.Tasks); k += 3 {
		index, attempt, machineIndex := record.Tasks[k], ids.Attempt(record.Tasks[k+1]), record.Tasks[k+2]
		if index < 0 || index >= len(j.Tasks()) || machineIndex >= len(record.Machines) {
			return fmt.Errorf("load admission record %s/%d: task index %d or machine index %d out of range",
				j.ID, s.Number, index, machineIndex)
		}
		t := j.Task(index)
		j.LoadAttempt(s, index, attempt)
		if machineIndex < 0 || t.State() == cluster.TaskDone {
			continue
		}
		m := r.cluster.EnsureMachine(record.Machines[machineIndex])
		if m.Zone() == "" && machineIndex < len(record.Zones) {
			r.sites.setSite(m, placement.Site{Zone: record.Zones[machineIndex]}, "")
		}
		r.cluster.Inherit(j, index, m, ids.NewFencingToken(r.revision, 0)-1)
	}
	return nil
}

// observe processes a job's record as read from the key-value store. The job may be new or
// cancelled, or its record may have a revision that this leader has not seen.
func (r *jobRecordReader) observe(id ids.JobID, record *records.Job, revision ids.Revision) {
	j := r.cluster.Job(id)
	if j != nil && revision <= j.Records.Revision {
		return
	}
	if j == nil {
		if s := r.graph.ReadinessOf(id).State; record.Terminal() || s == dependency.Done || s == dependency.Cancelled {
			r.applyJobRecord(id, record) // the job has ended, but the record may be an older revision
			return
		}
		j = r.cluster.AddJob(id, record, revision)
		j.RebuildPending()
		r.applyJobRecord(id, record)
		return
	}
	j.Records.Revision = revision
	if record.Terminal() {
		if !j.Terminal() {
			r.lifecycle.endJob(j, record.Status)
		}
		r.records.cancelRecorded(j)
		r.applyJobRecord(id, record)
	}
}

// begin prepares the jobs for the term once all records are loaded. It visits the jobs in
// order of their IDs, because the order determines what is stopped, sent and written first.
func (r *jobRecordReader) begin() {
	for _, j := range r.cluster.SortedJobs() {
		j.RebuildSlices()
		r.syncDependencies(j)
		j.Queue.ReadyAt = r.readySince(j)
		j.Queue.WaitingSince = j.Queue.ReadyAt
		for _, s := range j.Slices() {
			r.records.markOversized(j, s)
		}
		if j.Terminal() {
			r.lifecycle.endJob(j, j.Status())
			if j.EndedMS() > 0 {
				r.cluster.SetEndedAt(j, r.instantOf(j.EndedMS()))
			}
			continue
		}
		j.RebuildPending()
		if j.Done() == len(j.Tasks()) {
			r.records.markCompletable(j)
		}
	}
}

// maxInheritedWait limits how long a job counts as having waited before the term began.
const maxInheritedWait = time.Hour

// readySince returns the instant at which a loaded job became ready to run.
func (r *jobRecordReader) readySince(j *cluster.Job) monotonic.Instant {
	return r.instantOf(j.Queue.ReadyMS)
}

// instantOf returns the instant of a Unix time in milliseconds before the term began, derived from the wall
// clock. It is at most maxInheritedWait before the current time, and it is the current time if the
// wall clock is not known.
func (r *jobRecordReader) instantOf(unixMS int64) monotonic.Instant {
	now := r.clock.Now()
	if r.clock.WallAtBeginMS() <= 0 {
		return now
	}
	age := time.Duration(r.clock.WallAtBeginMS()-unixMS) * time.Millisecond
	return now.Add(-min(max(age, 0), maxInheritedWait))
}

// applyJobRecord adds a job's record to the dependency graph and updates all jobs whose readiness or
// priority changes.
func (r *jobRecordReader) applyJobRecord(id ids.JobID, record *records.Job) {
	for _, other := range r.graph.Put(id, record.DependencyRecord()) {
		if j := r.cluster.Job(other); j != nil {
			r.syncDependencies(j)
		}
	}
}

// syncDependencies updates a job from the dependency graph: its priority, whether it may run, and
// whether it is cancelled because a job that it depends on is cancelled. A job that is cancelled this
// way never had a placed task. Users see it as cancelled immediately. Its own record is written later.
func (r *jobRecordReader) syncDependencies(j *cluster.Job) {
	if j.Terminal() {
		return
	}
	s := r.graph.ReadinessOf(j.ID)
	r.cluster.SetPriority(j, s.Priority)
	if j.Queue.OrderMS = s.ReadyMS; s.StartByMS != 0 {
		j.Queue.OrderMS = min(j.Queue.OrderMS, s.StartByMS)
	}
	switch {
	case s.State == dependency.Cancelled:
		r.records.markCascadedCancel(j)
		r.lifecycle.endJob(j, wire.JobCancelled)
	case s.State == dependency.Ready && !j.Queue.Ready:
		j.Queue.Ready, j.Queue.ReadyMS = true, s.ReadyMS
		j.Queue.ReadyAt, j.Queue.WaitingSince = r.clock.Now(), r.clock.Now()
		r.arrivals.recordArrival(j.Spec)
		r.rounds.MarkDue()
	}
	r.cluster.MarkWaiting(j)
}
