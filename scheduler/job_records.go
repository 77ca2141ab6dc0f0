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
// slices.
func (c *Core) LoadJob(id ids.JobID, record *records.Job, revision ids.Revision) {
	c.jobRecords.loadJob(id, record, revision)
}

// LoadUnreadableJob notes a job whose own record cannot be read. Its admission
// records are kept: they name the machines of its tasks, which are needed once the record is
// repaired.
func (c *Core) LoadUnreadableJob(id ids.JobID) {
	c.jobRecords.unreadable[id] = true
	c.previousLeaders.unclear = true
}

// LoadSlice loads an admission record at the start of the term.
func (c *Core) LoadSlice(id ids.JobID, n int, record *records.AdmissionSlice, revision ids.Revision) error {
	return c.jobRecords.loadSlice(id, n, record, revision)
}

// Suspend keeps a job from being placed, because it is not known where all its tasks may be.
// Other jobs are not affected.
func (c *Core) Suspend(id ids.JobID) {
	c.previousLeaders.unclear = true
	if j := c.cluster.Job(id); j != nil {
		j.Queue.Suspended = true
	}
}

// ObserveJob takes a job's record as found in the key-value store: new, cancelled or with a
// version that this leader did not know.
func (c *Core) ObserveJob(now monotonic.Instant, id ids.JobID, record *records.Job, revision ids.Revision) {
	c.clock.Set(now)
	c.jobRecords.observe(id, record, revision)
}

// EnableSplitRecords tells that every controller can read slices that were split. From now on
// records are split if they exceed the limit of the key-value store.
func (c *Core) EnableSplitRecords(now monotonic.Instant) {
	c.clock.Set(now)
	c.records.enableSplitting()
}

// jobIntake loads and observes the records of jobs and slices, and updates jobs when one that
// they depend on changes. It writes no record: recordWriter does.
type jobIntake struct {
	cluster *cluster.State
	clock   *clock.Clock
	rounds  *clock.RoundTrigger
	// graph holds all jobs with their dependencies.
	graph *dependency.Graph
	// unreadable are the jobs whose own record cannot be read.
	unreadable map[ids.JobID]bool
	lifecycle  jobEnder
	records    jobRecordMarks
	sites      siteRecorder
	arrivals   arrivalObserver
	// revision is that of the leader's key.
	revision ids.Revision
	// valueBytes bounds the JSON form of a record; 0: no bound.
	valueBytes int
}

// jobEnder ends jobs.
type jobEnder interface {
	endJob(j *cluster.Job, status wire.JobState)
}

// jobRecordMarks notes which records of jobs are to be written.
type jobRecordMarks interface {
	// markCascadedCancel notes that a job's own record does not say yet that it is cancelled.
	markCascadedCancel(j *cluster.Job)
	// cancelRecorded notes that the job's own record says so.
	cancelRecorded(j *cluster.Job)
	markOversized(j *cluster.Job, s *cluster.AdmissionSlice)
	markCompletable(j *cluster.Job)
}

// arrivalObserver learns from jobs that become ready.
type arrivalObserver interface {
	recordArrival(spec *wire.JobSpec)
}

// loadJob loads a job's record at the start of the term.
func (r *jobIntake) loadJob(id ids.JobID, record *records.Job, revision ids.Revision) {
	r.graph.Put(id, record.Dependencies())
	if record.Status == wire.JobDone || record.Spec == nil {
		return
	}
	r.cluster.AddJob(id, record, revision)
}

// loadSlice loads an admission record at the start of the term, after the jobs.
func (r *jobIntake) loadSlice(id ids.JobID, n int, record *records.AdmissionSlice, revision ids.Revision) error {
	if r.unreadable[id] {
		return nil
	}
	j := r.cluster.Job(id)
	if j == nil {
		// The job is done. The slice only has to be deleted.
		j = r.cluster.AddJob(id, &records.Job{Status: wire.JobDone}, 0)
	}
	// Splits add at most one slice for each task. Numbers may be unused.
	if !j.Terminal() && n >= len(j.Slices())+2*len(j.Tasks()) {
		return fmt.Errorf("admission record %s/%d lies outside its job", id, n)
	}
	j.GrowSlices(n + 1)
	s := j.Slices()[n]
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
func (r *jobIntake) loadPlacements(j *cluster.Job, s *cluster.AdmissionSlice, record *records.AdmissionSlice) error {
	for k := 0; k+2 < len(record.Tasks); k += 3 {
		index, attempt, machineIndex := record.Tasks[k], ids.Attempt(record.Tasks[k+1]), record.Tasks[k+2]
		if index < 0 || index >= len(j.Tasks()) || machineIndex >= len(record.Hosts) {
			return fmt.Errorf("admission record %s/%d names task %d on place %d", j.ID, s.Number, index, machineIndex)
		}
		t := j.Task(index)
		j.LoadAttempt(s, index, attempt)
		if machineIndex < 0 || t.State() == cluster.TaskDone {
			continue
		}
		m := r.cluster.EnsureMachine(record.Hosts[machineIndex])
		if m.Zone() == "" && machineIndex < len(record.Zones) {
			r.sites.setSite(m, placement.Site{Zone: record.Zones[machineIndex]}, "")
		}
		r.cluster.Inherit(j, index, m, ids.NewFencingToken(r.revision, 0)-1)
	}
	return nil
}

// observe takes a job's record as found in the key-value store: new, cancelled or with a
// version that this leader did not know.
func (r *jobIntake) observe(id ids.JobID, record *records.Job, revision ids.Revision) {
	j := r.cluster.Job(id)
	if j != nil && revision <= j.Records.Revision {
		return
	}
	if j == nil {
		if s := r.graph.ReadinessOf(id).State; record.Terminal() || s == dependency.Done || s == dependency.Cancelled {
			r.applyJobRecord(id, record) // the job has ended; the record may be an older one
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

// begin makes the jobs ready for the term once all records are loaded. It visits them by ID,
// since the order decides what is stopped, sent and written first.
func (r *jobIntake) begin() {
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
			continue
		}
		j.RebuildPending()
		if j.Done() == len(j.Tasks()) {
			r.records.markCompletable(j)
		}
	}
}

// maxInheritedWait bounds how long a job counts as having waited before the term began.
const maxInheritedWait = time.Hour

// readySince is when a loaded job became ready to run, as far as the time of day tells.
func (r *jobIntake) readySince(j *cluster.Job) monotonic.Instant {
	now := r.clock.Now()
	if r.clock.WallAtBeginMS() <= 0 {
		return now
	}
	age := time.Duration(r.clock.WallAtBeginMS()-j.Queue.ReadyMS) * time.Millisecond
	return now.Add(-min(max(age, 0), maxInheritedWait))
}

// applyJobRecord puts a job's record into the dependency graph and updates all jobs whose
// readiness or priority changes.
func (r *jobIntake) applyJobRecord(id ids.JobID, record *records.Job) {
	for _, other := range r.graph.Put(id, record.Dependencies()) {
		if j := r.cluster.Job(other); j != nil {
			r.syncDependencies(j)
		}
	}
}

// syncDependencies updates a job from the dependency graph: its priority, whether it may run,
// and whether it is cancelled because one that it depends on is. Such a job never had a task.
// Users see it as cancelled at once. Its own record is written later.
func (r *jobIntake) syncDependencies(j *cluster.Job) {
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
}
