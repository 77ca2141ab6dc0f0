package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// updateReachability detects one-way partitions. A machine whose reports arrive while
// nothing that it is told reaches it looks healthy, takes work for ever and does none: its
// lease runs out although every report was answered, and what it was told to start never
// shows.
func (hm *healthMonitor) updateReachability(m *machine, rep *wire.Heartbeat, direct bool) {
	switch {
	case direct || m.unreachable && rep.FencingToken >= hm.core.commands.tokenOf(m):
		// It carried out a call, or shows the token that it was given since.
		hm.core.schedulingDue = hm.core.schedulingDue || m.unreachable
		m.unreachable = false
	case m.unreachable || !m.reported:
	case rep.Incarnation > m.session && hm.core.now < m.answeredAt.Add(hm.core.opt.AgentLease*2/3), hm.startUnacknowledged(m, rep):
		m.unreachable, m.unreachableSince = true, hm.core.now
		// A machine that does hear shows this soon.
		m.counter++
		hm.core.schedulingDue = true
	}
}

// acknowledgeWithin is how long a machine has to show that something reached it.
func (hm *healthMonitor) acknowledgeWithin() time.Duration {
	return 2*hm.core.opt.HeartbeatInterval + 2*time.Second
}

// startUnacknowledged tells whether a report still lacks something that its machine was
// told long ago to start.
func (hm *healthMonitor) startUnacknowledged(m *machine, rep *wire.Heartbeat) bool {
	for _, a := range m.taskList {
		if a.sent && !a.seen && a.stopReason == stopNone && hm.core.now > max(a.sentAt, hm.core.resumedAt).Add(hm.acknowledgeWithin()) &&
			!slices.ContainsFunc(rep.Tasks, func(t wire.TaskStatus) bool { return t.Attempt == a.attempt && t.Name == a.ref().String() }) {
			return true
		}
	}
	return false
}
