package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// callRetryDelay is the minimum time until a machine is called again after a failed call.
const callRetryDelay = time.Second

// TakeCommands returns the commands that should be sent to a machine now, and the address of its
// agent. ok is false if nothing may be sent. Otherwise the call counts as in flight until
// CommandsResult is called.
func (c *Core) TakeCommands(now monotonic.Instant, machine ids.MachineID) (batch wire.CommandBatch, endpoint string, ok bool) {
	c.clock.Set(now)
	return c.commands.takeBatch(machine)
}

// CommandsResult records the end of a call that TakeCommands started. heartbeat is the agent's
// response, or nil if there was none. Without a response the agent may still execute the commands
// later. Fencing tokens make late execution harmless.
func (c *Core) CommandsResult(now monotonic.Instant, machine ids.MachineID, heartbeat *wire.Heartbeat) {
	c.clock.Set(now)
	if heartbeat == nil {
		c.commands.commandCallFailed(machine)
		return
	}
	c.commands.commandCallAnswered(machine)
	if m := c.respondingMachine(machine, heartbeat); m != nil {
		c.heartbeats.receiveFromCall(heartbeat, m.Commands.CommandsSentAfter)
	}
}

// HeartbeatRequestResult records the end of a request for a heartbeat. heartbeat is the agent's
// response, or nil if there was none.
func (c *Core) HeartbeatRequestResult(now monotonic.Instant, machine ids.MachineID, heartbeat *wire.Heartbeat) {
	c.clock.Set(now)
	c.commands.heartbeatRequestEnded(machine)
	if m := c.respondingMachine(machine, heartbeat); m != nil {
		c.heartbeats.receiveFromCall(heartbeat, m.Commands.RequestSentAfter)
	}
}

// respondingMachine returns the machine that was called, or nil if there is no response, if the machine was
// removed, or if another machine has its address now and responded.
func (c *Core) respondingMachine(machine ids.MachineID, heartbeat *wire.Heartbeat) *cluster.Machine {
	if heartbeat == nil || heartbeat.Machine != machine {
		return nil
	}
	return c.cluster.Machine(machine)
}

// takeBatch returns the commands for a machine and counts the call as in flight. A batch without
// commands still fences the agent.
func (d *commandDispatcher) takeBatch(machine ids.MachineID) (batch wire.CommandBatch, endpoint string, ok bool) {
	m := d.cluster.Machine(machine)
	if m == nil || m.Commands.CallInFlight || !m.Up() {
		return wire.CommandBatch{}, "", false
	}
	commands := d.killCommands(m)
	token := d.fencingToken(m)
	if runs := d.unsentRunCommands(m, maxCommands-len(commands)); len(runs) > 0 {
		commands = append(commands, runs...)
		m.Commands.DirectRunToken = max(m.Commands.DirectRunToken, token)
	}
	m.Commands.CallInFlight = true
	m.Commands.CommandsSentAfter = m.Agent.Version()
	d.callsInFlight++
	return wire.CommandBatch{FencingToken: token, Incarnation: m.Agent.Incarnation, Commands: commands}, m.Endpoint(), true
}

// commandCallAnswered records the end of a call with commands that the agent answered.
func (d *commandDispatcher) commandCallAnswered(machine ids.MachineID) {
	if m := d.endCall(machine); m != nil {
		m.Commands.CallInFlight = false
	}
}

// commandCallFailed records the end of a call with commands that the agent did not answer. The
// machine is called again after callRetryDelay, and not before its next heartbeat.
func (d *commandDispatcher) commandCallFailed(machine ids.MachineID) {
	m := d.endCall(machine)
	if m == nil {
		return
	}
	m.Commands.CallInFlight = false
	m.Commands.CallFailed = true
	m.Commands.CallRetryAt = d.clock.Now().Add(callRetryDelay)
}

// allowCalls allows calls to a machine again after a failed call, since it has sent a heartbeat.
func (*commandDispatcher) allowCalls(m *cluster.Machine) { m.Commands.CallFailed = false }

// heartbeatRequestStarted counts a request for a machine's heartbeat as in flight.
func (d *commandDispatcher) heartbeatRequestStarted(m *cluster.Machine) {
	m.Commands.HeartbeatRequested, m.Commands.VerifyRestart = true, false
	m.Commands.RequestSentAfter = m.Agent.Version()
	m.Commands.RequestHeartbeatAt = d.clock.Now().Add(heartbeatRequestInterval)
	d.callsInFlight++
}

// heartbeatRequestEnded records the end of a request for a machine's heartbeat.
func (d *commandDispatcher) heartbeatRequestEnded(machine ids.MachineID) {
	if m := d.endCall(machine); m != nil {
		m.Commands.HeartbeatRequested = false
	}
}

// endCall removes a call from those in flight, and queues and returns its machine. It returns nil
// if the machine was removed.
func (d *commandDispatcher) endCall(machine ids.MachineID) *cluster.Machine {
	d.callsInFlight--
	m := d.cluster.Machine(machine)
	if m != nil {
		d.queueMachine(m)
	}
	return m
}
