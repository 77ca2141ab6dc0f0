package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// restartDetector detects agents that restarted under the same name and lost their fencing token, incarnation
// and sequence. The heartbeats of such an agent look like duplicates of old ones. Until it is given a token, it
// executes late duplicates of direct calls, for tasks that were moved or cancelled since. So it must get a token
// above all those that were used before, its answered heartbeats must count as renewals of its lease, and it
// must get no tasks before.
//
// Proof of a restart is a response to a call that is older than a heartbeat that had arrived before the call.
// The detector changes Machine.Agent and raises tokens; it releases no task.
type restartDetector struct {
	clock    *clock.Clock
	rounds   *clock.RoundTrigger
	commands restartCommands
	// heartbeatInterval is the time between two heartbeats of a machine.
	heartbeatInterval time.Duration
	// restarts is the number of restarts detected in this term, for the log.
	restarts int
}

// restartCommands gives agents new tokens.
type restartCommands interface {
	machineQueue
	fencingTokens
}

// heartbeatOrder represents how a heartbeat relates to those of its machine that arrived before.
type heartbeatOrder uint8

const (
	// newestHeartbeat is newer than all others.
	newestHeartbeat heartbeatOrder = iota
	// overtakenHeartbeat was sent before a response to a call that arrived earlier. Its agent waits for
	// an answer.
	overtakenHeartbeat
	// duplicateHeartbeat arrived before, or a newer one did. Its agent does not wait for an answer unless
	// it has restarted.
	duplicateHeartbeat
	// unfencedHeartbeat shows no token, or one below that which the agent must show after a restart. Its agent waits
	// for an answer, or it is a duplicate of an old heartbeat.
	unfencedHeartbeat
)

// orderOf returns the order of a heartbeat that an agent sent by itself.
func (*restartDetector) orderOf(m *cluster.Machine, heartbeat *wire.Heartbeat) heartbeatOrder {
	version := cluster.VersionOf(heartbeat)
	switch {
	case !m.Agent.HeartbeatThisTerm:
		return newestHeartbeat
	case version.FencingToken < m.Agent.RequiredToken:
		return unfencedHeartbeat
	case version.Newer(m.Agent.Version()):
		return newestHeartbeat
	case version.FencingToken == 0 && m.Agent.FencingToken > 0:
		// The agent has forgotten all tokens, or this is a duplicate of one of its first heartbeats.
		return unfencedHeartbeat
	case version.Newer(m.Agent.NewestReport):
		return overtakenHeartbeat
	}
	return duplicateHeartbeat
}

// fence requires a new token of the agent that sent an unfenced heartbeat, unless one is required already.
func (d *restartDetector) fence(m *cluster.Machine) {
	if m.Agent.RequiredToken == 0 {
		d.requireNewToken(m)
	}
}

// requireNewToken raises the token of a machine above all tokens that were used for it before. Until the agent
// shows the new one, heartbeats change no state, and the machine gets no tasks.
func (d *restartDetector) requireNewToken(m *cluster.Machine) {
	d.commands.raiseToken(m)
	m.Agent.RequiredToken = d.commands.fencingToken(m)
	m.Agent.Fenced = false
	m.Agent.NewestReport = cluster.HeartbeatVersion{FencingToken: m.Agent.RequiredToken}
	d.commands.queueMachine(m)
}

// suspect records that a duplicate arrived. An agent of which nothing else arrives may have restarted, so it is
// asked for a heartbeat.
func (d *restartDetector) suspect(m *cluster.Machine) {
	if !m.NoHeartbeatFor(d.clock.Now(), d.heartbeatInterval*5/4) {
		return
	}
	if m.Agent.RestartSuspectedAt == 0 {
		m.Agent.RestartSuspectedAt = d.clock.Now()
	}
	m.Commands.VerifyRestart = true
	d.commands.queueMachine(m)
}

// observeResponse examines the response to a call that was sent after the heartbeat with the version sentAfter had
// arrived. It reports whether the response proves that the agent has restarted since. The agent must then show
// a new token.
func (d *restartDetector) observeResponse(m *cluster.Machine, response *wire.Heartbeat, sentAfter cluster.HeartbeatVersion) bool {
	if !m.Agent.HeartbeatThisTerm || !cluster.VersionOf(response).SentBefore(sentAfter) {
		return false
	}
	d.restarts++
	d.requireNewToken(m)
	return true
}

// observeNewest records a restart if the newest heartbeat has a lower incarnation or sequence than another one. It
// must be called before the heartbeat is applied.
func (d *restartDetector) observeNewest(m *cluster.Machine, heartbeat *wire.Heartbeat) {
	if m.Agent.HeartbeatThisTerm && cluster.VersionOf(heartbeat).SentBefore(m.Agent.Version()) {
		d.restarts++
	}
}

// applied records that a heartbeat was applied, which is newer than all others or proves a restart.
func (d *restartDetector) applied(m *cluster.Machine) {
	m.Agent.RestartSuspectedAt, m.Commands.VerifyRestart = 0, false
	if m.Agent.RequiredToken != 0 && m.Agent.FencingToken >= m.Agent.RequiredToken {
		m.Agent.RequiredToken = 0
		d.rounds.MarkDue()
	}
}
