package cluster

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// TaskState represents the state of a task of a job.
type TaskState uint8

// The states of a task.
const (
	TaskPending TaskState = iota
	TaskAssigned
	TaskDone
)

// Task represents one task of a job.
type Task struct {
	attempt    ids.Attempt
	state      TaskState
	assignment *Assignment
	slice      *AdmissionSlice
}

// Attempt returns the number of the last attempt; 0 if there was none.
func (t *Task) Attempt() ids.Attempt { return t.attempt }

// State returns whether the task is pending, assigned or done.
func (t *Task) State() TaskState { return t.state }

// Assignment returns the task's assignment, or nil.
func (t *Task) Assignment() *Assignment { return t.assignment }

// Slice returns the admission record that the task belongs to.
func (t *Task) Slice() *AdmissionSlice { return t.slice }

// StopReason represents the reason why a task must stop, if any.
type StopReason uint8

// The reasons for stopping a task.
const (
	StopNone StopReason = iota
	StopCancelled
	StopPreempted
	StopDrained
)

// Assignment represents one attempt of a task on a machine. It counts as using the machine's
// resources and its team's quota until the attempt is known to have ended.
type Assignment struct {
	// Job, Index, Attempt and Machine never change.
	Job     *Job
	Index   int
	Attempt ids.Attempt
	Machine *Machine

	stopReason StopReason
	// Protected reports whether the task is protected from preemption for a limited time. Admission
	// sets it.
	Protected bool

	Record   RecordStatus
	Delivery Delivery
	Run      RunStatus
}

// RecordStatus holds the state of an assignment's admission record. The record writer writes it.
type RecordStatus struct {
	Committed bool // the record is stored; no run command is sent before it is
	InFlight  bool // a change that contains the assignment is in flight
}

// Delivery holds which commands for an assignment were sent to the machine. Command dispatch,
// heartbeat processing and the task lifecycle write it.
type Delivery struct {
	// Inherited reports whether a previous leader recorded the assignment and may have sent it.
	Inherited bool
	// Token is the highest fencing token under which a run command may have been sent. An
	// agent that reports a higher token without reporting the attempt will never start it.
	Token       ids.FencingToken
	Incarnation ids.AgentIncarnation // incarnation of the agent to which the command was sent
	SentAt      monotonic.Instant    // time of the first run command since Sent was last false
	Sent        bool                 // a run command was sent and may still take effect
	Reported    bool                 // a heartbeat has reported the attempt
	KillGraceS  float64              // grace period in seconds in which the task may write a checkpoint
	KillSentAt  monotonic.Instant    // time of the first kill command; 0: none was sent
}

// RunStatus holds the state of the attempt as reported by heartbeats. Heartbeat processing writes it.
type RunStatus struct {
	Phase        wire.TaskState
	PhaseSince   monotonic.Instant // when a heartbeat first reported the phase, or when the task was placed
	PausedBefore time.Duration     // total pause of this process at PhaseSince
}

// Ref returns the reference of the task.
func (a *Assignment) Ref() ids.TaskRef { return ids.TaskRef{Job: a.Job.ID, Index: a.Index} }

// MayRun reports whether the attempt may be running on the machine or may still start there.
func (a *Assignment) MayRun() bool { return a.Delivery.Sent || a.Delivery.Inherited }

// StopReason returns the reason why the task must stop; StopNone if it may continue.
func (a *Assignment) StopReason() StopReason { return a.stopReason }

// Current reports whether the assignment is still in effect.
func (a *Assignment) Current() bool { return a.Machine.byRef[a.Ref()] == a }

// Assign places a pending task on a machine. The task remains in the job's list of pending tasks
// until Admit confirms all tasks that were placed together. UndoAssign reverts it.
func (s *State) Assign(j *Job, index int, m *Machine) *Assignment {
	j.tasks[index].attempt++
	a := &Assignment{Job: j, Index: index, Attempt: j.tasks[index].attempt, Machine: m}
	a.Run.PhaseSince = s.clock.Now()
	s.attach(a)
	return a
}

// Admit removes the n pending tasks with the lowest indexes, which Assign has placed, from the list
// of pending tasks.
func (s *State) Admit(j *Job, n int) {
	j.pending = j.pending[:len(j.pending)-n]
	if n > 0 {
		s.MarkWaiting(j)
	}
}

// UndoAssign reverts Assign. It must not be called after Admit.
func (s *State) UndoAssign(a *Assignment) {
	s.detach(a)
	a.Job.tasks[a.Index].attempt--
}

// Inherit places a task on the machine on which a previous leader recorded it. token is the highest
// fencing token under which that leader may have sent a run command.
func (s *State) Inherit(j *Job, index int, m *Machine, token ids.FencingToken) *Assignment {
	a := &Assignment{Job: j, Index: index, Attempt: j.tasks[index].attempt, Machine: m}
	a.Record.Committed = true
	a.Delivery = Delivery{Inherited: true, Token: token}
	s.attach(a)
	return a
}

// Release removes a task from its machine. The task is pending again unless its job has ended. The
// caller must ensure that the attempt has ended or was never sent.
func (s *State) Release(a *Assignment) {
	s.detach(a)
	j := a.Job
	if j.Terminal() {
		return
	}
	k, _ := slices.BinarySearchFunc(j.pending, a.Index, func(e, t int) int { return t - e })
	j.pending = slices.Insert(j.pending, k, a.Index)
	s.MarkWaiting(j)
}

// Complete removes a task that succeeded from its machine. The task is done unless its job has ended.
func (s *State) Complete(a *Assignment) {
	s.detach(a)
	j := a.Job
	if j.Terminal() {
		return
	}
	j.tasks[a.Index].state = TaskDone
	j.done++
}

// Stop records that a task must stop. A cancellation is never replaced by another reason.
func (s *State) Stop(a *Assignment, reason StopReason) {
	if a.stopReason == StopCancelled {
		return
	}
	if a.stopReason == StopNone {
		a.Machine.countNotStopping(a, -1)
		s.countWorkload(a, -1)
		a.stopReason = reason
		s.countWorkload(a, 1)
		return
	}
	a.stopReason = reason
}

// attach links an assignment with its task and machine, and counts the resources and quota that it
// uses.
func (s *State) attach(a *Assignment) {
	t := &a.Job.tasks[a.Index]
	t.state, t.assignment = TaskAssigned, a
	a.Job.started = true
	a.Job.active[a.Index] = a
	a.Job.zones[a.Machine.site.Zone]++
	a.Machine.add(a)
	a.Machine.used = a.Machine.used.Plus(a.Job.TaskResources())
	s.quotas.Charge(a.Job.Spec.Team, a.Job.Amount())
	s.countWorkload(a, 1)
}

// detach reverts attach.
func (s *State) detach(a *Assignment) {
	t := &a.Job.tasks[a.Index]
	t.state, t.assignment = TaskPending, nil
	delete(a.Job.active, a.Index)
	a.Job.removeFromZone(a.Machine.site.Zone)
	a.Machine.remove(a)
	a.Machine.used = a.Machine.used.Minus(a.Job.TaskResources())
	if len(a.Machine.byRef) == 0 {
		a.Machine.used = placement.Resources{}
		a.Machine.Lifecycle.IdleSince = s.clock.Now()
	}
	s.quotas.Release(a.Job.Spec.Team, a.Job.Amount())
	s.countWorkload(a, -1)
	s.rounds.MarkDue()
}

// removeFromZone decrements the number of assignments in a zone.
func (j *Job) removeFromZone(zone ids.Zone) {
	if j.zones[zone]--; j.zones[zone] <= 0 {
		delete(j.zones, zone)
	}
}
