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

// Machine is one machine that was requested, listed or sent a heartbeat, until it is known to be
// terminated.
type Machine struct {
	ID ids.MachineID // never changes

	site        placement.Site
	endpoint    string
	machineType *wire.MachineType
	total       placement.Resources
	used        placement.Resources
	// unrecorded is what the machine runs beside its assignments, and unrecordedJobs the
	// job of each such task.
	unrecorded     placement.Resources
	unrecordedJobs []*Job

	byRef map[ids.TaskRef]*Assignment
	// assignments holds the same by job and index. staying, replicas and fetches count
	// those that are not stopping, fetches by image.
	assignments []*Assignment
	staying     int
	replicas    int
	fetches     map[ids.Image]int
	images      map[ids.Image]*CachedImage

	Lifecycle  MachineLifecycle
	Agent      AgentStatus
	Commands   MachineCommands
	Health     MachineHealth
	Admission  MachineAdmission
	Preemption MachinePreemption
}

// MachineLifecycle follows a machine from provisioning to termination. The machine registry and
// the autoscaler write it.
type MachineLifecycle struct {
	KnownSince   monotonic.Instant
	BootDeadline monotonic.Instant // by when it must send a heartbeat; 0: not known
	// IdleSince is when the machine last had an assignment.
	IdleSince           monotonic.Instant
	ProvisionedThisTerm bool // by this leader, so no previous one can have terminated it
	ListedStatus        wire.MachineStatus
	MissingLists        int // machine lists in a row without it, after it was listed
	// Terminating: it is decided to terminate the machine. TerminateInFlight: a call to
	// terminate it is in flight. Terminated: the cloud has confirmed it.
	Terminating, TerminateInFlight, Terminated bool
}

// AgentStatus is what the machine's agent has sent and what it was answered. Heartbeats write
// it.
type AgentStatus struct {
	HeartbeatThisTerm bool // a heartbeat was received in this term
	Incarnation       ids.AgentIncarnation
	Sequence          ids.Sequence
	FencingToken      ids.FencingToken // highest that the agent has shown
	LastHeartbeat     monotonic.Instant
	AnsweredAt        monotonic.Instant
	AnsweredCall      bool // it answered a call of this leader
	// Fenced tells that the agent has shown a token of this leader.
	Fenced   bool
	FencedAt monotonic.Instant
	// HadReplicas tells that a replica was recorded on the machine when this term began.
	HadReplicas   bool
	ReportedTasks []ReportedTask
}

// MachineCommands is the state of calls to the machine. Command dispatch writes it.
type MachineCommands struct {
	TokenCounter       uint64
	Queued             bool // in the queue of machines to which a command may have to be sent
	CallInFlight       bool
	CallRetryAt        monotonic.Instant
	CallFailed         bool             // no heartbeat since a call failed
	DirectRunToken     ids.FencingToken // highest under which a direct call carried a run command
	HeartbeatRequested bool
	RequestHeartbeatAt monotonic.Instant
}

// MachineHealth is the health of a machine. The health, failure and slow machine policies
// write it.
type MachineHealth struct {
	// Unreachable tells that heartbeats arrive, but that commands do not reach the machine.
	Unreachable      bool
	UnreachableSince monotonic.Instant
	SpotReclaimAt    monotonic.Instant // when the cloud takes the machine back; 0: no notice
	// FailuresByJob counts failed tasks since the last that succeeded.
	FailuresByJob          map[ids.JobID]int
	QuarantinedUntil       monotonic.Instant
	QuarantinedForFailures bool // rather than for slowness
	LastFailure            monotonic.Instant
	// Slowness is a running mean of how many times as long tasks took here as others of
	// their jobs did, as a power of 2.
	Slowness   float64
	SlowUntil  monotonic.Instant
	SlowStreak int // jobs in a row after which Slowness was at the limit or above
}

// MachineAdmission is what admission notes about a machine.
type MachineAdmission struct {
	// ReservedFor is the job that alone may use the machine's free resources; nil: any.
	ReservedFor *Job
}

// MachinePreemption is what one round of preemption notes about a machine. The preemption
// policy writes it.
type MachinePreemption struct {
	Round uint64 // of the notes; those of an earlier round are out of date
	// ExpectedFree is what will be free when all stopping tasks have ended and the tasks for
	// which resources were freed are placed.
	ExpectedFree placement.Resources
	Victims      []Victim // by ascending cost; nil: not listed in this round
}

// Victim is a task that may be preempted, and the cost of that in weighted CPU seconds.
type Victim struct {
	Assignment *Assignment
	Cost       float64
}

// ReportedTask is one task in the newest heartbeat.
type ReportedTask struct {
	Ref     ids.TaskRef
	Attempt ids.Attempt
	State   wire.TaskState
	Cause   wire.ExitCause
}

// Site is the machine's type, zone and market.
func (m *Machine) Site() placement.Site { return m.site }

// Type is the name of the machine's type; "" while it is not known.
func (m *Machine) Type() ids.MachineType { return m.site.Type }

// Zone is the machine's zone; "" while it is not known.
func (m *Machine) Zone() ids.Zone { return m.site.Zone }

// Spot tells whether the machine is a spot instance.
func (m *Machine) Spot() bool { return m.site.Spot }

// Endpoint is the agent's address; "" if it is not known.
func (m *Machine) Endpoint() string { return m.endpoint }

// MachineType is the machine's type; nil while it is not known or not in the catalog.
func (m *Machine) MachineType() *wire.MachineType { return m.machineType }

// Total is the machine's capacity.
func (m *Machine) Total() placement.Resources { return m.total }

// Used is what the assignments use.
func (m *Machine) Used() placement.Resources { return m.used }

// Unrecorded is what the machine runs beside its assignments.
func (m *Machine) Unrecorded() placement.Resources { return m.unrecorded }

// Free is the capacity that is not in use.
func (m *Machine) Free() placement.Resources { return m.total.Minus(m.used).Minus(m.unrecorded) }

// Assignments lists the assignments by job and index. The caller must not change the list,
// nor release a task while it walks through it.
func (m *Machine) Assignments() []*Assignment { return m.assignments }

// AssignmentsSnapshot lists the assignments by job and index. The list stays valid while
// tasks come and go.
func (m *Machine) AssignmentsSnapshot() []*Assignment { return slices.Clone(m.assignments) }

// Assignment finds the assignment of a task, or returns nil.
func (m *Machine) Assignment(ref ids.TaskRef) *Assignment { return m.byRef[ref] }

// NotStopping counts the assignments that are not stopping.
func (m *Machine) NotStopping() int { return m.staying }

// Replicas counts the replicas of services that are not stopping.
func (m *Machine) Replicas() int { return m.replicas }

// NotStoppingWithImage counts the assignments with an image that are not stopping.
func (m *Machine) NotStoppingWithImage(image ids.Image) int { return m.fetches[image] }

// Booting tells whether the machine has sent no heartbeat in this term and is not being
// terminated.
func (m *Machine) Booting() bool { return !m.Agent.HeartbeatThisTerm && !m.Lifecycle.Terminating }

// Up tells whether the machine has sent a heartbeat in this term and is not being terminated.
func (m *Machine) Up() bool { return m.Agent.HeartbeatThisTerm && !m.Lifecycle.Terminating }

// NoHeartbeatFor tells whether the machine has sent no heartbeat for longer than d. The time before
// its first heartbeat counts from when it became known.
func (m *Machine) NoHeartbeatFor(now monotonic.Instant, d time.Duration) bool {
	return now > max(m.Agent.LastHeartbeat, m.Lifecycle.KnownSince).Add(d)
}

// FindReported finds an attempt of a task in the newest heartbeat, or returns nil.
func (m *Machine) FindReported(ref ids.TaskRef, attempt ids.Attempt) *ReportedTask {
	for i := range m.Agent.ReportedTasks {
		if m.Agent.ReportedTasks[i].Ref == ref && m.Agent.ReportedTasks[i].Attempt == attempt {
			return &m.Agent.ReportedTasks[i]
		}
	}
	return nil
}

// AssignsAttempt tells whether a reported attempt is the one that is assigned to the machine.
func (m *Machine) AssignsAttempt(reported *ReportedTask) bool {
	a := m.byRef[reported.Ref]
	return a != nil && a.Attempt == reported.Attempt
}

// ReportsTask tells whether the newest heartbeat shows any attempt of a task.
func (m *Machine) ReportsTask(ref ids.TaskRef) bool {
	for i := range m.Agent.ReportedTasks {
		if m.Agent.ReportedTasks[i].Ref == ref {
			return true
		}
	}
	return false
}

// HasRecordedReplica tells whether the records place a replica of a service on the machine.
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

// add puts an assignment into the machine's indexes.
func (m *Machine) add(a *Assignment) {
	m.byRef[a.Ref()] = a
	i, _ := slices.BinarySearchFunc(m.assignments, a, compareAssignments)
	m.assignments = slices.Insert(m.assignments, i, a)
	if a.stopReason == StopNone {
		m.countStaying(a, 1)
	}
}

// remove takes an assignment out of the machine's indexes.
func (m *Machine) remove(a *Assignment) {
	delete(m.byRef, a.Ref())
	if i, ok := slices.BinarySearchFunc(m.assignments, a, compareAssignments); ok {
		m.assignments = slices.Delete(m.assignments, i, i+1)
	}
	if a.stopReason == StopNone {
		m.countStaying(a, -1)
	}
}

// countStaying keeps the counts of assignments that are not stopping.
func (m *Machine) countStaying(a *Assignment, n int) {
	m.staying += n
	if a.Job.Spec.Service {
		m.replicas += n
	}
	if m.fetches[a.Job.Spec.Image] += n; m.fetches[a.Job.Spec.Image] == 0 {
		delete(m.fetches, a.Job.Spec.Image)
	}
}
