package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// Heartbeat takes a machine's heartbeat and returns the answer. ok is false if this leader
// must not answer.
func (c *Core) Heartbeat(now monotonic.Instant, heartbeat *wire.Heartbeat) (answer wire.HeartbeatResponse, ok bool) {
	c.clock.Advance(now)
	return c.heartbeats.receive(heartbeat)
}

// HeartbeatFromCall takes a heartbeat with which a machine answered a call. It renews no
// lease. It returns false if this leader must not act on it.
func (c *Core) HeartbeatFromCall(now monotonic.Instant, heartbeat *wire.Heartbeat) bool {
	c.clock.Advance(now)
	return c.heartbeats.receiveFromCall(heartbeat)
}

// unknownTaskBackoff is how long a job is not admitted after an agent did not know its task.
const unknownTaskBackoff = 2 * time.Second

// heartbeatIntake applies heartbeats to the state: what they show of the machine, and of each
// task that is assigned to it. Core.Heartbeat and Core.HeartbeatFromCall call it. It must not
// act on a heartbeat that is stale, nor on any once a later leader is known.
type heartbeatIntake struct {
	cluster      *cluster.State
	clock        *clock.Clock
	rounds       *clock.RoundTrigger
	sites        siteRecorder
	health       heartbeatHealth
	reachability heartbeatReachability
	commands     heartbeatCommands
	autoscaler   heartbeatObserver
	failures     failureRecorder
	lifecycle    taskEnder
	zones        zoneTaskObserver
	leaders      *previousLeaders
	// revision is that of the leader's key; all fencing tokens of the term contain it.
	revision ids.Revision
	// interval is the time between two heartbeats of a machine.
	interval time.Duration
	// superseded is set when a machine shows a later leader's token.
	superseded bool
}

// siteRecorder notes what a machine is and where its agent listens.
type siteRecorder interface {
	setSite(m *cluster.Machine, site placement.Site, endpoint string)
}

// heartbeatHealth judges machines by their heartbeats.
type heartbeatHealth interface {
	usable(m *cluster.Machine) bool
	// recordZoneHeartbeat records that a heartbeat of a machine of a zone arrived now.
	recordZoneHeartbeat(zone ids.Zone)
	// noticeReclaim notes that the cloud takes a spot instance back after a time.
	noticeReclaim(m *cluster.Machine, after time.Duration)
}

// heartbeatReachability judges from heartbeats whether commands reach a machine.
type heartbeatReachability interface {
	// observe takes a heartbeat that waits for an answer, and confirm notes one that came as
	// the answer to a call.
	observe(m *cluster.Machine, heartbeat *wire.Heartbeat)
	confirm(m *cluster.Machine)
}

// heartbeatCommands makes the answers to heartbeats.
type heartbeatCommands interface {
	machineQueue
	tokenOf(m *cluster.Machine) ids.FencingToken
	answerHeartbeat(m *cluster.Machine) wire.HeartbeatResponse
	// allowCalls lets a machine be called again although its last call failed.
	allowCalls(m *cluster.Machine)
}

// heartbeatObserver learns how long machines take to boot.
type heartbeatObserver interface {
	recordBoot(m *cluster.Machine)
}

// failureRecorder weighs failures of tasks.
type failureRecorder interface {
	recordFailure(a *cluster.Assignment)
	addAntiAffinity(j *cluster.Job, m *cluster.Machine)
}

// taskEnder ends tasks.
type taskEnder interface {
	stop(a *cluster.Assignment, why cluster.StopReason)
	release(a *cluster.Assignment)
	complete(a *cluster.Assignment)
}

// zoneTaskObserver learns which tasks of a zone run and which are lost.
type zoneTaskObserver interface {
	taskLost(a *cluster.Assignment)
	taskRunning(a *cluster.Assignment)
}

// receive applies a heartbeat that waits for an answer, and makes the answer.
func (h *heartbeatIntake) receive(heartbeat *wire.Heartbeat) (answer wire.HeartbeatResponse, ok bool) {
	if h.supersededBy(heartbeat) {
		return wire.HeartbeatResponse{}, false
	}
	if h.cluster.WasRemoved(heartbeat.Machine) {
		// A delayed message; the machine was terminated since.
		return noCommands(ids.NewFencingToken(h.revision, 0)), h.leaders.mayAnswerRemoved()
	}
	m := h.cluster.EnsureMachine(heartbeat.Machine)
	mayAnswer := h.leaders.mayAnswer
	if stale(m, heartbeat) {
		// The agent may still wait for the answer. It renews the lease from when the
		// message was sent, which was before the newest heartbeat arrived.
		if !mayAnswer(m) {
			return wire.HeartbeatResponse{}, false
		}
		m.Agent.AnsweredAt = max(m.Agent.AnsweredAt, m.Agent.LastHeard)
		return noCommands(h.commands.tokenOf(m)), true
	}
	h.sites.setSite(m, siteOf(heartbeat), heartbeat.Endpoint)
	h.reachability.observe(m, heartbeat)
	h.apply(m, heartbeat)
	if !mayAnswer(m) {
		return wire.HeartbeatResponse{}, false
	}
	m.Agent.AnsweredAt = h.clock.Now()
	return h.commands.answerHeartbeat(m), true
}

// receiveFromCall applies a heartbeat that came as the answer to a call.
func (h *heartbeatIntake) receiveFromCall(heartbeat *wire.Heartbeat) bool {
	if h.supersededBy(heartbeat) {
		return false
	}
	if h.cluster.WasRemoved(heartbeat.Machine) {
		return h.leaders.mayAnswerRemoved()
	}
	m := h.cluster.EnsureMachine(heartbeat.Machine)
	if stale(m, heartbeat) {
		return true
	}
	h.sites.setSite(m, siteOf(heartbeat), heartbeat.Endpoint)
	h.reachability.confirm(m)
	h.apply(m, heartbeat)
	m.Agent.AnsweredCall = true
	return true
}

// supersededBy tells whether a heartbeat shows a later leader's token, and notes it.
func (h *heartbeatIntake) supersededBy(heartbeat *wire.Heartbeat) bool {
	later := heartbeat.FencingToken.Revision() > h.revision
	h.superseded = h.superseded || later
	return later
}

// stale tells whether a heartbeat is a duplicate or older than the newest. It does not show
// that the machine is alive now.
func stale(m *cluster.Machine, heartbeat *wire.Heartbeat) bool {
	return m.Agent.HeardThisTerm && !heartbeat.Newer(m.Agent.Incarnation, m.Agent.Sequence)
}

// noCommands is an answer without commands.
func noCommands(token ids.FencingToken) wire.HeartbeatResponse {
	return wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}
}

// siteOf is the site that a heartbeat names.
func siteOf(heartbeat *wire.Heartbeat) placement.Site {
	return placement.Site{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}
}

// apply updates the state from a heartbeat that is newer than all before it.
func (h *heartbeatIntake) apply(m *cluster.Machine, heartbeat *wire.Heartbeat) {
	now := h.clock.Now()
	if now > m.Agent.LastHeard.Add(h.interval) && !h.health.usable(m) {
		h.rounds.MarkDue() // it may be usable now
	}
	m.Agent.LastHeard = now
	h.health.recordZoneHeartbeat(heartbeat.Zone)
	h.commands.allowCalls(m)
	h.updateAgent(m, heartbeat)
	if heartbeat.SpotNoticeS != nil {
		h.health.noticeReclaim(m, monotonic.Seconds(*heartbeat.SpotNoticeS))
	}
	m.Agent.ReportedTasks = m.Agent.ReportedTasks[:0]
	for _, t := range heartbeat.Tasks {
		if ref, ok := ids.ParseTask(t.Name); ok {
			m.Agent.ReportedTasks = append(m.Agent.ReportedTasks, cluster.ReportedTask{Ref: ref, Attempt: t.Attempt, State: t.State, Cause: t.Cause})
		}
	}
	h.updateAssignments(m)
	h.cluster.CountUnrecorded(m)
	h.commands.queueCommands(m)
}

// updateAgent notes what a heartbeat shows of the machine's agent.
func (h *heartbeatIntake) updateAgent(m *cluster.Machine, heartbeat *wire.Heartbeat) {
	if !m.Agent.HeardThisTerm {
		m.Agent.HeardThisTerm = true
		m.Lifecycle.IdleSince = h.clock.Now()
		h.autoscaler.recordBoot(m)
		h.rounds.MarkDue()
	}
	m.Agent.Incarnation, m.Agent.Sequence = heartbeat.Incarnation, heartbeat.Sequence
	m.Agent.FencingToken = max(m.Agent.FencingToken, heartbeat.FencingToken)
	if !m.Agent.Fenced && heartbeat.FencingToken >= ids.NewFencingToken(h.revision, 0) {
		m.Agent.Fenced, m.Agent.FencedAt = true, h.clock.Now()
	}
}

// updateAssignments compares the machine's assignments with its newest heartbeat.
func (h *heartbeatIntake) updateAssignments(m *cluster.Machine) {
	for _, a := range m.AssignmentsSnapshot() {
		reported := m.FindReported(a.Ref(), a.Attempt)
		switch {
		case reported == nil:
			h.handleMissingTask(a)
		case reported.State == wire.TaskEnded:
			h.handleEndedTask(a, reported.Cause)
		default:
			h.handleActiveTask(a, reported)
		}
	}
}

// handleMissingTask handles an assignment that the newest heartbeat does not show.
func (h *heartbeatIntake) handleMissingTask(a *cluster.Assignment) {
	switch {
	case !a.MayRun():
		// Not sent yet.
	case a.Delivery.Sent && a.Machine.Agent.Incarnation > a.Delivery.Incarnation,
		// The agent's lease has expired. It has dropped all its tasks, and its new incarnation
		// refuses commands for the old one.
		a.Machine.Agent.FencingToken > a.Delivery.Token:
		// The agent now refuses a run command under the lower token.
		if onlyCommandVoided(a) {
			// The assignment remains, and the same attempt is sent again.
			a.Delivery.Sent = false
			return
		}
		h.zones.taskLost(a)
		h.lifecycle.release(a)
	case a.Delivery.Seen && a.StopReason() == cluster.StopNone:
		// An agent keeps a task until it gets a reap command. If a task is missing without
		// one, it is not started elsewhere before old commands are void.
		h.lifecycle.stop(a, cluster.StopDrained)
	}
}

// onlyCommandVoided tells whether a higher token voided the run command for an assignment
// that the agent never had, and nothing else happened to it.
func onlyCommandVoided(a *cluster.Assignment) bool {
	if !a.Delivery.Sent || a.Delivery.Inherited || a.Delivery.Seen {
		return false
	}
	return a.StopReason() == cluster.StopNone && a.Machine.Agent.Incarnation == a.Delivery.Incarnation
}

// handleActiveTask handles an assignment that the newest heartbeat shows as not ended.
func (h *heartbeatIntake) handleActiveTask(a *cluster.Assignment, reported *cluster.ReportedTask) {
	a.Delivery.Seen = true
	if !a.Delivery.Sent {
		// An inherited task is now known to be here. Commands for it carry new tokens.
		a.Delivery.Sent, a.Delivery.Inherited = true, false
		a.Delivery.Incarnation = a.Machine.Agent.Incarnation
	}
	if a.Run.Phase == reported.State {
		return
	}
	a.Run.Phase = reported.State
	a.Run.PhaseSince, a.Run.PausedBefore = h.clock.Now(), h.clock.TotalPause()
	if reported.State == wire.TaskRunning {
		h.cluster.RecordImage(a.Machine, a.Job.Spec)
		h.zones.taskRunning(a)
	}
}

// handleEndedTask handles an assignment that the newest heartbeat shows as ended.
func (h *heartbeatIntake) handleEndedTask(a *cluster.Assignment, cause wire.ExitCause) {
	m, j := a.Machine, a.Job
	h.cluster.TouchImage(m, j.Spec.Image)
	switch cause {
	case wire.CauseDone:
		h.zones.taskRunning(a) // it ran between two heartbeats
		h.lifecycle.complete(a)
		return
	case wire.CauseError:
		h.failures.recordFailure(a)
	case wire.CauseFull, wire.CauseInUse:
		// The state of the machine was wrong. Other machines are preferred for a while.
		h.failures.addAntiAffinity(j, m)
	case wire.CauseNoSuch:
		j.Queue.RetryAt = h.clock.Now().Add(unknownTaskBackoff)
	}
	h.lifecycle.release(a)
}
