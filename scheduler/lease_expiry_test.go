package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// fixedBound has previous leaders answer heartbeats until an instant.
type fixedBound monotonic.Instant

func (u fixedBound) answeredUntil(*cluster.Machine) monotonic.Instant { return monotonic.Instant(u) }

// A lease has expired once no leader can have answered the agent for a lease, drift and a
// second. Previous leaders count until the agent is fenced.
func TestLeaseExpiry(t *testing.T) {
	const began = monotonic.Instant(time.Hour)
	at := func(d time.Duration) monotonic.Instant { return began.Add(d) }
	for _, c := range []struct {
		name          string
		agent         cluster.AgentStatus
		previousUntil monotonic.Instant
		lastAnswered  monotonic.Instant
	}{
		{"answered by this leader", cluster.AgentStatus{AnsweredAt: at(time.Minute)}, began, at(time.Minute)},
		{"never answered", cluster.AgentStatus{}, began, began},
		{"a previous leader may have answered later", cluster.AgentStatus{AnsweredAt: at(time.Minute)}, at(time.Hour), at(time.Hour)},
		{"fenced, then answered", cluster.AgentStatus{Fenced: true, FencedAt: at(time.Second), AnsweredAt: at(time.Minute)}, at(time.Hour), at(time.Minute)},
		{"answered, then fenced", cluster.AgentStatus{Fenced: true, FencedAt: at(time.Minute), AnsweredAt: at(time.Second)}, at(time.Hour), at(time.Minute)},
	} {
		t.Run(c.name, func(t *testing.T) {
			present := clock.New(0)
			leases := &leaseExpiry{clock: present, leaders: fixedBound(c.previousUntil), agentLease: simAgentLease}
			m := &cluster.Machine{Agent: c.agent}
			bound := c.lastAnswered.Add(monotonic.AddDriftMargin(simAgentLease) + time.Second)
			present.Set(bound)
			if leases.expired(m) {
				t.Error("expired at the bound")
			}
			present.Set(bound + 1)
			if !leases.expired(m) {
				t.Error("not expired after the bound")
			}
		})
	}
}
