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
	// requireProof makes the machine unreachable until it shows its token or answers a call.
	requireProof(m *cluster.Machine)
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
		h.reachability.requireProof(m)
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
