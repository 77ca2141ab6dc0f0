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

// Heartbeat applies a machine's heartbeat and returns the response. ok is false if this leader
// must not answer.
func (c *Core) Heartbeat(now monotonic.Instant, heartbeat *wire.Heartbeat) (response wire.HeartbeatResponse, ok bool) {
	c.clock.Advance(now)
	return c.heartbeats.receive(heartbeat)
}

// HeartbeatFromCall applies a heartbeat that a machine returned in response to a call. Such a
// heartbeat renews no lease. It returns false if this leader must not act on the heartbeat.
func (c *Core) HeartbeatFromCall(now monotonic.Instant, heartbeat *wire.Heartbeat) bool {
	c.clock.Advance(now)
	return c.heartbeats.receiveFromCall(heartbeat, cluster.HeartbeatVersion{})
}

// unknownTaskBackoff is how long a job is not admitted after an agent reported its task as unknown.
const unknownTaskBackoff = 2 * time.Second

// heartbeatHandler updates the state of a machine, and of each task that is assigned to it, from
// the machine's heartbeats. Core.Heartbeat and Core.HeartbeatFromCall call it. It must not act on a
// stale heartbeat, nor on any heartbeat once a later leader is known.
type heartbeatHandler struct {
	cluster      *cluster.State
	clock        *clock.Clock
	rounds       *clock.RoundTrigger
	sites        siteRecorder
	health       heartbeatHealth
	reachability heartbeatReachability
	commands     heartbeatCommands
	restarts     *restartDetector
	autoscaler   bootRecorder
	failures     failureRecorder
	lifecycle    taskEnder
	zones        zoneTaskObserver
	leaders      *previousLeaders
	// revision is the revision of the leader key. All fencing tokens of the term contain it.
	revision ids.Revision
	// interval is the time between two heartbeats of a machine.
	interval time.Duration
	// superseded reports whether a machine has shown a later leader's fencing token.
	superseded bool
}

// siteRecorder records a machine's site and the address of its agent.
type siteRecorder interface {
	setSite(m *cluster.Machine, site placement.Site, endpoint string)
}

// heartbeatHealth updates the health of machines and zones from heartbeats.
type heartbeatHealth interface {
	usable(m *cluster.Machine) bool
	// recordZoneHeartbeat records that a heartbeat of a machine of the zone arrived now.
	recordZoneHeartbeat(zone ids.Zone)
	// recordReclaimNotice records that the cloud will reclaim a spot instance after the given time.
	recordReclaimNotice(m *cluster.Machine, after time.Duration)
}

// heartbeatReachability determines from heartbeats whether commands reach a machine.
type heartbeatReachability interface {
	// observe examines a heartbeat that is waiting for a response.
	observe(m *cluster.Machine, heartbeat *wire.Heartbeat)
	// markReachable records that the machine sent a heartbeat in response to a call.
	markReachable(m *cluster.Machine)
}

// heartbeatCommands builds the responses to heartbeats.
type heartbeatCommands interface {
	machineQueue
	fencingToken(m *cluster.Machine) ids.FencingToken
	answerHeartbeat(m *cluster.Machine) wire.HeartbeatResponse
	// invalidateDirectRuns raises the token of the machine above those of all direct calls with run commands.
	invalidateDirectRuns(m *cluster.Machine)
	// allowCalls allows calls to the machine again after its last call failed.
	allowCalls(m *cluster.Machine)
}

// bootRecorder records how long machines take to boot.
type bootRecorder interface {
	recordBoot(m *cluster.Machine)
}

// failureRecorder records task failures and the anti-affinity that follows from them.
type failureRecorder interface {
	recordFailure(a *cluster.Assignment)
	addAntiAffinity(j *cluster.Job, m *cluster.Machine)
}

// taskEnder ends tasks.
type taskEnder interface {
	stop(a *cluster.Assignment, reason cluster.StopReason)
	release(a *cluster.Assignment)
	complete(a *cluster.Assignment)
}

// zoneTaskObserver records which tasks of a zone are running and which are lost.
type zoneTaskObserver interface {
	taskLost(a *cluster.Assignment)
	taskRunning(a *cluster.Assignment)
}

// receive applies a heartbeat that is waiting for a response, and returns that response.
func (h *heartbeatHandler) receive(heartbeat *wire.Heartbeat) (response wire.HeartbeatResponse, ok bool) {
	if h.supersededBy(heartbeat) {
		return wire.HeartbeatResponse{}, false
	}
	if h.cluster.WasRemoved(heartbeat.Machine) {
		// The message was delayed, and the machine has been terminated in the meantime.
		return noCommands(ids.NewFencingToken(h.revision, 0)), h.leaders.mayAnswerRemoved()
	}
	m := h.cluster.EnsureMachine(heartbeat.Machine)
	order := h.restarts.orderOf(m, heartbeat)
	switch order {
	case duplicateHeartbeat:
		h.restarts.suspect(m)
		return wire.HeartbeatResponse{}, false
	case newestHeartbeat:
		h.restarts.observeNewest(m, heartbeat)
		h.sites.setSite(m, siteOf(heartbeat), heartbeat.Endpoint)
		h.reachability.observe(m, heartbeat)
		h.apply(m, heartbeat)
		m.Agent.NewestReport = cluster.VersionOf(heartbeat)
	case overtakenHeartbeat:
		h.commands.allowCalls(m)
		m.Agent.NewestReport = cluster.VersionOf(heartbeat)
	case unfencedHeartbeat:
		h.commands.allowCalls(m)
		h.restarts.fence(m)
	}
	if !h.leaders.mayAnswer(m) {
		return wire.HeartbeatResponse{}, false
	}
	m.Agent.AnsweredAt = h.clock.Now()
	if order != newestHeartbeat {
		return noCommands(h.commands.fencingToken(m)), true
	}
	return h.commands.answerHeartbeat(m), true
}

// receiveFromCall applies a heartbeat that was returned in response to a call, which was sent when the
// newest heartbeat had the version sentAfter. It returns false if this leader must not act on the heartbeat.
func (h *heartbeatHandler) receiveFromCall(heartbeat *wire.Heartbeat, sentAfter cluster.HeartbeatVersion) bool {
	if h.supersededBy(heartbeat) {
		return false
	}
	if h.cluster.WasRemoved(heartbeat.Machine) {
		return h.leaders.mayAnswerRemoved()
	}
	m := h.cluster.EnsureMachine(heartbeat.Machine)
	if !h.restarts.observeResponse(m, heartbeat, sentAfter) && stale(m, heartbeat) {
		return true
	}
	h.sites.setSite(m, siteOf(heartbeat), heartbeat.Endpoint)
	h.reachability.markReachable(m)
	h.apply(m, heartbeat)
	m.Agent.AnsweredCall = true
	return true
}

// supersededBy reports whether a heartbeat shows a later leader's fencing token, and records it.
func (h *heartbeatHandler) supersededBy(heartbeat *wire.Heartbeat) bool {
	later := heartbeat.FencingToken.Revision() > h.revision
	h.superseded = h.superseded || later
	return later
}

// stale reports whether a heartbeat is a duplicate of the newest one, or older than it.
func stale(m *cluster.Machine, heartbeat *wire.Heartbeat) bool {
	return m.Agent.HeartbeatThisTerm && !cluster.VersionOf(heartbeat).Newer(m.Agent.Version())
}

// noCommands returns a response without commands.
func noCommands(token ids.FencingToken) wire.HeartbeatResponse {
	return wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}
}

// siteOf returns the site that a heartbeat names.
func siteOf(heartbeat *wire.Heartbeat) placement.Site {
	return placement.Site{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}
}

// apply updates the state from a heartbeat that is newer than all previous ones.
func (h *heartbeatHandler) apply(m *cluster.Machine, heartbeat *wire.Heartbeat) {
	now := h.clock.Now()
	if now > m.Agent.LastHeartbeat.Add(h.interval) && !h.health.usable(m) {
		h.rounds.MarkDue() // the machine may have become usable
	}
	m.Agent.LastHeartbeat = now
	h.health.recordZoneHeartbeat(heartbeat.Zone)
	h.commands.allowCalls(m)
	h.updateAgent(m, heartbeat)
	if heartbeat.SpotNoticeS != nil {
		h.health.recordReclaimNotice(m, monotonic.Seconds(*heartbeat.SpotNoticeS))
	}
	m.Agent.ReportedTasks = m.Agent.ReportedTasks[:0]
	for _, t := range heartbeat.Tasks {
		if ref, ok := ids.ParseTask(t.Name); ok {
			m.Agent.ReportedTasks = append(m.Agent.ReportedTasks, cluster.ReportedTask{Ref: ref, Attempt: t.Attempt, State: t.State, Cause: t.Cause})
		}
	}
	h.updateAssignments(m)
	h.cluster.CountUnrecorded(m)
	h.commands.queueMachine(m)
}

// updateAgent updates the status of the machine's agent from a heartbeat.
func (h *heartbeatHandler) updateAgent(m *cluster.Machine, heartbeat *wire.Heartbeat) {
	if !m.Agent.HeartbeatThisTerm {
		m.Agent.HeartbeatThisTerm = true
		m.Lifecycle.IdleSince = h.clock.Now()
		h.autoscaler.recordBoot(m)
		h.rounds.MarkDue()
	}
	m.Agent.Incarnation, m.Agent.Sequence = heartbeat.Incarnation, heartbeat.Sequence
	m.Agent.FencingToken = heartbeat.FencingToken
	h.restarts.applied(m)
	if !m.Agent.Fenced && m.Agent.RequiredToken == 0 && heartbeat.FencingToken >= ids.NewFencingToken(h.revision, 0) {
		m.Agent.Fenced, m.Agent.FencedAt = true, h.clock.Now()
	}
}

// updateAssignments reconciles the machine's assignments with its newest heartbeat.
func (h *heartbeatHandler) updateAssignments(m *cluster.Machine) {
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

// handleMissingTask handles an assignment whose task is missing from the newest heartbeat.
func (h *heartbeatHandler) handleMissingTask(a *cluster.Assignment) {
	switch {
	case !a.MayRun():
		// Not sent yet.
	case a.Delivery.Sent && a.Machine.Agent.Incarnation > a.Delivery.Incarnation,
		a.Machine.Agent.FencingToken > a.Delivery.Token:
		// A new incarnation means that the agent's lease has expired: the agent has dropped all
		// its tasks, and it rejects commands for the old incarnation. An agent with a higher
		// token rejects a run command that carries the lower one.
		if onlyCommandVoided(a) {
			// The assignment is kept, and the run command for the same attempt is sent again.
			a.Delivery.Sent = false
			return
		}
		h.zones.taskLost(a)
		h.lifecycle.release(a)
	case a.Delivery.Reported && a.StopReason() == cluster.StopNone:
		// An agent keeps a task until it gets a reap command. If a task is missing without
		// one, it is not started elsewhere until earlier commands are void.
		h.lifecycle.stop(a, cluster.StopDrained)
	}
}

// onlyCommandVoided reports whether the only event since the run command for an assignment was sent
// is that a higher fencing token voided the command. The agent has then never had the task.
func onlyCommandVoided(a *cluster.Assignment) bool {
	if !a.Delivery.Sent || a.Delivery.Inherited || a.Delivery.Reported {
		return false
	}
	return a.StopReason() == cluster.StopNone && a.Machine.Agent.Incarnation == a.Delivery.Incarnation
}

// handleActiveTask handles an assignment whose task the newest heartbeat reports as not ended.
func (h *heartbeatHandler) handleActiveTask(a *cluster.Assignment, reported *cluster.ReportedTask) {
	a.Delivery.Reported = true
	if !a.Delivery.Sent {
		// An inherited task is now known to be on this machine. Commands for it carry tokens of
		// this term.
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

// handleEndedTask handles an assignment whose task the newest heartbeat reports as ended.
func (h *heartbeatHandler) handleEndedTask(a *cluster.Assignment, cause wire.ExitCause) {
	m, j := a.Machine, a.Job
	h.cluster.TouchImage(m, j.Spec.Image)
	switch cause {
	case wire.CauseDone:
		h.zones.taskRunning(a) // no heartbeat reported it as running if it ran between two heartbeats
		h.lifecycle.complete(a)
		return
	case wire.CauseError:
		h.failures.recordFailure(a)
	case wire.CauseFull, wire.CauseInUse:
		// The recorded state of the machine is wrong. Anti-affinity makes the job prefer other
		// machines temporarily.
		h.failures.addAntiAffinity(j, m)
	case wire.CauseNoSuch:
		j.Queue.RetryAt = h.clock.Now().Add(unknownTaskBackoff)
	}
	// The task may now start elsewhere. An agent that restarts forgets that the attempt has ended, and
	// would start it again for a late duplicate of the call.
	h.commands.invalidateDirectRuns(m)
	h.lifecycle.release(a)
}
