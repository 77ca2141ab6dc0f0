package election

import (
	"slices"
	"sync"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// peerAcknowledgements holds when each peer was last asked and knew of no later leader.
type peerAcknowledgements struct {
	peers []ids.ControllerName
	// allAcknowledgedAt is the oldest of the peers' acknowledgements, and zero until each
	// peer has acknowledged. It is written under mu and read without it.
	allAcknowledgedAt atomicInstant

	mu     sync.Mutex
	latest map[ids.ControllerName]monotonic.Instant
}

func newPeerAcknowledgements(peers []ids.ControllerName) *peerAcknowledgements {
	return &peerAcknowledgements{peers: peers, latest: map[ids.ControllerName]monotonic.Instant{}}
}

// record notes that a peer, asked at an instant, knew of no later leader. Controllers that
// are not peers do not count.
func (a *peerAcknowledgements) record(peer ids.ControllerName, asked monotonic.Instant) {
	if !slices.Contains(a.peers, peer) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latest[peer] = max(a.latest[peer], asked)
	oldest := a.latest[peer]
	for _, p := range a.peers {
		oldest = min(oldest, a.latest[p])
	}
	a.allAcknowledgedAt.Store(oldest)
}
