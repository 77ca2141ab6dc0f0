package cluster

import (
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// Machine represents a machine that the cloud provisioned or listed, that sent a heartbeat, or that the
// records name, until it is known to be terminated.
type Machine struct {
	ID ids.MachineID // never changes

	site        placement.Site
	endpoint    string
	machineType *wire.MachineType
	total       placement.Resources
	used        placement.Resources
	// unrecorded is the sum of the resources of the tasks that run on the machine without an
	// assignment to it, and unrecordedJobs holds the job of each such task.
	unrecorded     placement.Resources
	unrecordedJobs []*Job
	// leavingBytes is the space that tasks take in the newest heartbeat although neither of the sums
	// counts them: tasks that ended and wait for a reap command, and tasks of unknown jobs.
	leavingBytes int

	byRef map[ids.TaskRef]*Assignment
	// assignments holds the same assignments, sorted by job and index. notStopping, replicas and
	// notStoppingByImage count those that are not stopping.
	assignments        []*Assignment
	notStopping        int
	replicas           int
	notStoppingByImage map[ids.Image]int
	images             map[ids.Image]*CachedImage

	Lifecycle  MachineLifecycle
	Agent      AgentStatus
	Commands   MachineCommands
	Health     MachineHealth
	Admission  MachineAdmission
	Preemption MachinePreemption
}

// MachineLifecycle holds the state of a machine from its provisioning to its termination. The machine
// registry, the autoscaler and heartbeat processing write it. State updates IdleSince and BootDeadline.
type MachineLifecycle struct {
	KnownSince   monotonic.Instant
	BootDeadline monotonic.Instant // deadline of the first heartbeat; 0: unknown
	// IdleSince is the time at which the machine last had an assignment, or of its first heartbeat of
	// the term if that was later.
	IdleSince           monotonic.Instant
	ProvisionedThisTerm bool // by this leader, so no previous leader can have terminated it
	ListedStatus        wire.MachineStatus
	MissingLists        int // consecutive machine lists that lack it; see machineRegistry.countMissing
	// Terminating reports whether it has been decided to terminate the machine, and Terminated whether
	// the cloud has confirmed the termination.
	Terminating, Terminated bool
}

// AgentStatus holds what the machine's agent has sent and when it was answered. Heartbeat processing
// writes it, except HadReplicas and HadCancelledTask, which previousLeaders sets.
type AgentStatus struct {
	HeartbeatThisTerm bool // at least one heartbeat was received in this term
	Incarnation       ids.AgentIncarnation
	Sequence          ids.Sequence
	FencingToken      ids.FencingToken // highest token that the agent has reported, unless it has restarted since
	LastHeartbeat     monotonic.Instant
	AnsweredAt        monotonic.Instant // when the newest heartbeat that this leader answered was received
	AnsweredCall      bool              // the agent answered a call of this leader
	// Fenced reports whether the agent has reported a fencing token of this leader.
	Fenced   bool
	FencedAt monotonic.Instant
	// NewestReport is the version of the newest heartbeat that the agent sent by itself, not in response to
	// a call.
	NewestReport HeartbeatVersion
	// RequiredToken is the token that the agent must show because it has restarted, or may have; 0: none.
	RequiredToken ids.FencingToken
	// RestartSuspectedAt is when the first heartbeat arrived that may come from the agent after a restart
	// or be a duplicate; 0 if a newer one has arrived since.
	RestartSuspectedAt monotonic.Instant
	// HadReplicas reports whether a replica was recorded on the machine when this term began.
	HadReplicas bool
	// HadCancelledTask reports whether the machine held a task of a cancelled job while a previous
	// leader could terminate it for that.
	HadCancelledTask bool
	ReportedTasks    []ReportedTask
}

// MachineCommands holds the state of the calls to the machine. Command dispatch writes it.
type MachineCommands struct {
	TokenCounter       uint64
	Queued             bool // queued as a machine to which a command may have to be sent
	CallInFlight       bool
	CallRetryAt        monotonic.Instant
	CallFailed         bool             // no heartbeat was received since a call failed
	DirectRunToken     ids.FencingToken // highest token under which a direct call carried a run command
	HeartbeatRequested bool
	RequestHeartbeatAt monotonic.Instant
	VerifyRestart      bool // a heartbeat is requested because the agent may have restarted
	// CommandsSentAfter and RequestSentAfter hold the version of the newest heartbeat when the last call
	// with commands and the last request for a heartbeat were sent.
	CommandsSentAfter, RequestSentAfter HeartbeatVersion
}

// MachineHealth holds the health of a machine. The health monitor, the failure history and the slowness
// detector write it.
type MachineHealth struct {
	// Unreachable reports whether commands do not reach the machine although its heartbeats arrive.
	Unreachable      bool
	UnreachableSince monotonic.Instant
	SpotReclaimAt    monotonic.Instant // when the cloud reclaims the spot instance; 0: no notice
	// FailuresByJob counts the failed tasks of each job since a task last succeeded on the machine.
	FailuresByJob          map[ids.JobID]int
	QuarantinedUntil       monotonic.Instant
	QuarantinedForFailures bool // quarantined for failures rather than for slowness
	LastFailure            monotonic.Instant
	// Probe is the task that finds out whether the quarantined machine works; nil: none. ProbeAt is the
	// time before which no further one starts, and FailedProbes the number of probes that have failed.
	Probe        *Assignment
	ProbeAt      monotonic.Instant
	FailedProbes int
	// Slowness is the moving average of the base-2 logarithm of the ratio between the run time of tasks
	// here and that of other tasks of the same job elsewhere.
	Slowness   float64
	SlowUntil  monotonic.Instant
	SlowStreak int // consecutive jobs after which Slowness was at the limit or above
}

// EndQuarantine ends a machine's quarantine.
func (h *MachineHealth) EndQuarantine() {
	h.QuarantinedUntil, h.QuarantinedForFailures = 0, false
	h.Probe, h.ProbeAt, h.FailedProbes = nil, 0, 0
}

// MachineAdmission holds the state that admission keeps for a machine. Only reservations write it.
type MachineAdmission struct {
	// ReservedFor is the job for which the machine is reserved; nil: none. Which other jobs may still
	// use the machine depends on their priority.
	ReservedFor *Job
}

// MachinePreemption holds the state that one round of preemption keeps for a machine. The preemption
// policy writes it.
type MachinePreemption struct {
	Round uint64 // round that the state belongs to; the state of an earlier round is stale
	// ExpectedFree is the resources that will be free when all stopping tasks have ended and the
	// tasks for which resources are being freed have been placed.
	ExpectedFree placement.Resources
	Victims      []Victim // in order of ascending cost; nil: not listed in this round
}

// Victim represents a task that may be preempted, and the cost of preempting it in weighted CPU
// seconds.
type Victim struct {
	Assignment *Assignment
	Cost       float64
}

// ReportedTask represents one task in the newest heartbeat.
type ReportedTask struct {
	Ref     ids.TaskRef
	Attempt ids.Attempt
	State   wire.TaskState
	Cause   wire.ExitCause
}

// Version returns the version of the newest heartbeat.
func (a *AgentStatus) Version() HeartbeatVersion {
	return HeartbeatVersion{a.FencingToken, a.Incarnation, a.Sequence}
}

// Site returns the machine's type, zone and purchase option.
func (m *Machine) Site() placement.Site { return m.site }

// Type returns the name of the machine's type; "" while it is unknown.
func (m *Machine) Type() ids.MachineType { return m.site.Type }

// Zone returns the machine's zone; "" while it is unknown.
func (m *Machine) Zone() ids.Zone { return m.site.Zone }

// Spot reports whether the machine is a spot instance.
func (m *Machine) Spot() bool { return m.site.Spot }

// Endpoint returns the agent's address; "" if it is unknown.
func (m *Machine) Endpoint() string { return m.endpoint }

// MachineType returns the machine's type; nil while it is unknown or not in the catalog.
func (m *Machine) MachineType() *wire.MachineType { return m.machineType }

// Total returns the machine's capacity.
func (m *Machine) Total() placement.Resources { return m.total }

// Used returns the resources that the assignments use.
func (m *Machine) Used() placement.Resources { return m.used }

// Unrecorded returns the resources of the tasks that run on the machine without an assignment to it.
func (m *Machine) Unrecorded() placement.Resources { return m.unrecorded }

// Free returns the capacity that is not in use.
func (m *Machine) Free() placement.Resources {
	return m.FreeAfterReaping().Minus(placement.Resources{HeartbeatBytes: m.leavingBytes})
}

// FreeAfterReaping returns the capacity that is not in use once the agent has reaped the tasks that
// have ended, which takes a few heartbeats.
func (m *Machine) FreeAfterReaping() placement.Resources {
	return m.total.Minus(m.used).Minus(m.unrecorded)
}

// Assignments returns the assignments, sorted by job and index. The caller must not modify the list,
// nor release a task while iterating over it.
func (m *Machine) Assignments() []*Assignment { return m.assignments }

// AssignmentsSnapshot returns a copy of the assignments, sorted by job and index. Tasks may be placed
// and released while iterating over it.
func (m *Machine) AssignmentsSnapshot() []*Assignment { return slices.Clone(m.assignments) }

// Assignment returns the assignment of a task, or nil.
func (m *Machine) Assignment(ref ids.TaskRef) *Assignment { return m.byRef[ref] }

// NotStopping returns the number of assignments that are not stopping.
func (m *Machine) NotStopping() int { return m.notStopping }

// Replicas returns the number of replicas of services that are not stopping.
func (m *Machine) Replicas() int { return m.replicas }

// NotStoppingWithImage returns the number of assignments with an image that are not stopping.
func (m *Machine) NotStoppingWithImage(image ids.Image) int { return m.notStoppingByImage[image] }

// Booting reports whether the machine has not sent a heartbeat in this term and is not being
// terminated.
func (m *Machine) Booting() bool { return !m.Agent.HeartbeatThisTerm && !m.Lifecycle.Terminating }

// Up reports whether the machine has sent a heartbeat in this term and is not being terminated.
func (m *Machine) Up() bool { return m.Agent.HeartbeatThisTerm && !m.Lifecycle.Terminating }

// NoHeartbeatFor reports whether no heartbeat of the machine has been received for longer than d.
// Before its first heartbeat, the interval counts from when the machine became known.
func (m *Machine) NoHeartbeatFor(now monotonic.Instant, d time.Duration) bool {
	return now > max(m.Agent.LastHeartbeat, m.Lifecycle.KnownSince).Add(d)
}

// FindReported returns an attempt of a task from the newest heartbeat, or nil.
func (m *Machine) FindReported(ref ids.TaskRef, attempt ids.Attempt) *ReportedTask {
	for i := range m.Agent.ReportedTasks {
		if m.Agent.ReportedTasks[i].Ref == ref && m.Agent.ReportedTasks[i].Attempt == attempt {
			return &m.Agent.ReportedTasks[i]
		}
	}
	return nil
}

// AssignsAttempt reports whether a reported attempt is the one that is assigned to the machine.
func (m *Machine) AssignsAttempt(reported *ReportedTask) bool {
	a := m.byRef[reported.Ref]
	return a != nil && a.Attempt == reported.Attempt
}

// ReportsTask reports whether the newest heartbeat contains any attempt of a task.
func (m *Machine) ReportsTask(ref ids.TaskRef) bool {
	for i := range m.Agent.ReportedTasks {
		if m.Agent.ReportedTasks[i].Ref == ref {
			return true
		}
	}
	return false
}

// HasRecordedReplica reports whether the records place a replica of a service on the machine.
func (m *Machine) HasRecordedReplica() bool {
	for _, a := range m.assignments {
		if a.Job.Spec.Service && a.Record.Committed {
			return true
		}
	}
	return false
}

// compareAssignments orders assignments by job and index.
func compareAssignments(a, b *Assignment) int {
	if a.Job.ID != b.Job.ID {
		return strings.Compare(string(a.Job.ID), string(b.Job.ID))
	}
	return a.Index - b.Index
}

// add adds an assignment to the machine's indexes.
func (m *Machine) add(a *Assignment) {
	m.byRef[a.Ref()] = a
	i, _ := slices.BinarySearchFunc(m.assignments, a, compareAssignments)
	m.assignments = slices.Insert(m.assignments, i, a)
	if a.stopReason == StopNone {
		m.countNotStopping(a, 1)
	}
}

// remove removes an assignment from the machine's indexes.
func (m *Machine) remove(a *Assignment) {
	delete(m.byRef, a.Ref())
	if i, ok := slices.BinarySearchFunc(m.assignments, a, compareAssignments); ok {
		m.assignments = slices.Delete(m.assignments, i, i+1)
	}
	if a.stopReason == StopNone {
		m.countNotStopping(a, -1)
	}
}

// countNotStopping adds n to the counts of assignments that are not stopping.
func (m *Machine) countNotStopping(a *Assignment, n int) {
	m.notStopping += n
	if a.Job.Spec.Service {
		m.replicas += n
	}
	if m.notStoppingByImage[a.Job.Spec.Image] += n; m.notStoppingByImage[a.Job.Spec.Image] == 0 {
		delete(m.notStoppingByImage, a.Job.Spec.Image)
	}
}
