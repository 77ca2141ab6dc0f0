package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// heartbeatRequestInterval is the least time between two requests for a machine's heartbeat.
const heartbeatRequestInterval = 2 * time.Second

// agentCalls lists the agents that should be called now.
type agentCalls struct {
	sendCommands      []ids.MachineID
	requestHeartbeats []ids.MachineID
}

// dispatchAction is what command dispatch does about a queued machine.
type dispatchAction uint8

const (
	// leaveQueue: there is nothing to do until an event queues the machine again.
	leaveQueue dispatchAction = iota
	// stayQueued: a call may be needed later, without another event.
	stayQueued
	sendCommands
	requestHeartbeat
)

// queueCommands notes that a command may have to be sent to a machine. Only such machines are
// examined: to examine a thousand machines after every event would take too much processor
// time.
func (d *commandDispatcher) queueCommands(m *cluster.Machine) {
	if !m.Commands.Queued {
		m.Commands.Queued = true
		d.queue = append(d.queue, m)
	}
}

// dispatch lists the agents that should be called now, in the order in which they were queued.
// After a failover or a partition hundreds of machines are queued while events arrive, so the
// bound of calls in flight also keeps a step short.
func (d *commandDispatcher) dispatch() agentCalls {
	var calls agentCalls
	free := d.freeCalls()
	queue := d.queue[:0]
	for _, m := range d.queue {
		action := d.nextAction(m)
		switch {
		case action == sendCommands && free > 0:
			free--
			calls.sendCommands = append(calls.sendCommands, m.ID)
		case action == requestHeartbeat && free > 0:
			free--
			d.heartbeatRequested(m)
			calls.requestHeartbeats = append(calls.requestHeartbeats, m.ID)
		case action != leaveQueue:
			queue = append(queue, m)
			continue
		}
		m.Commands.Queued = false
	}
	clear(d.queue[len(queue):])
	d.queue = queue
	return calls
}

// freeCalls is how many calls may begin now.
func (d *commandDispatcher) freeCalls() int {
	if d.settings.maxCallsInFlight <= 0 {
		return len(d.queue)
	}
	return d.settings.maxCallsInFlight - d.callsInFlight
}

// nextAction decides what to do about a queued machine if a call is free.
func (d *commandDispatcher) nextAction(m *cluster.Machine) dispatchAction {
	switch {
	case d.cluster.Machine(m.ID) != m || !mayBeCalled(m):
		return leaveQueue
	case d.needsHeartbeatRequest(m):
		return requestHeartbeat
	case !m.Agent.HeartbeatThisTerm:
		return leaveQueue
	case m.Commands.CallInFlight || m.Commands.CallFailed:
		return leaveQueue
	case d.clock.Now() < m.Commands.CallRetryAt:
		return stayQueued
	case d.needsDirectCall(m):
		return sendCommands
	case needsFencing(m):
		return stayQueued // it needs a call unless it sends a heartbeat first
	}
	return leaveQueue
}

// mayBeCalled tells whether a machine has an agent that a call may reach.
func mayBeCalled(m *cluster.Machine) bool {
	return !m.Lifecycle.Terminating && m.Endpoint() != ""
}

// needsHeartbeatRequest tells whether the agent of a machine that a previous leader left should
// be asked for a heartbeat now. After a failover the agent's incarnation is not known, and the
// agent may take seconds to find this leader. A previous leader that lost the key-value store
// and this leader, but not its agents, keeps them from doing so. It steps down when an agent
// shows it a token of this leader.
func (d *commandDispatcher) needsHeartbeatRequest(m *cluster.Machine) bool {
	if m.Agent.HeartbeatThisTerm || m.Commands.HeartbeatRequested || !mayBeCalled(m) {
		return false
	}
	if d.clock.Now() < m.Commands.RequestHeartbeatAt {
		return false
	}
	running := m.Lifecycle.ListedStatus == wire.MachineRunning && !m.Lifecycle.ProvisionedThisTerm
	return running || len(m.Assignments()) > 0
}

// needsFencing tells whether a machine has tasks and has not shown a token of this leader. The
// answer to its heartbeat contains one. An agent that sends no heartbeats here must be called.
func needsFencing(m *cluster.Machine) bool {
	return !m.Agent.Fenced && len(m.Assignments()) > 0
}

// needsDirectCall tells whether an agent must get a command or a token before its next
// heartbeat.
func (d *commandDispatcher) needsDirectCall(m *cluster.Machine) bool {
	if needsFencing(m) && d.answerOverdue(m) {
		return true
	}
	for _, a := range m.Assignments() {
		if mayBeSent(a) && !a.Delivery.Sent {
			return true
		}
		if mustEnd(a) && a.Delivery.KillSentAt == 0 {
			return true
		}
	}
	return false
}

// answerOverdue tells whether no heartbeat of a machine was answered in the last interval.
func (d *commandDispatcher) answerOverdue(m *cluster.Machine) bool {
	return m.Agent.AnsweredAt == 0 || d.clock.Now() > m.Agent.AnsweredAt.Add(d.settings.heartbeatInterval)
}
