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

// Job is a job that has not ended, or one that has ended and still has tasks or records.
type Job struct {
	ID   ids.JobID
	Spec *wire.JobSpec

	status wire.JobState
	// priority is the job's own or that of one that depends on it.
	priority    wire.Priority
	tasks       []Task
	slices      []*AdmissionSlice
	pending     []int // indexes in descending order, so that the lowest is popped first
	done        int
	active      map[int]*Assignment
	zones       placement.TasksByZone
	cancelledAt monotonic.Instant
	started     bool

	Queue    JobQueue
	Failures JobFailures
	Records  JobRecords
}

// JobQueue is what admission notes about a job. Admission, preemption and the events of
// job records and dependencies write it; record writing sets RetryAt after a refusal.
type JobQueue struct {
	// ReadyMS is the time of day in Unix milliseconds when the job was ready to run.
	ReadyMS int64
	// OrderMS orders the jobs of a priority: ReadyMS, or for a late pipeline the time at
	// which this job should have started for the last one to be done in time.
	OrderMS int64
	// Ready tells that all dependencies of the job are done.
	Ready bool
	// Suspended keeps the job from being placed, as it is not known where all its tasks
	// may be.
	Suspended bool
	ReadyAt   monotonic.Instant
	// WaitingSince is when the job began to wait for its start. Admission sets it to
	// a later time when a reservation did not suffice.
	WaitingSince  monotonic.Instant
	ReservedSince monotonic.Instant // 0: no machine is reserved for the job
	RetryAt       monotonic.Instant // no admission before
	BorrowOnly    bool              // must borrow: a job of its team with a higher priority must
	OnlyZone      ids.Zone          // set while admission tries one zone for a job that needs all tasks in one
	// AllowColdStart tells that no machine with the image can take the job's tasks, so
	// others may.
	AllowColdStart bool
	// PreferredZone is where a replica that was stopped to be moved should go, until
	// PreferredUntil.
	PreferredZone  ids.Zone
	PreferredUntil monotonic.Instant
}

// JobFailures is what is known of a job's failures and run times. The failure and slow
// machine policies write it.
type JobFailures struct {
	AntiAffinity map[ids.MachineID]monotonic.Instant // where tasks failed, and when last
	Succeeded    int                                 // tasks
	FailedRounds int                                 // in which it failed everywhere, since a task last succeeded
	Backoff      time.Duration
	RunTimes     map[ids.MachineID][]time.Duration // of tasks that were seen from start to end
}

// JobRecords is the state of a job's records in the key-value store. Record writing writes
// it.
type JobRecords struct {
	Revision ids.Revision // of the job's own record
	// CancelUnrecorded tells that the job is cancelled with one that it depends on, but its
	// own record does not say so yet.
	CancelUnrecorded   bool
	Refusals           int               // changes in a row that the key-value store refused
	CompletionInFlight bool              // the change that completes the job is in flight
	RereadAt           monotonic.Instant // no change before: the record is being read again
}

// AdmissionSlice is one admission record of a job and the tasks that it is for. Record
// writing owns all fields but Tasks.
type AdmissionSlice struct {
	Number   int
	Revision ids.Revision // 0: no record
	InFlight bool         // a change of the record is in flight
	Tasks    []int        // ascending
	// Oversized tells that the record exceeds the limit for a value and was written all the
	// same, since older controllers cannot read it in parts.
	Oversized bool
}

// Status is the job's state.
func (j *Job) Status() wire.JobState { return j.status }

// Terminal tells whether the job is done or cancelled, which are final.
func (j *Job) Terminal() bool { return j.status != wire.JobQueued }

// Priority is the job's effective priority: the highest of its own and of the jobs that
// depend on it.
func (j *Job) Priority() wire.Priority { return j.priority }

// Tasks lists the job's tasks by index. The caller must not change the list.
func (j *Job) Tasks() []Task { return j.tasks }

// Task is the task with an index.
func (j *Job) Task(index int) *Task { return &j.tasks[index] }

// Pending lists the indexes of the tasks that wait to be placed, in descending order. The
// caller must not change the list.
func (j *Job) Pending() []int { return j.pending }

// Done is how many tasks are done.
func (j *Job) Done() int { return j.done }

// Active holds the job's assignments by task index. The caller must not change the map.
func (j *Job) Active() map[int]*Assignment { return j.active }

// Assignments lists the job's assignments by task index. The list stays valid while tasks
// come and go.
func (j *Job) Assignments() []*Assignment {
	return slices.SortedFunc(maps.Values(j.active), func(a, b *Assignment) int { return a.Index - b.Index })
}

// Zones counts the job's assignments by zone. The caller must not change it.
func (j *Job) Zones() placement.TasksByZone { return j.zones }

// EndedAt is when the job ended.
func (j *Job) EndedAt() monotonic.Instant { return j.cancelledAt }

// Started tells whether a task of the job was ever placed.
func (j *Job) Started() bool { return j.started }

// Amount is the quota that one task takes.
func (j *Job) Amount() quota.Amount { return quota.Amount{CPUs: j.Spec.CPUs, GPUs: j.Spec.GPUs} }

// NeedsAllTasks tells whether all pending tasks must be placed together: those of a gang
// always, those of a service when it starts.
func (j *Job) NeedsAllTasks() bool {
	return j.Spec.Gang || j.Spec.Service && len(j.active) == 0
}

// TasksTogether is how many of the pending tasks must be placed at once.
func (j *Job) TasksTogether() int {
	if j.NeedsAllTasks() {
		return len(j.pending)
	}
	return 1
}

// Slices lists the job's admission records by number. The caller must not change the list.
func (j *Job) Slices() []*AdmissionSlice { return j.slices }

// GrowSlices adds admission records until there are at least n.
func (j *Job) GrowSlices(n int) {
	for len(j.slices) < n {
		j.slices = append(j.slices, &AdmissionSlice{Number: len(j.slices)})
	}
}

// RebuildSlices updates the list of tasks of each admission record.
func (j *Job) RebuildSlices() {
	for _, s := range j.slices {
		s.Tasks = s.Tasks[:0]
	}
	for i := range j.tasks {
		s := j.tasks[i].slice
		s.Tasks = append(s.Tasks, i)
	}
}

// MoveToSlice moves tasks to an admission record, as its only ones.
func (j *Job) MoveToSlice(s *AdmissionSlice, tasks []int) {
	s.Tasks = tasks
	for _, i := range tasks {
		j.tasks[i].slice = s
	}
}

// LoadDone marks the tasks that an admission record says are done. It fails if one is not a task
// of the job.
func (j *Job) LoadDone(s *AdmissionSlice, done []int) error {
	for _, i := range done {
		if i < 0 || i >= len(j.tasks) {
			return fmt.Errorf("admission record %s/%d names task %d", j.ID, s.Number, i)
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

// RebuildPending updates the list of tasks that wait to be placed.
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
		Records: JobRecords{Revision: revision}}
	if j.Spec == nil {
		j.Spec = &wire.JobSpec{Tasks: record.Tasks}
	}
	j.priority = j.Spec.Priority
	j.tasks = make([]Task, j.Spec.Tasks)
	per := s.settings.SliceTasks
	j.GrowSlices((len(j.tasks) + per - 1) / per)
	for i := range j.tasks {
		j.tasks[i].slice = j.slices[i/per]
	}
	j.RebuildSlices()
	s.jobs[id] = j
	return j
}

// EndJob sets a job's terminal state. None of its tasks is pending any more. The caller stops
// those on machines.
func (s *State) EndJob(j *Job, status wire.JobState) {
	j.status = status
	j.pending = nil
	j.cancelledAt = s.clock.Now()
}

// RemoveJob forgets a job that has no assignment left.
func (s *State) RemoveJob(j *Job) { delete(s.jobs, j.ID) }

// SetPriority changes a job's effective priority, with its assignments.
func (s *State) SetPriority(j *Job, p wire.Priority) {
	if p == j.priority {
		return
	}
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

// SortedByID lists a set of jobs by ID.
func SortedByID(set map[*Job]bool) []*Job { return slices.SortedFunc(maps.Keys(set), CompareJobs) }
