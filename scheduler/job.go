package scheduler

import (
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

// taskState is where a task of a job stands.
type taskState uint8

const (
	taskPending taskState = iota
	taskAssigned
	taskDone
)

// task is one task of a job.
type task struct {
	attempt    ids.Attempt
	state      taskState
	assignment *assignment
	slice      *admissionSlice // whose record it belongs to
}

// admissionSlice is one admission record of a job and the tasks that it is for.
type admissionSlice struct {
	number     int
	revision   ids.Revision // 0: no record
	dirty      bool
	dirtySince monotonic.Instant
	urgent     bool // holds placements that are not recorded
	inFlight   bool
	tasks      []int // ascending
	// oversized tells that the record is beyond ValueBytes and was written all the
	// same, since older controllers could not read it in parts.
	oversized bool
}

// job is what the core knows of one job.
type job struct {
	id       ids.JobID
	spec     *wire.JobSpec
	revision ids.Revision
	// readyMS is the time of day when the job was ready to run.
	readyMS int64
	// orderMS orders jobs of a priority: readyMS, or for a pipeline that is late, when
	// this job should have started for the last one to be done in time.
	orderMS int64
	status  wire.JobState
	// priority is the job's own or that of one that depends on it.
	priority wire.Priority
	// ready tells that all that the job depends on is done.
	ready bool
	// cancelUnrecorded tells that it is cancelled with a job that it depends on, but
	// its own record does not say so yet.
	cancelUnrecorded bool
	refusals         int // changes in a row that the state service would not take
	tasks            []task
	slices           []*admissionSlice
	pending          []int // descending, so that the lowest is popped first
	done             int
	active           map[int]*assignment
	zones            placement.TasksByZone
	// completing tells that the commit of done is on its way.
	completing  bool
	cancelledAt monotonic.Instant
	retryAt     monotonic.Instant
	rereadAt    monotonic.Instant // no change before, the record is being read again
	backoff     time.Duration
	deferred    bool     // goes with the borrowers, behind higher work of its team
	onlyZone    ids.Zone // while a zone is tried for a job that needs one
	// started tells that one of its tasks was placed once.
	started   bool
	suspended bool // see Suspend
	readyAt   monotonic.Instant
	// waitingSince is since when it could not start; a reservation that did not
	// suffice moves it.
	waitingSince  monotonic.Instant
	reservedSince monotonic.Instant // 0: no machine is reserved for it
	// allowColdStart tells that no machine which holds the image can take the job's
	// tasks, so others may.
	allowColdStart bool
	// preferredZone is where a replica that was stopped to be moved should go, until
	// preferredUntil.
	preferredZone  ids.Zone
	preferredUntil monotonic.Instant
	antiAffinity   map[ids.MachineID]monotonic.Instant // where it failed, and when last
	succeeded      int
	failureRounds  int                               // in which it failed everywhere, since it last succeeded
	runTimes       map[ids.MachineID][]time.Duration // tasks that were seen from start to end
}

// terminal tells whether the job is done or cancelled, for good.
func (j *job) terminal() bool { return j.status != wire.JobQueued }

// amount is what one task takes of its team's quota.
func (j *job) amount() quota.Amount { return quota.Amount{CPUs: j.spec.CPUs, GPUs: j.spec.GPUs} }

// needsAllTasks tells whether all waiting tasks of a job must be placed together: those
// of a gang always, those of a service when it starts.
func (j *job) needsAllTasks() bool { return j.spec.Gang || j.spec.Service && len(j.active) == 0 }

// tasksTogether is how many of a job's waiting tasks must find room at once.
func (j *job) tasksTogether() int {
	if j.needsAllTasks() {
		return len(j.pending)
	}
	return 1
}

// probing tells whether a job has failed everywhere for so long that only one task at a
// time is tried, like a half-open circuit breaker: it must not hold room that others need
// until its user cancels it.
func (j *job) probing() bool { return j.failureRounds >= probingAfterRounds && !j.needsAllTasks() }

// growSlices makes room for slices with numbers below n.
func (j *job) growSlices(n int) {
	for len(j.slices) < n {
		j.slices = append(j.slices, &admissionSlice{number: len(j.slices)})
	}
}

// rebuildSlices lists the tasks of each slice anew.
func (j *job) rebuildSlices() {
	for _, s := range j.slices {
		s.tasks = s.tasks[:0]
	}
	for i := range j.tasks {
		s := j.tasks[i].slice
		s.tasks = append(s.tasks, i)
	}
}

// newJob makes a job from its record.
func (c *Core) newJob(id ids.JobID, rec *records.Job, revision ids.Revision) *job {
	j := &job{id: id, spec: rec.Spec, revision: revision, readyMS: rec.SubmittedMS, orderMS: rec.SubmittedMS, status: rec.Status,
		active: map[int]*assignment{}, zones: placement.TasksByZone{}, readyAt: c.now, waitingSince: c.now}
	if j.spec == nil {
		j.spec = &wire.JobSpec{Tasks: rec.Tasks}
	}
	j.priority = j.spec.Priority
	j.tasks = make([]task, j.spec.Tasks)
	per := c.opt.SliceTasks
	j.growSlices((len(j.tasks) + per - 1) / per)
	for i := range j.tasks {
		j.tasks[i].slice = j.slices[i/per]
	}
	j.rebuildSlices()
	return j
}

// compareJobs orders jobs by id.
func compareJobs(a, b *job) int { return strings.Compare(string(a.id), string(b.id)) }

// jobsByID lists a set of jobs by id.
func jobsByID(m map[*job]bool) []*job { return slices.SortedFunc(maps.Keys(m), compareJobs) }

// sortedJobs lists all jobs by id. Whatever may reach a decision goes through them
// in this order, never in that of the map: the same events must give the same
// decisions.
func (c *Core) sortedJobs() []*job { return slices.SortedFunc(maps.Values(c.jobs), compareJobs) }
