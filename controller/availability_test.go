package controller

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/monotonic"
)

// simulatedBalancer applies the load balancer's rules to one controller: it probes once a second, removes the
// controller after two failures in a row or three among the last six probes, and adds it again after two
// successes in a row, but not before a pause that doubles with each removal. It resets the connections of a
// controller that has been removed for 5 s.
type simulatedBalancer struct {
	probes                     []bool // the last six
	removed                    bool
	removedAt                  time.Time
	pause                      time.Duration
	removals, resetConnections int
}

const connectionResetDelay = 5 * time.Second

func newSimulatedBalancer() *simulatedBalancer { return &simulatedBalancer{pause: 3 * time.Second} }

func (b *simulatedBalancer) probe(healthy bool) {
	twice := len(b.probes) > 0 && b.probes[len(b.probes)-1] == healthy
	b.probes = append(b.probes, healthy)
	b.probes = b.probes[max(0, len(b.probes)-6):]
	switch {
	case !b.removed && !healthy && (twice || b.failures() >= 3):
		b.removed, b.removedAt = true, time.Now()
		b.removals++
	case b.removed && healthy && twice && time.Since(b.removedAt) >= b.pause:
		b.removed, b.probes, b.pause = false, nil, 2*b.pause
	}
	if b.removed && time.Since(b.removedAt) >= connectionResetDelay {
		b.resetConnections++
	}
}

// failures returns the number of failures among the last probes.
func (b *simulatedBalancer) failures() int {
	failures := 0
	for _, healthy := range b.probes {
		if !healthy {
			failures++
		}
	}
	return failures
}

// availabilityTest holds the availability of one of two controllers, and the load balancer in front of it.
type availabilityTest struct {
	*availability
	balancer *simulatedBalancer
	// storeLost reports whether the store cannot be reached, and peerLost whether the peer cannot.
	storeLost, peerLost bool
}

// withAvailability runs a test for a controller whose store and peer can be reached.
func withAvailability(t *testing.T, test func(t *testing.T, a *availabilityTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		a := &availabilityTest{balancer: newSimulatedBalancer()}
		a.availability = &availability{clock: monotonic.SystemClock(), health: new(storeHealth),
			peers: newPeerSet([]config.Peer{{Name: "n-1", Address: "127.0.0.1:1"}}), log: slog.New(slog.DiscardHandler),
			probe: func(context.Context) {
				if a.storeLost {
					time.Sleep(time.Second) // until the request times out
					a.health.failures.Add(1)
				}
			}}
		test(t, a)
	})
}

// pass lets time pass, in which the peer answers pings unless it is lost.
func (a *availabilityTest) pass(d time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = a.run(ctx)
	}()
	for i := range int(d / pingInterval) {
		if !a.peerLost {
			a.peers[0].lastAnswer.Store(int64(a.clock.Now()))
		}
		if !a.storeLost {
			a.health.failures.Store(0)
		}
		if i%2 == 1 {
			a.balancer.probe(a.available())
		}
		time.Sleep(pingInterval)
	}
	cancel()
	<-stopped
}

// A controller that reaches neither the store nor a peer answers none of its users, who keep their connections.
// Within seconds they must be served by another controller.
func TestIsolatedControllerGivesItsUsersAway(t *testing.T) {
	withAvailability(t, func(t *testing.T, a *availabilityTest) {
		a.pass(5 * time.Second)
		a.storeLost, a.peerLost = true, true
		a.pass(8 * time.Second)
		if !a.balancer.removed || !a.Draining() {
			t.Errorf("8 s after the partition began: removed %v, draining %v", a.balancer.removed, a.Draining())
		}
		a.storeLost, a.peerLost = false, false
		a.pass(12 * time.Second)
		if a.balancer.removed || a.Draining() {
			t.Errorf("12 s after the partition ended: removed %v, draining %v", a.balancer.removed, a.Draining())
		}
	})
}

// In an outage of the store for all controllers, or of the peer alone, no other controller serves users better.
// If this one gave its users away, they would go in a circle. A partition of two seconds costs no connection.
func TestControllerKeepsUsersThatNoOtherServesBetter(t *testing.T) {
	for _, c := range []struct {
		name                string
		storeLost, peerLost bool
		d                   time.Duration
	}{
		{"store outage for all", true, false, time.Minute},
		{"peer down", false, true, time.Minute},
		{"partition for two seconds", true, true, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			withAvailability(t, func(t *testing.T, a *availabilityTest) {
				a.pass(5 * time.Second)
				a.storeLost, a.peerLost = c.storeLost, c.peerLost
				a.pass(c.d)
				draining := a.Draining()
				a.storeLost, a.peerLost = false, false
				a.pass(10 * time.Second)
				if draining || a.balancer.removals > 0 || a.balancer.resetConnections > 0 {
					t.Errorf("draining %v, %d removals, %d resets", draining, a.balancer.removals, a.balancer.resetConnections)
				}
			})
		})
	}
}

// The load balancer doubles its pause with each removal. A controller whose partition comes and goes must not be
// removed again and again.
func TestFlappingPartitionRemovesAControllerOnce(t *testing.T) {
	withAvailability(t, func(t *testing.T, a *availabilityTest) {
		a.pass(5 * time.Second)
		for range 10 {
			a.storeLost, a.peerLost = true, true
			a.pass(5 * time.Second)
			a.storeLost, a.peerLost = false, false
			a.pass(2 * time.Second)
		}
		if a.balancer.removals != 1 {
			t.Errorf("removed %d times, want once", a.balancer.removals)
		}
	})
}
