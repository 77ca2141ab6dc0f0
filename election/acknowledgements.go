package election

import (
	"slices"
	"sync"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// peerAcknowledgements holds, for each peer, the last instant at which it was asked and knew of
// no later leader.
type peerAcknowledgements struct {
	peers []ids.ControllerName
	// allAcknowledgedAt is the oldest of the peers' latest acknowledgements, or zero until
	// every peer has acknowledged. It is written under mu and read without it.
	allAcknowledgedAt atomicInstant

	mu sync.Mutex
	// latest holds the instant at which each peer's latest acknowledgement was asked for.
	latest map[ids.ControllerName]monotonic.Instant
}

func newPeerAcknowledgements(peers []ids.ControllerName) *peerAcknowledgements {
	return &peerAcknowledgements{peers: peers, latest: map[ids.ControllerName]monotonic.Instant{}}
}

// record records that a peer, asked at askedAt, knew of no later leader. Controllers that are
// not peers are ignored.
func (a *peerAcknowledgements) record(peer ids.ControllerName, askedAt monotonic.Instant) {
	if !slices.Contains(a.peers, peer) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latest[peer] = max(a.latest[peer], askedAt)
	oldest := a.latest[peer]
	for _, p := range a.peers {
		oldest = min(oldest, a.latest[p])
	}
	a.allAcknowledgedAt.Store(oldest)
}
