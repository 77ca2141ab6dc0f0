package controller

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

const (
	// availabilityInterval is the interval between two checks of the connectivity.
	availabilityInterval = 250 * time.Millisecond
	// peerSilenceTimeout is the time since a peer's last answer to a ping after which the peer counts as
	// unreachable. It is longer than a ping that fails.
	peerSilenceTimeout = 2 * time.Second
	// probeTimeout is the time since the last answer of any peer after which the key-value store is probed.
	// Without it, the loss of the store would be noticed only by the requests of users.
	probeTimeout = time.Second
	// isolationTimeout is how long this controller must be isolated before it becomes unavailable.
	isolationTimeout = 500 * time.Millisecond
	// reconnectionTimeout is how long this controller must not be isolated before it becomes available
	// again. It is longer than a partition takes to be noticed, so that a partition that comes and goes
	// keeps the controller unavailable: the load balancer doubles its pause with each removal.
	reconnectionTimeout = 6 * time.Second
	// removalTimeout is how long after this controller became unavailable the load balancer has noticed,
	// which probes once a second and needs two failures. Before that it might choose this controller again
	// for a connection that was closed.
	removalTimeout = 3 * time.Second
)

// availability determines whether the load balancer should send users to this controller. It should not while
// the controller is isolated: it reaches neither the key-value store nor any other controller, so it can answer
// no user, and another controller probably can. In an outage of the store for all controllers the others still
// answer pings, and no controller becomes unavailable: its users would find none that serves them better.
//
// The method run updates the state; the other methods are safe for concurrent use.
type availability struct {
	clock  monotonic.Clock
	health *storeHealth
	peers  peerSet
	// probe sends a request to the key-value store, whose result health observes.
	probe func(ctx context.Context)
	log   *slog.Logger
	// unavailableSince is the monotonic.Instant since which this controller is unavailable; 0 means that
	// it is available.
	unavailableSince atomic.Int64
	// changedAt is the time at which the connectivity last changed, and isolated is the connectivity since
	// then. Only update accesses them.
	changedAt monotonic.Instant
	isolated  bool
}

// run updates the availability until the context ends.
func (a *availability) run(ctx context.Context) error {
	for {
		if a.peersSilentFor(a.clock.Now(), probeTimeout) {
			a.probe(ctx)
		}
		a.update(a.clock.Now())
		if !monotonic.Sleep(ctx, availabilityInterval) {
			return ctx.Err()
		}
	}
}

// update derives the availability from the connectivity now.
func (a *availability) update(now monotonic.Instant) {
	if isolated := a.isIsolated(now); isolated != a.isolated {
		a.isolated, a.changedAt = isolated, now
	}
	unchangedFor := now.Sub(a.changedAt)
	switch {
	case a.isolated && a.available() && unchangedFor >= isolationTimeout:
		a.unavailableSince.Store(int64(now))
		a.log.Warn("controller unavailable", "cause", "neither the key-value store nor a peer can be reached")
	case !a.isolated && !a.available() && unchangedFor >= reconnectionTimeout:
		a.unavailableSince.Store(0)
		a.log.Info("controller available")
	}
}

// isIsolated reports whether neither the key-value store nor any peer can be reached.
func (a *availability) isIsolated(now monotonic.Instant) bool {
	return !a.health.reachable() && a.peersSilentFor(now, peerSilenceTimeout)
}

// peersSilentFor reports whether no peer has answered a ping within d. It returns false for a controller without
// peers, which is never isolated: no other could serve its users.
func (a *availability) peersSilentFor(now monotonic.Instant, d time.Duration) bool {
	return len(a.peers) > 0 && !slices.ContainsFunc(a.peers, func(p *peer) bool { return p.AnsweredWithin(now, d) })
}

// available reports whether users should be sent to this controller.
func (a *availability) available() bool { return a.unavailableSince.Load() == 0 }

// Draining reports whether this controller has been unavailable for so long that the load balancer sends it no
// new connections. Connections should then be closed, so that their users are served by another controller.
func (a *availability) Draining() bool {
	since := monotonic.Instant(a.unavailableSince.Load())
	return since != 0 && a.clock.Now() >= since.Add(removalTimeout)
}
