package scheduler

import (
	"slices"
	"strings"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// reportedTask is one entry of a worker's newest report.
type reportedTask struct {
	ref     ids.TaskRef
	attempt ids.Attempt
	state   wire.TaskState
	cause   wire.ExitCause
}

// cachedImage is an image in a machine's cache.
type cachedImage struct {
	sizeGB float64
	usedAt monotonic.Instant
}

// machine is what the core knows of one machine.
type machine struct {
	placement.Site
	host           ids.MachineID
	endpoint       string
	machineType    *wire.MachineType
	total          placement.Resources
	used           placement.Resources
	unrecorded     placement.Resources
	unrecordedJobs []*job // whose tasks the strays are, for the books
	knownSince     monotonic.Instant
	bootDeadline   monotonic.Instant

	reported   bool
	session    ids.AgentIncarnation
	sequence   ids.Sequence
	token      ids.FencingToken // highest that the worker has shown
	lastHeard  monotonic.Instant
	answeredAt monotonic.Instant
	fenced     bool
	fencedAt   monotonic.Instant
	counter    uint64

	// hadReplicas tells that a replica was recorded on it when this term began.
	hadReplicas bool
	// rentedThisTerm tells that it cannot have been returned before, and answeredCall
	// that it answered a call of this leader.
	rentedThisTerm, answeredCall bool
	// commandsLostUntil tells that it reports, but that what it is told does not reach it.
	unreachable      bool
	unreachableSince monotonic.Instant
	// reservedFor is the job that alone may use the machine's free room; nil: all.
	reservedFor *job

	queued          bool // in Core.hot
	callInFlight    bool
	callRetryAt     monotonic.Instant
	callFailed      bool             // nothing heard since a direct command failed
	directRunToken  ids.FencingToken // highest under which a direct run was sent
	reportRequested bool
	requestReportAt monotonic.Instant

	tasks map[ids.TaskRef]*assignment
	// taskList holds the tasks by job and index; staying, replicas and fetches count
	// those that are not told to stop, fetches by image.
	taskList []*assignment
	staying  int
	replicas int
	fetches  map[ids.Image]int
	// planRound, plannedFree and victimCache belong to one round of preemption.
	planRound     uint64
	plannedFree   placement.Resources
	victimCache   []victim
	reportedTasks []reportedTask
	images        map[ids.Image]*cachedImage

	takenBy        monotonic.Instant // 0: no notice
	listedStatus   wire.MachineStatus
	missingLists   int // machine lists in a row without it, after it was listed
	returning      bool
	returnInFlight bool // a return call is on its way
	returned       bool // the cloud has said that it is gone
	idleSince      monotonic.Instant

	// failuresByJob counts failed tasks since the last that succeeded.
	failuresByJob          map[ids.JobID]int
	quarantinedUntil       monotonic.Instant
	quarantinedForFailures bool // the quarantine is for its errors
	lastFailure            monotonic.Instant
	// slowness is a running mean of how many times as long tasks took here as others
	// of their jobs did, as a power of 2.
	slowness   float64
	slowUntil  monotonic.Instant
	slowStreak int // jobs in a row that found the machine slow
}

// free is the room that is left on the machine.
func (m *machine) free() placement.Resources { return m.total.Minus(m.used).Minus(m.unrecorded) }

// findReported finds an attempt of a task in the newest report, or returns nil.
func (m *machine) findReported(ref ids.TaskRef, attempt ids.Attempt) *reportedTask {
	for i := range m.reportedTasks {
		if m.reportedTasks[i].ref == ref && m.reportedTasks[i].attempt == attempt {
			return &m.reportedTasks[i]
		}
	}
	return nil
}

// reportsTask tells whether the newest report shows any attempt of a task.
func (m *machine) reportsTask(ref ids.TaskRef) bool {
	for i := range m.reportedTasks {
		if m.reportedTasks[i].ref == ref {
			return true
		}
	}
	return false
}

// tasksSnapshot lists the assignments by job and index. The snapshot stays valid while
// tasks come and go.
func (m *machine) tasksSnapshot() []*assignment { return slices.Clone(m.taskList) }

// compareTasks orders assignments by job and index.
func compareTasks(a, b *assignment) int {
	if a.job.id != b.job.id {
		return strings.Compare(string(a.job.id), string(b.job.id))
	}
	return a.index - b.index
}

// addTask counts an assignment on the machine.
func (m *machine) addTask(a *assignment) {
	m.tasks[a.ref()] = a
	i, _ := slices.BinarySearchFunc(m.taskList, a, compareTasks)
	m.taskList = slices.Insert(m.taskList, i, a)
	if a.stopReason == stopNone {
		m.countActive(a, 1)
	}
}

// removeTask undoes addTask.
func (m *machine) removeTask(a *assignment) {
	delete(m.tasks, a.ref())
	if i, ok := slices.BinarySearchFunc(m.taskList, a, compareTasks); ok {
		m.taskList = slices.Delete(m.taskList, i, i+1)
	}
	if a.stopReason == stopNone {
		m.countActive(a, -1)
	}
}

// countActive keeps the tallies of tasks that are not told to stop.
func (m *machine) countActive(a *assignment, n int) {
	m.staying += n
	if a.job.spec.Service {
		m.replicas += n
	}
	if m.fetches[a.job.spec.Image] += n; m.fetches[a.job.spec.Image] == 0 {
		delete(m.fetches, a.job.spec.Image)
	}
}
