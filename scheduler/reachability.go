package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// acknowledgeSlack is added to two heartbeat intervals. Within that time a machine must have shown
// that a command reached it.
const acknowledgeSlack = 2 * time.Second

// reachabilityDetector detects one-way partitions, in which a machine's heartbeats arrive but no
// command reaches the machine. Such a machine looks healthy, is assigned tasks and never runs them.
// There are two symptoms: the machine's lease expires although every heartbeat was answered, or
// heartbeats do not report a task for which a run command was sent.
//
// Each heartbeat that is newer than all previous ones is passed to observe, or to markReachable if
// the machine sent it in response to a call. The detector itself terminates no machine. The health
// check does so once a machine is overdue.
type reachabilityDetector struct {
	clock    *clock.Clock
	rounds   *clock.RoundTrigger
	tokens   fencingTokens
	settings healthSettings
}

// fencingTokens issues fencing tokens to machines.
type fencingTokens interface {
	// fencingToken returns the token that commands to a machine carry now.
	fencingToken(m *cluster.Machine) ids.FencingToken
	// raiseToken makes all further commands to a machine carry a higher token.
	raiseToken(m *cluster.Machine)
}

// markReachable records that commands reach a machine, as an answered call or its newest fencing
// token shows.
func (d *reachabilityDetector) markReachable(m *cluster.Machine) {
	if m.Health.Unreachable {
		d.rounds.MarkDue()
	}
	m.Health.Unreachable = false
}

// requireProof makes a machine unreachable until it shows the token that commands to it carry now, or answers a
// call. It is overdue if it does neither in time.
func (d *reachabilityDetector) requireProof(m *cluster.Machine) {
	if !m.Health.Unreachable {
		m.Health.Unreachable, m.Health.UnreachableSince = true, d.clock.Now()
	}
}

// observe determines from a heartbeat whether commands reach the machine. The heartbeat must not
// have been applied to m yet.
func (d *reachabilityDetector) observe(m *cluster.Machine, heartbeat *wire.Heartbeat) {
	switch {
	case m.Health.Unreachable:
		if heartbeat.FencingToken >= d.tokens.fencingToken(m) {
			d.markReachable(m) // the machine has received the raised token
		}
	case !m.Agent.HeartbeatThisTerm:
		// No command has been sent to the machine yet.
	case d.lostAnsweredLease(m, heartbeat) || d.runCommandUnacknowledged(m, heartbeat):
		m.Health.Unreachable, m.Health.UnreachableSince = true, d.clock.Now()
		// A machine that receives the raised token shows it in its next heartbeats.
		d.tokens.raiseToken(m)
		d.rounds.MarkDue()
	}
}

// overdue reports whether an unreachable machine has had enough time to show that commands reach it.
func (d *reachabilityDetector) overdue(m *cluster.Machine) bool {
	return m.Health.Unreachable && d.clock.Now() > m.Health.UnreachableSince.Add(d.acknowledgeTimeout())
}

// acknowledgeTimeout returns the time within which a machine must show that a command reached it.
func (d *reachabilityDetector) acknowledgeTimeout() time.Duration {
	return 2*d.settings.heartbeatInterval + acknowledgeSlack
}

// lostAnsweredLease reports whether an agent lost its lease, and so began a new incarnation,
// although a heartbeat was answered within the last two thirds of a lease.
func (d *reachabilityDetector) lostAnsweredLease(m *cluster.Machine, heartbeat *wire.Heartbeat) bool {
	answeredRecently := d.clock.Now() < m.Agent.AnsweredAt.Add(d.settings.agentLease*2/3)
	return heartbeat.Incarnation > m.Agent.Incarnation && answeredRecently
}

// runCommandUnacknowledged reports whether a heartbeat lacks a task for which a run command was sent
// longer ago than acknowledgeTimeout.
func (d *reachabilityDetector) runCommandUnacknowledged(m *cluster.Machine, heartbeat *wire.Heartbeat) bool {
	for _, a := range m.Assignments() {
		if !a.Delivery.Sent || a.Delivery.Reported || a.StopReason() != cluster.StopNone {
			continue
		}
		// No heartbeat can arrive while this process is paused, so the time before it resumed
		// does not count.
		waitingSince := max(a.Delivery.SentAt, d.clock.ResumedAt())
		if d.clock.Now() > waitingSince.Add(d.acknowledgeTimeout()) && !reportsTask(heartbeat, a) {
			return true
		}
	}
	return false
}

// reportsTask reports whether a heartbeat contains the assignment's attempt of its task.
func reportsTask(heartbeat *wire.Heartbeat, a *cluster.Assignment) bool {
	name := a.Ref().String()
	return slices.ContainsFunc(heartbeat.Tasks, func(t wire.TaskStatus) bool {
		return t.Attempt == a.Attempt && t.Name == name
	})
}
