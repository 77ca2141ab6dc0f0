package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// commandDispatcher decides which commands are sent to each agent, and under which fencing token.
// Commands are sent in the response to a heartbeat, or by a direct call where the next heartbeat
// would be too late. The dispatcher also decides which agents are asked for a heartbeat, and
// limits the number of calls in flight.
//
// Heartbeats, health checks, the task lifecycle and the record writer queue the machines to
// which a command may have to be sent. Each step of the core dispatches to the queued machines.
// The dispatcher makes no call itself. It writes Machine.Commands and Assignment.Delivery. It
// never starts a task whose record is not committed. It never lets an agent forget an attempt
// whose end is not recorded.
type commandDispatcher struct {
	cluster  *cluster.State
	clock    *clock.Clock
	records  taskRecordStatus
	settings dispatchSettings
	// queue holds the machines to which a command may have to be sent, in the order in which
	// they were queued.
	queue []*cluster.Machine
	// callsInFlight is the number of calls to agents that have not ended.
	callsInFlight int
}

// dispatchSettings holds the settings of command dispatch.
type dispatchSettings struct {
	// revision is the revision of the leader key. All fencing tokens of the term contain it.
	revision ids.Revision
	// maxCallsInFlight is the maximum number of calls to agents in flight; 0: no limit.
	maxCallsInFlight int
	// heartbeatInterval is the time between two heartbeats of a machine.
	heartbeatInterval time.Duration
}

// taskRecordStatus reports which records match the cluster state.
type taskRecordStatus interface {
	// upToDate reports whether the record of a task matches the cluster state, and the end of
	// its job, if it has ended, is recorded.
	upToDate(j *cluster.Job, index int) bool
}

// Limits on the number of commands in one message. They keep the message within the protocol's
// size limit for bodies, and leave space for reap commands when there are many kill commands.
const (
	maxCommands     = 300
	maxKillCommands = maxCommands / 2
	maxReapCommands = maxCommands / 2
)

// fencingToken returns the fencing token that commands to a machine carry now.
func (d *commandDispatcher) fencingToken(m *cluster.Machine) ids.FencingToken {
	return ids.NewFencingToken(d.settings.revision, m.Commands.TokenCounter)
}

// raiseToken makes later commands to a machine carry a higher token. An agent that has seen the
// higher token rejects every command under a lower one.
func (*commandDispatcher) raiseToken(m *cluster.Machine) { m.Commands.TokenCounter++ }

// answerHeartbeat returns the response to a heartbeat, with the commands to kill, reap and run
// tasks.
func (d *commandDispatcher) answerHeartbeat(m *cluster.Machine) wire.HeartbeatResponse {
	commands := d.killCommands(m)
	if !m.Commands.CallInFlight {
		reaps := d.reapCommands(m)
		if len(reaps) > 0 {
			d.invalidateDirectRuns(m)
		}
		commands = append(commands, reaps...)
	}
	runs := d.runCommands(m, maxCommands-len(commands))
	return wire.HeartbeatResponse{FencingToken: d.fencingToken(m), Commands: append(commands, runs...)}
}

// invalidateDirectRuns raises a machine's token above every token under which a direct call
// carried a run command. Otherwise an agent that has reaped an attempt would start it again if
// such a command arrived late or twice.
func (d *commandDispatcher) invalidateDirectRuns(m *cluster.Machine) {
	if m.Commands.DirectRunToken >= d.fencingToken(m) {
		d.raiseToken(m)
	}
}
