package cluster

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// TaskState is the state of a task of a job.
type TaskState uint8

// The states of a task.
const (
	TaskPending TaskState = iota
	TaskAssigned
	TaskDone
)

// Task is one task of a job.
type Task struct {
	attempt    ids.Attempt
	state      TaskState
	assignment *Assignment
	slice      *AdmissionSlice
}

// Attempt is the number of the last attempt; 0 if there was none.
func (t *Task) Attempt() ids.Attempt { return t.attempt }

// State tells whether the task is pending, assigned or done.
func (t *Task) State() TaskState { return t.state }

// Assignment is the task's assignment, or nil.
func (t *Task) Assignment() *Assignment { return t.assignment }

// Slice is the admission record that the task belongs to.
func (t *Task) Slice() *AdmissionSlice { return t.slice }

// StopReason tells why a task must leave its machine, if it must.
type StopReason uint8

// The reasons for stopping a task.
const (
	StopNone StopReason = iota
	StopCancelled
	StopPreempted
	StopDrained
)

// Assignment is one attempt of a task on a machine. It counts as using the machine's
// resources and its team's quota until the attempt is known to have ended.
type Assignment struct {
	// Job, Index, Attempt and Machine never change.
	Job     *Job
	Index   int
	Attempt ids.Attempt
	Machine *Machine

	stopReason StopReason
	// Protected keeps the task from being preempted for a while. Admission sets it.
	Protected bool

	Record   RecordStatus
	Delivery Delivery
	Run      RunStatus
}

// RecordStatus is the state of an assignment's admission record. Record writing writes it.
type RecordStatus struct {
	Committed bool // no command is sent before
	InFlight  bool // a change that holds the assignment is in flight
}

// Delivery is which commands for an assignment were sent to the machine. Command dispatch,
// heartbeats and the task lifecycle write it.
type Delivery struct {
	// Inherited tells that a previous leader recorded the assignment and may have sent it.
	Inherited bool
	// Token is the highest fencing token under which a run command may have been sent. An
	// agent that shows a higher one without the attempt will never start it.
	Token       ids.FencingToken
	Incarnation ids.AgentIncarnation // of the agent to which it was sent
	SentAt      monotonic.Instant    // of the first run command, since Sent was last false
	Sent        bool                 // a run command was sent and may have an effect
	Reported    bool                 // a heartbeat has shown the attempt
	KillGraceS  float64              // seconds that the task gets to write a checkpoint
	KillSentAt  monotonic.Instant    // of the first kill command; 0: none was sent
}

// RunStatus is the state that heartbeats show. Heartbeats write it.
type RunStatus struct {
	Phase        wire.TaskState
	PhaseSince   monotonic.Instant // when the phase began, as far as known
	PausedBefore time.Duration     // total pause of this process at that time
}

// Ref names the task.
func (a *Assignment) Ref() ids.TaskRef { return ids.TaskRef{Job: a.Job.ID, Index: a.Index} }

// MayRun tells whether the attempt may run on the machine or start there.
func (a *Assignment) MayRun() bool { return a.Delivery.Sent || a.Delivery.Inherited }

// StopReason tells why the task must leave its machine; StopNone if it may stay.
func (a *Assignment) StopReason() StopReason { return a.stopReason }

// Current tells whether the assignment is still in place.
func (a *Assignment) Current() bool { return a.Machine.byRef[a.Ref()] == a }

// Assign places a pending task on a machine. The task stays in the job's list of pending
// tasks until Admit confirms all that were placed together; UndoAssign undoes it.
func (s *State) Assign(j *Job, index int, m *Machine) *Assignment {
	j.tasks[index].attempt++
	a := &Assignment{Job: j, Index: index, Attempt: j.tasks[index].attempt, Machine: m}
	a.Run.PhaseSince = s.clock.Now()
	s.attach(a)
	return a
}

// Admit removes the n lowest pending tasks, which Assign has placed, from the list of pending
// tasks.
func (*State) Admit(j *Job, n int) { j.pending = j.pending[:len(j.pending)-n] }

// UndoAssign undoes Assign before Admit.
func (s *State) UndoAssign(a *Assignment) {
	s.detach(a)
	a.Job.tasks[a.Index].attempt--
}

// Inherit places a task where a previous leader recorded it. token is the highest fencing
// token under which that leader may have sent it.
func (s *State) Inherit(j *Job, index int, m *Machine, token ids.FencingToken) *Assignment {
	a := &Assignment{Job: j, Index: index, Attempt: j.tasks[index].attempt, Machine: m}
	a.Record.Committed = true
	a.Delivery = Delivery{Inherited: true, Token: token}
	s.attach(a)
	return a
}

// Release takes a task off its machine. It is pending again unless its job has ended. The
// caller has shown that the attempt has ended or was never sent.
func (s *State) Release(a *Assignment) {
	s.detach(a)
	j := a.Job
	if j.Terminal() {
		return
	}
	k, _ := slices.BinarySearchFunc(j.pending, a.Index, func(e, t int) int { return t - e })
	j.pending = slices.Insert(j.pending, k, a.Index)
}

// Complete takes a task that succeeded off its machine. It is done unless its job has ended.
func (s *State) Complete(a *Assignment) {
	s.detach(a)
	j := a.Job
	if j.Terminal() {
		return
	}
	j.tasks[a.Index].state = TaskDone
	j.done++
}

// Stop notes that a task must leave its machine. A cancellation is never replaced by
// another reason.
func (s *State) Stop(a *Assignment, why StopReason) {
	if a.stopReason == StopCancelled {
		return
	}
	if a.stopReason == StopNone {
		a.Machine.countStaying(a, -1)
		s.countWorkload(a, -1)
		a.stopReason = why
		s.countWorkload(a, 1)
		return
	}
	a.stopReason = why
}

// attach links an assignment with its task and machine, and counts what it uses.
func (s *State) attach(a *Assignment) {
	t := &a.Job.tasks[a.Index]
	t.state, t.assignment = TaskAssigned, a
	a.Job.started = true
	a.Job.active[a.Index] = a
	a.Job.zones[a.Machine.site.Zone]++
	a.Machine.add(a)
	a.Machine.used = a.Machine.used.Plus(placement.TaskResources(a.Job.Spec))
	s.quotas.Charge(a.Job.Spec.Team, a.Job.Amount())
	s.countWorkload(a, 1)
}

// detach undoes attach.
func (s *State) detach(a *Assignment) {
	t := &a.Job.tasks[a.Index]
	t.state, t.assignment = TaskPending, nil
	delete(a.Job.active, a.Index)
	a.Job.removeFromZone(a.Machine.site.Zone)
	a.Machine.remove(a)
	a.Machine.used = a.Machine.used.Minus(placement.TaskResources(a.Job.Spec))
	if len(a.Machine.byRef) == 0 {
		a.Machine.used = placement.Resources{}
		a.Machine.Lifecycle.IdleSince = s.clock.Now()
	}
	s.quotas.Release(a.Job.Spec.Team, a.Job.Amount())
	s.countWorkload(a, -1)
	s.rounds.MarkDue()
}

// removeFromZone counts one assignment less in a zone.
func (j *Job) removeFromZone(zone ids.Zone) {
	if j.zones[zone]--; j.zones[zone] <= 0 {
		delete(j.zones, zone)
	}
}
