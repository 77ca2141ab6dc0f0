package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// Job represents a job that has not ended, or that has ended and still has assignments or records.
type Job struct {
	ID   ids.JobID
	Spec *wire.JobSpec

	status wire.JobState
	// priority is the highest of the job's own priority and of those of the jobs that depend on it.
	priority wire.Priority
	tasks    []Task
	slices   []*AdmissionSlice
	pending  []int // indexes in descending order, so that the lowest is removed first
	done     int
	active   map[int]*Assignment
	zones    placement.TasksByZone
	endedAt  monotonic.Instant
	// endObservedAt is the time at which this controller set the terminal state.
	endObservedAt monotonic.Instant
	endedMS       int64
	started       bool

	Queue    JobQueue
	Failures JobFailures
	Records  JobRecords
}

// JobQueue holds the state that admission keeps for a job. Admission, reservations, preemption, and the
// processing of job records and dependencies write it. The zone gate sets the preferred zone. RetryAt is
// also set by the failure history, by heartbeat processing after an agent did not know a task, and by the
// record writer after the key-value store has refused a change.
type JobQueue struct {
	// ReadyMS is the wall-clock time in Unix milliseconds at which the job became ready to run.
	ReadyMS int64
	// OrderMS determines the order of jobs with the same priority. It is ReadyMS, or for a job of a
	// late pipeline the time at which the job should have started for the pipeline's last job to be
	// done in time.
	OrderMS int64
	// Ready reports whether all dependencies of the job are done.
	Ready bool
	// Suspended reports whether the job must not be placed because it is unknown where all its tasks
	// may be.
	Suspended bool
	ReadyAt   monotonic.Instant
	// WaitingSince is the time at which the job began to wait for its start. Admission sets it to
	// a later time when a reservation did not suffice.
	WaitingSince  monotonic.Instant
	ReservedSince monotonic.Instant // 0: no machine is reserved for the job
	RetryAt       monotonic.Instant // the job is not admitted before this time
	// BorrowOnly reports whether the job may only borrow quota, because a job of its team with a
	// higher priority must borrow.
	BorrowOnly bool
	// OnlyZone is set while admission tries one zone for a job that needs all its tasks in the same
	// zone.
	OnlyZone ids.Zone
	// AllowColdStart reports whether machines without the image may be used, because no machine with
	// the image can take the job's tasks.
	AllowColdStart bool
	// PreferredZone is the zone to which a replica that was stopped to be moved should go, until
	// PreferredUntil.
	PreferredZone  ids.Zone
	PreferredUntil monotonic.Instant
	// Listing, Place and Marked are used by the job queue alone. Listing is the number of the last list of
	// waiting jobs that contains the job. Marked reports whether the job may have begun to wait or may need
	// another place since the last list.
	Listing uint64
	Place   WaitingPlace
	Marked  bool
}

// WaitingPlace represents where the job queue keeps a job: nowhere, as a single job, or in a group of jobs that
// nothing distinguishes but their order.
type WaitingPlace struct {
	Single  bool
	Group   int // number of the group; 0: none
	OrderMS int64
}

// JobFailures holds a job's failures and run times. The failure history and the slowness detector write it.
type JobFailures struct {
	AntiAffinity map[ids.MachineID]monotonic.Instant // machines on which tasks failed, and when they last did
	Succeeded    int                                 // tasks
	FailedRounds int                                 // rounds of failing everywhere since the last success
	Backoff      time.Duration
	// ProbeAt is the time before which the job probes no quarantined machine, because ProbeBackoff has not passed
	// since its last probe failed.
	ProbeAt      monotonic.Instant
	ProbeBackoff time.Duration
	RunTimes     map[ids.MachineID][]time.Duration // of tasks that were observed from start to end
}

// JobRecords holds the state of a job's records in the key-value store. The record writer writes it. The
// processing of job records sets the revision that it has read.
type JobRecords struct {
	Revision ids.Revision // of the job's own record
	// CancelUnrecorded reports whether the job is cancelled because a job that it depends on was
	// cancelled, and its own record does not say so yet.
	CancelUnrecorded   bool
	Refusals           int  // consecutive changes that the key-value store refused
	CompletionInFlight bool // the change that completes the job is in flight
	// RereadAt is the time before which no change of the job is made, because its record is read again
	// or the last change was refused.
	RereadAt monotonic.Instant
}

// AdmissionSlice represents one admission record of a job and the tasks that it contains. Once the
// records are loaded, the record writer owns all fields except Tasks.
type AdmissionSlice struct {
	Number   int
	Revision ids.Revision // 0: no record
	InFlight bool         // a change of the record is in flight
	Tasks    []int        // ascending
	// Oversized reports whether the record exceeds the size limit of a value and was written anyway,
	// because older controllers cannot read a record that is split.
	Oversized bool
}

// Status returns the job's state.
func (j *Job) Status() wire.JobState { return j.status }

// Terminal reports whether the job has reached a final state: done or cancelled.
func (j *Job) Terminal() bool { return j.status != wire.JobQueued }

// Priority returns the job's effective priority: the highest of its own and of those of the jobs that
// depend on it.
func (j *Job) Priority() wire.Priority { return j.priority }

// Tasks returns the job's tasks by index. The caller must not modify the list.
func (j *Job) Tasks() []Task { return j.tasks }

// Task returns the task with an index.
func (j *Job) Task(index int) *Task { return &j.tasks[index] }

// Pending returns the indexes of the tasks that wait to be placed, in descending order. The
// caller must not modify the list.
func (j *Job) Pending() []int { return j.pending }

// Done returns the number of tasks that are done.
func (j *Job) Done() int { return j.done }

// Active returns the job's assignments by task index. The caller must not modify the map.
func (j *Job) Active() map[int]*Assignment { return j.active }

// Assignments returns a copy of the job's assignments, sorted by task index. Tasks may be placed and
// released while iterating over it.
func (j *Job) Assignments() []*Assignment {
	return slices.SortedFunc(maps.Values(j.active), func(a, b *Assignment) int { return a.Index - b.Index })
}

// Zones returns the number of the job's assignments by zone. The caller must not modify it.
func (j *Job) Zones() placement.TasksByZone { return j.zones }

// EndedAt returns the time at which this controller set the job's terminal state or, if an earlier time is known
// from the record, that time.
func (j *Job) EndedAt() monotonic.Instant { return j.endedAt }

// EndObservedAt returns the time at which this controller set the job's terminal state, or the time at which the term
// began if that was loaded.
func (j *Job) EndObservedAt() monotonic.Instant { return j.endObservedAt }

// EndedMS returns the time at which the job ended according to the record that was loaded, as Unix time in
// milliseconds, or 0 if it is not known.
func (j *Job) EndedMS() int64 { return j.endedMS }

// Started reports whether a task of the job was ever placed.
func (j *Job) Started() bool { return j.started }

// Amount returns the quota that one task uses.
func (j *Job) Amount() quota.Amount { return quota.Amount{CPUs: j.Spec.CPUs, GPUs: j.Spec.GPUs} }

// TaskResources returns the resources that one task needs.
func (j *Job) TaskResources() placement.Resources { return placement.TaskResources(j.ID, j.Spec) }

// NeedsAllTasks reports whether all pending tasks must be placed together: those of a gang
// always, those of a service when it starts.
func (j *Job) NeedsAllTasks() bool {
	return j.Spec.Gang || j.Spec.Service && len(j.active) == 0
}

// TasksTogether returns the number of pending tasks that must be placed together.
func (j *Job) TasksTogether() int {
	if j.NeedsAllTasks() {
		return len(j.pending)
	}
	return 1
}

// Slices returns the job's admission records by number. The caller must not modify the list.
func (j *Job) Slices() []*AdmissionSlice { return j.slices }

// GrowSlices adds admission records until there are at least n.
func (j *Job) GrowSlices(n int) {
	for len(j.slices) < n {
		j.slices = append(j.slices, &AdmissionSlice{Number: len(j.slices)})
	}
}

// RebuildSlices recomputes the list of tasks of each admission record.
func (j *Job) RebuildSlices() {
	for _, s := range j.slices {
		s.Tasks = s.Tasks[:0]
	}
	for i := range j.tasks {
		s := j.tasks[i].slice
		s.Tasks = append(s.Tasks, i)
	}
}

// MoveToSlice moves tasks to an admission record and replaces its list of tasks with them.
func (j *Job) MoveToSlice(s *AdmissionSlice, tasks []int) {
	s.Tasks = tasks
	for _, i := range tasks {
		j.tasks[i].slice = s
	}
}

// LoadDone marks the tasks as done that an admission record lists as done. It returns an error if the
// record lists a task that the job does not have.
func (j *Job) LoadDone(s *AdmissionSlice, done []int) error {
	for _, i := range done {
		if i < 0 || i >= len(j.tasks) {
			return fmt.Errorf("load admission record %s/%d: task %d does not exist", j.ID, s.Number, i)
		}
		j.tasks[i].slice = s
		if j.tasks[i].state != TaskDone {
			j.tasks[i].state = TaskDone
			j.done++
		}
	}
	return nil
}

// LoadAttempt sets the last attempt of a task from its admission record.
func (j *Job) LoadAttempt(s *AdmissionSlice, index int, attempt ids.Attempt) {
	j.tasks[index].attempt, j.tasks[index].slice = attempt, s
}

// RebuildPending recomputes the list of tasks that wait to be placed.
func (j *Job) RebuildPending() {
	j.pending = j.pending[:0]
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if j.tasks[i].state == TaskPending {
			j.pending = append(j.pending, i)
		}
	}
}

// AddJob adds a job from its record.
func (s *State) AddJob(id ids.JobID, record *records.Job, revision ids.Revision) *Job {
	now := s.clock.Now()
	j := &Job{ID: id, Spec: record.Spec, status: record.Status, active: map[int]*Assignment{}, zones: placement.TasksByZone{},
		Queue:   JobQueue{ReadyMS: record.SubmittedMS, OrderMS: record.SubmittedMS, ReadyAt: now, WaitingSince: now},
		Records: JobRecords{Revision: revision}, endedMS: record.DoneMS}
	if j.Spec == nil {
		j.Spec = &wire.JobSpec{Tasks: record.Tasks}
	}
	j.priority = j.Spec.Priority
	j.tasks = make([]Task, j.Spec.Tasks)
	perSlice := s.settings.SliceTasks
	j.GrowSlices((len(j.tasks) + perSlice - 1) / perSlice)
	for i := range j.tasks {
		j.tasks[i].slice = j.slices[i/perSlice]
	}
	j.RebuildSlices()
	s.jobs[id] = j
	return j
}

// EndJob sets a job's terminal state. None of its tasks is pending afterwards. The caller must stop
// the tasks that are on machines.
func (s *State) EndJob(j *Job, status wire.JobState) {
	j.status = status
	j.pending = nil
	j.endedAt, j.endObservedAt = s.clock.Now(), s.clock.Now()
}

// SetEndedAt sets the time at which a job ended to an earlier time.
func (*State) SetEndedAt(j *Job, at monotonic.Instant) { j.endedAt = min(j.endedAt, at) }

// RemoveJob removes a job that has no assignments.
func (s *State) RemoveJob(j *Job) { delete(s.jobs, j.ID) }

// SetPriority changes a job's effective priority, and moves its assignments to the workload of that
// priority.
func (s *State) SetPriority(j *Job, p wire.Priority) {
	if p == j.priority {
		return
	}
	s.MarkWaiting(j)
	for _, a := range j.active {
		s.countWorkload(a, -1)
	}
	j.priority = p
	for _, a := range j.active {
		s.countWorkload(a, 1)
	}
	s.rounds.MarkDue()
}

// CompareJobs orders jobs by ID.
func CompareJobs(a, b *Job) int { return strings.Compare(string(a.ID), string(b.ID)) }

// SortedByID returns a set of jobs, sorted by ID.
func SortedByID(set map[*Job]bool) []*Job { return slices.SortedFunc(maps.Keys(set), CompareJobs) }
