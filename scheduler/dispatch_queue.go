package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// heartbeatRequestInterval is the minimum time between two requests for a machine's heartbeat.
const heartbeatRequestInterval = 2 * time.Second

// agentCalls holds the machines whose agents should be called now.
type agentCalls struct {
	sendCommands      []ids.MachineID
	requestHeartbeats []ids.MachineID
}

// dispatchAction represents what command dispatch does about a queued machine.
type dispatchAction uint8

const (
	// dequeue means that there is nothing to do until an event queues the machine again.
	dequeue dispatchAction = iota
	// keepQueued means that a call may be needed later without another event.
	keepQueued
	sendCommands
	requestHeartbeat
)

// queueMachine queues a machine to which a command may have to be sent. Only queued machines are
// examined, since examining a thousand machines after every event would take too much CPU time.
func (d *commandDispatcher) queueMachine(m *cluster.Machine) {
	if !m.Commands.Queued {
		m.Commands.Queued = true
		d.queue = append(d.queue, m)
	}
}

// dispatch returns the machines whose agents should be called now, in the order in which they
// were queued. After a failover or a network partition, hundreds of machines are queued while
// events arrive. The limit on calls in flight therefore also bounds the duration of a step.
func (d *commandDispatcher) dispatch() agentCalls {
	var calls agentCalls
	remaining := d.availableCalls()
	queue := d.queue[:0]
	for _, m := range d.queue {
		action := d.nextAction(m)
		switch {
		case action == sendCommands && remaining > 0:
			remaining--
			calls.sendCommands = append(calls.sendCommands, m.ID)
		case action == requestHeartbeat && remaining > 0:
			remaining--
			d.heartbeatRequestStarted(m)
			calls.requestHeartbeats = append(calls.requestHeartbeats, m.ID)
		case action != dequeue:
			queue = append(queue, m)
			continue
		}
		m.Commands.Queued = false
	}
	clear(d.queue[len(queue):])
	d.queue = queue
	return calls
}

// availableCalls returns the number of calls that may start now.
func (d *commandDispatcher) availableCalls() int {
	if d.settings.maxCallsInFlight <= 0 {
		return len(d.queue)
	}
	return d.settings.maxCallsInFlight - d.callsInFlight
}

// nextAction returns what to do about a queued machine, provided that a call is available.
func (d *commandDispatcher) nextAction(m *cluster.Machine) dispatchAction {
	switch {
	case d.cluster.Machine(m.ID) != m || !mayBeCalled(m):
		return dequeue
	case d.needsHeartbeatRequest(m):
		return requestHeartbeat
	case !m.Agent.HeartbeatThisTerm:
		return dequeue
	case m.Commands.CallInFlight || m.Commands.CallFailed:
		return dequeue
	case d.clock.Now() < m.Commands.CallRetryAt:
		return keepQueued
	case d.needsDirectCall(m):
		return sendCommands
	case needsFencing(m):
		return keepQueued // the agent must be called unless it sends a heartbeat first
	}
	return dequeue
}

// mayBeCalled reports whether a machine has an agent that a call may reach.
func mayBeCalled(m *cluster.Machine) bool {
	return !m.Lifecycle.Terminating && m.Endpoint() != ""
}

// needsHeartbeatRequest reports whether the agent of a machine from a previous leader's term
// should be asked for a heartbeat now. After a failover the agent's incarnation is not known, and
// the agent may take seconds to find this leader. A previous leader that is cut off from the
// key-value store and from this leader, but not from its agents, keeps them from finding this
// leader. It steps down when an agent shows it a token of this leader.
//
// The agent of a machine that may have restarted is asked as well.
func (d *commandDispatcher) needsHeartbeatRequest(m *cluster.Machine) bool {
	if m.Commands.HeartbeatRequested || !mayBeCalled(m) || d.clock.Now() < m.Commands.RequestHeartbeatAt {
		return false
	}
	if m.Agent.HeartbeatThisTerm {
		return m.Commands.VerifyRestart
	}
	running := m.Lifecycle.ListedStatus == wire.MachineRunning && !m.Lifecycle.ProvisionedThisTerm
	return running || len(m.Assignments()) > 0
}

// needsFencing reports whether a machine has tasks and its agent has not shown a token of this
// leader. The response to a heartbeat contains one. An agent that sends no heartbeats to this
// leader must be called.
func needsFencing(m *cluster.Machine) bool {
	return !m.Agent.Fenced && len(m.Assignments()) > 0
}

// needsDirectCall reports whether an agent must receive a command or a token before its next
// heartbeat.
func (d *commandDispatcher) needsDirectCall(m *cluster.Machine) bool {
	if m.Agent.RequiredToken != 0 || needsFencing(m) && d.responseOverdue(m) {
		return true
	}
	for _, a := range m.Assignments() {
		if mayBeSent(a) && !a.Delivery.Sent {
			return true
		}
		if mustBeKilled(a) && a.Delivery.KillSentAt == 0 {
			return true
		}
	}
	return false
}

// responseOverdue reports whether no heartbeat of a machine was answered within the last heartbeat
// interval.
func (d *commandDispatcher) responseOverdue(m *cluster.Machine) bool {
	return m.Agent.AnsweredAt == 0 || d.clock.Now() > m.Agent.AnsweredAt.Add(d.settings.heartbeatInterval)
}
