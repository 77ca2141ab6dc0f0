package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// fixedBound is the instant until which previous leaders may answer heartbeats, for all machines.
type fixedBound monotonic.Instant

func (u fixedBound) answeredUntil(*cluster.Machine) monotonic.Instant { return monotonic.Instant(u) }

// A lease counts as expired only once it is certain that no leader has answered the agent for a lease,
// the drift margin and a second. Before that, tasks that are still running would be released. Previous
// leaders count until the agent is fenced.
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
			testClock := clock.New(0)
			leases := &leaseExpiry{clock: testClock, leaders: fixedBound(c.previousUntil), agentLease: simAgentLease}
			m := &cluster.Machine{Agent: c.agent}
			bound := c.lastAnswered.Add(monotonic.AddDriftMargin(simAgentLease) + time.Second)
			testClock.Set(bound)
			if leases.expired(m) {
				t.Error("expired at the bound")
			}
			testClock.Set(bound + 1)
			if !leases.expired(m) {
				t.Error("not expired after the bound")
			}
		})
	}
}
