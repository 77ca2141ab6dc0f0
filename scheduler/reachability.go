package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// updateReachability detects one-way partitions. A machine whose reports arrive while
// nothing that it is told reaches it looks healthy, takes work for ever and does none: its
// lease runs out although every report was answered, and what it was told to start never
// shows.
func (hm *healthMonitor) updateReachability(m *cluster.Machine, rep *wire.Heartbeat, direct bool) {
	switch {
	case direct || m.Health.Unreachable && rep.FencingToken >= hm.core.commands.tokenOf(m):
		// It carried out a call, or shows the token that it was given since.
		if m.Health.Unreachable {
			hm.core.rounds.MarkDue()
		}
		m.Health.Unreachable = false
	case m.Health.Unreachable || !m.Agent.Reported:
	case rep.Incarnation > m.Agent.Incarnation && hm.core.clock.Now() < m.Agent.AnsweredAt.Add(hm.core.opt.AgentLease*2/3), hm.startUnacknowledged(m, rep):
		m.Health.Unreachable, m.Health.UnreachableSince = true, hm.core.clock.Now()
		// A machine that does hear shows this soon.
		m.Commands.TokenCounter++
		hm.core.rounds.MarkDue()
	}
}

// acknowledgeWithin is how long a machine has to show that something reached it.
func (hm *healthMonitor) acknowledgeWithin() time.Duration {
	return 2*hm.core.opt.HeartbeatInterval + 2*time.Second
}

// startUnacknowledged tells whether a report still lacks something that its machine was
// told long ago to start.
func (hm *healthMonitor) startUnacknowledged(m *cluster.Machine, rep *wire.Heartbeat) bool {
	for _, a := range m.Assignments() {
		if a.Delivery.Sent && !a.Delivery.Seen && a.StopReason() == cluster.StopNone && hm.core.clock.Now() > max(a.Delivery.SentAt, hm.core.clock.ResumedAt()).Add(hm.acknowledgeWithin()) &&
			!slices.ContainsFunc(rep.Tasks, func(t wire.TaskStatus) bool { return t.Attempt == a.Attempt && t.Name == a.Ref().String() }) {
			return true
		}
	}
	return false
}
