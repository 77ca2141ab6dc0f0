package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// commandDispatcher decides which commands each agent gets, and under which fencing token: in
// the answer to its heartbeat, or by a direct call where the next heartbeat would be too late. It
// also decides which agents are asked for a heartbeat, and bounds the calls in flight.
//
// Heartbeats, health checks, the task lifecycle and record writing queue the machines to
// which a command may have to be sent; each step of the core dispatches to them. The dispatcher
// makes no call itself. It writes the notes in Machine.Commands and Assignment.Delivery. It
// never starts a task whose record is not committed, and never lets an agent forget an
// attempt whose end is not recorded.
type commandDispatcher struct {
	cluster  *cluster.State
	clock    *clock.Clock
	records  taskRecordStatus
	settings dispatchSettings
	// queue holds the machines to which a command may have to be sent, in the order in which
	// they were queued.
	queue []*cluster.Machine
	// callsInFlight counts the calls to agents that have not ended.
	callsInFlight int
}

// dispatchSettings are the settings of command dispatch.
type dispatchSettings struct {
	// revision is that of the leader's key; all fencing tokens of the term contain it.
	revision ids.Revision
	// maxCallsInFlight bounds the calls to agents in flight; 0: no bound.
	maxCallsInFlight int
	// heartbeatInterval is the time between two heartbeats of an agent.
	heartbeatInterval time.Duration
}

// taskRecordStatus knows which records are behind.
type taskRecordStatus interface {
	// upToDate tells whether the record of a task, and of the end of its job, says what the
	// state says.
	upToDate(j *cluster.Job, index int) bool
}

// Bounds of the commands in one message. They keep it within the protocol's limit for
// bodies, and leave space for reap commands beside many kill commands.
const (
	maxCommands     = 300
	maxKillCommands = maxCommands / 2
	maxReapCommands = maxCommands / 2
)

// fencingToken is the fencing token that commands to a machine carry now.
func (d *commandDispatcher) fencingToken(m *cluster.Machine) ids.FencingToken {
	return ids.NewFencingToken(d.settings.revision, m.Commands.TokenCounter)
}

// raiseToken makes commands to a machine carry a higher token from now on. An agent that has
// seen it refuses every command under a lower one.
func (*commandDispatcher) raiseToken(m *cluster.Machine) { m.Commands.TokenCounter++ }

// answerHeartbeat makes the answer to a heartbeat: which tasks to kill, to reap and to run.
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

// invalidateDirectRuns raises a machine's token above every one under which a direct call carried
// a run command. An agent that has reaped an attempt would start it again if such a command
// arrived late or twice.
func (d *commandDispatcher) invalidateDirectRuns(m *cluster.Machine) {
	if m.Commands.DirectRunToken >= d.fencingToken(m) {
		d.raiseToken(m)
	}
}
