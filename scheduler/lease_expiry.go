package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// leaseExpirySlack is added to a lease and its drift margin before the lease counts as expired.
// The proof in docs/design.md that a task has ended relies on it.
const leaseExpirySlack = time.Second

// leaseExpiry determines which agents' leases have certainly expired, so that the tasks on their
// machines have ended. It does not modify any state.
type leaseExpiry struct {
	clock   *clock.Clock
	leaders previousLeaderBounds
	// agentLease is how long an agent keeps running tasks after its last answered heartbeat.
	agentLease time.Duration
}

// previousLeaderBounds bounds the time until which previous leaders may have answered heartbeats.
type previousLeaderBounds interface {
	// answeredUntil returns the latest time at which a previous leader may have received a heartbeat
	// of the machine that it then answered.
	answeredUntil(m *cluster.Machine) monotonic.Instant
}

// expired reports whether it is certain that no leader has answered a heartbeat of the agent for
// longer than a lease.
func (e *leaseExpiry) expired(m *cluster.Machine) bool {
	lease := monotonic.AddDriftMargin(e.agentLease)
	return e.clock.Now() > e.lastAnswered(m).Add(lease+leaseExpirySlack)
}

// lastAnswered returns the latest time at which any leader may have answered a heartbeat of the
// agent. A previous leader that is cut off from the key-value store may have answered during its
// grace period, until the agent was fenced or that leader followed this one. The lease of an agent that has
// restarted begins with the restart, which was before the first heartbeat that may come from it.
func (e *leaseExpiry) lastAnswered(m *cluster.Machine) monotonic.Instant {
	byThisLeader := max(m.Agent.AnsweredAt, m.Agent.RestartSuspectedAt)
	if m.Agent.Fenced {
		return max(m.Agent.FencedAt, byThisLeader)
	}
	return max(e.leaders.answeredUntil(m), byThisLeader)
}
