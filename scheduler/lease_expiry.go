package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// leaseExpirySlack is added to a lease and its drift margin until the lease counts as expired.
// docs/design.md relies on it where it proves that a task has ended.
const leaseExpirySlack = time.Second

// leaseExpiry tells which agents' leases have certainly expired, so that the tasks on their
// machines have ended. It changes nothing.
type leaseExpiry struct {
	clock   *clock.Clock
	leaders previousLeaderBounds
	// agentLease is how long an agent runs tasks after its last answered heartbeat.
	agentLease time.Duration
}

// previousLeaderBounds tells until when previous leaders can have answered heartbeats.
type previousLeaderBounds interface {
	// answeredUntil is the latest time at which a previous leader can have received a heartbeat of
	// a machine that it then answered.
	answeredUntil(m *cluster.Machine) monotonic.Instant
}

// expired tells whether no leader can have answered an agent's heartbeat for longer than a
// lease.
func (e *leaseExpiry) expired(m *cluster.Machine) bool {
	lease := monotonic.AddDriftMargin(e.agentLease)
	return e.clock.Now() > e.lastAnswered(m).Add(lease+leaseExpirySlack)
}

// lastAnswered is the latest time at which any leader can have answered an agent's heartbeat.
// A previous leader without the key-value store may have answered during its grace,
// until the agent was fenced or that leader followed this one.
func (e *leaseExpiry) lastAnswered(m *cluster.Machine) monotonic.Instant {
	if m.Agent.Fenced {
		return max(m.Agent.FencedAt, m.Agent.AnsweredAt)
	}
	return max(e.leaders.answeredUntil(m), m.Agent.AnsweredAt)
}
