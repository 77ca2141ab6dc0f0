package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// acknowledgeSlack is added to two heartbeat intervals until a machine must have shown that
// a command reached it.
const acknowledgeSlack = 2 * time.Second

// reachabilityDetector detects one-way partitions: a machine's heartbeats arrive, but no
// command reaches it. Such a machine looks healthy, takes tasks and never runs them. It
// shows in one of two ways: the machine's lease expires although every heartbeat was answered,
// or a task for which a run command was sent does not appear.
//
// Each heartbeat that is newer than all before it goes to observe, or to confirm if the
// machine sent it in answer to a call. The detector terminates no machine: the health check
// does, once a machine is overdue.
type reachabilityDetector struct {
	clock    *clock.Clock
	rounds   *clock.RoundTrigger
	tokens   fencingTokens
	settings healthSettings
}

// fencingTokens gives machines new fencing tokens.
type fencingTokens interface {
	// tokenOf is the token that commands to a machine carry now.
	tokenOf(m *cluster.Machine) ids.FencingToken
	// raiseToken makes commands to a machine carry a higher token from now on.
	raiseToken(m *cluster.Machine)
}

// confirm notes that a machine answered a call, so that commands reach it.
func (d *reachabilityDetector) confirm(m *cluster.Machine) {
	if m.Health.Unreachable {
		d.rounds.MarkDue()
	}
	m.Health.Unreachable = false
}

// observe judges from a heartbeat whether commands reach the machine. The heartbeat must not
// have been applied to m yet.
func (d *reachabilityDetector) observe(m *cluster.Machine, heartbeat *wire.Heartbeat) {
	switch {
	case m.Health.Unreachable:
		if heartbeat.FencingToken >= d.tokens.tokenOf(m) {
			d.confirm(m) // it has received the newer token
		}
	case !m.Agent.HeartbeatThisTerm:
		// No command was sent to it yet.
	case d.lostAnsweredLease(m, heartbeat) || d.startUnacknowledged(m, heartbeat):
		m.Health.Unreachable, m.Health.UnreachableSince = true, d.clock.Now()
		// A machine that receives the new token shows it in its next heartbeats.
		d.tokens.raiseToken(m)
		d.rounds.MarkDue()
	}
}

// overdue tells whether an unreachable machine has had enough time to show that it is not.
func (d *reachabilityDetector) overdue(m *cluster.Machine) bool {
	return m.Health.Unreachable && d.clock.Now() > m.Health.UnreachableSince.Add(d.acknowledgeTimeout())
}

// acknowledgeTimeout is how long a machine has to show that a command reached it.
func (d *reachabilityDetector) acknowledgeTimeout() time.Duration {
	return 2*d.settings.heartbeatInterval + acknowledgeSlack
}

// lostAnsweredLease tells whether an agent lost its lease, and so began a new incarnation,
// although a heartbeat was answered within the last two thirds of a lease.
func (d *reachabilityDetector) lostAnsweredLease(m *cluster.Machine, heartbeat *wire.Heartbeat) bool {
	answeredRecently := d.clock.Now() < m.Agent.AnsweredAt.Add(d.settings.agentLease*2/3)
	return heartbeat.Incarnation > m.Agent.Incarnation && answeredRecently
}

// startUnacknowledged tells whether a heartbeat lacks a task for which a run command was
// sent longer ago than acknowledgeTimeout.
func (d *reachabilityDetector) startUnacknowledged(m *cluster.Machine, heartbeat *wire.Heartbeat) bool {
	for _, a := range m.Assignments() {
		if !a.Delivery.Sent || a.Delivery.Reported || a.StopReason() != cluster.StopNone {
			continue
		}
		// During a pause of this process no heartbeat could show it.
		waitingSince := max(a.Delivery.SentAt, d.clock.ResumedAt())
		if d.clock.Now() > waitingSince.Add(d.acknowledgeTimeout()) && !showsTask(heartbeat, a) {
			return true
		}
	}
	return false
}

// showsTask tells whether a heartbeat shows an attempt of a task.
func showsTask(heartbeat *wire.Heartbeat, a *cluster.Assignment) bool {
	name := a.Ref().String()
	return slices.ContainsFunc(heartbeat.Tasks, func(t wire.TaskStatus) bool {
		return t.Attempt == a.Attempt && t.Name == name
	})
}
