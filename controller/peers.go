package controller

import (
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/peerrpc"
)

// peer represents another controller and its state as of its last ping. The pinger updates the state;
// all fields may be read concurrently.
type peer struct {
	*peerrpc.Peer
	// lastAnswer is the monotonic.Instant of the last answer to a ping. 0 means that there was none.
	lastAnswer atomic.Int64
	// storeReachable reports whether the peer can reach the key-value store.
	storeReachable atomic.Bool
	// leaderRevision is the revision of the leader that the peer follows.
	leaderRevision atomic.Uint64
	// workers is the number of workers that send their heartbeats to the peer.
	workers atomic.Int32
	// versions holds the versions in the peer's last ping. It is nil if the peer's version is older
	// than this one, or if no ping has been exchanged yet.
	versions atomic.Pointer[peerapi.Versions]
}

// Controller implements leader.Peer.
func (p *peer) Controller() ids.ControllerName { return p.Name }

// FollowedRevision implements leader.Peer.
func (p *peer) FollowedRevision() ids.Revision { return ids.Revision(p.leaderRevision.Load()) }

// AnsweredWithin implements leader.Peer.
func (p *peer) AnsweredWithin(now monotonic.Instant, d time.Duration) bool {
	lastAnswer := monotonic.Instant(p.lastAnswer.Load())
	return lastAnswer != 0 && now < lastAnswer.Add(d)
}

// observeAnswer records the peer's answer to a ping.
func (p *peer) observeAnswer(now monotonic.Instant, answer peerapi.Ping) {
	p.lastAnswer.Store(int64(now))
	p.storeReachable.Store(answer.StoreReachable)
	p.leaderRevision.Store(uint64(answer.Revision))
	p.workers.Store(int32(answer.Workers))
	p.observeVersions(answer.Versions)
}

// observeVersions records the versions in a ping or an answer of the peer.
func (p *peer) observeVersions(versions peerapi.Versions) {
	if versions.Format < peerapi.RecordFormat {
		p.versions.Store(nil)
		return
	}
	p.versions.Store(&versions)
}

// peerSet holds all other controllers in the order of the settings. It does not change.
type peerSet []*peer

// newPeerSet returns the peers that the settings name.
func newPeerSet(seeds []config.Peer) peerSet {
	var peers peerSet
	for _, seed := range seeds {
		peers = append(peers, &peer{Peer: peerrpc.NewPeer(seed.Name, seed.Address)})
	}
	return peers
}

// byName returns the peer with the given name, or nil.
func (s peerSet) byName(name ids.ControllerName) *peer {
	for _, p := range s {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// leaderPeers returns the peers as values of the interface that package leader uses.
func (s peerSet) leaderPeers() []leader.Peer {
	peers := make([]leader.Peer, len(s))
	for i, p := range s {
		peers[i] = p
	}
	return peers
}
