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

// peer is another controller and its state as of its last ping. The pinger writes it; all fields
// may be read concurrently.
type peer struct {
	*peerrpc.Peer
	// lastHeard is the monotonic.Instant of the last answer to a ping; 0 means none yet.
	lastAnswer atomic.Int64
	// storeReachable is set while the peer reaches the key-value store.
	storeReachable atomic.Bool
	// leaderRevision is the revision of the leader that the peer follows.
	leaderRevision atomic.Uint64
	// workers is how many workers send their heartbeats to the peer.
	workers atomic.Int32
	// versions are the versions in the peer's last ping; nil means that the peer is older than
	// this version, or that no ping was exchanged yet.
	versions atomic.Pointer[peerapi.Versions]
}

// FollowedRevision implements leader.Peer.
func (p *peer) FollowedRevision() ids.Revision { return ids.Revision(p.leaderRevision.Load()) }

// AnsweredWithin implements leader.Peer.
func (p *peer) AnsweredWithin(now monotonic.Instant, d time.Duration) bool {
	lastAnswer := monotonic.Instant(p.lastAnswer.Load())
	return lastAnswer != 0 && now < lastAnswer.Add(d)
}

// observeAnswer records the answer to a ping.
func (p *peer) observeAnswer(now monotonic.Instant, answer peerapi.Ping) {
	p.lastAnswer.Store(int64(now))
	p.storeReachable.Store(answer.StoreReachable)
	p.leaderRevision.Store(uint64(answer.Revision))
	p.workers.Store(int32(answer.Workers))
	p.observeVersions(answer.Versions)
}

// observeVersions records the versions in a ping of the peer.
func (p *peer) observeVersions(versions peerapi.Versions) {
	if versions.Format < peerapi.RecordFormat {
		p.versions.Store(nil)
		return
	}
	p.versions.Store(&versions)
}

// peerSet is all other controllers, in the order of the settings. It does not change.
type peerSet []*peer

// newPeerSet makes the peers that the settings name.
func newPeerSet(seeds []config.Peer) peerSet {
	var peers peerSet
	for _, seed := range seeds {
		peers = append(peers, &peer{Peer: peerrpc.NewPeer(seed.Name, seed.Address)})
	}
	return peers
}

// named returns the peer with a name, or nil.
func (s peerSet) byName(name ids.ControllerName) *peer {
	for _, p := range s {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// forLeader returns the peers as the interface of package leader.
func (s peerSet) leaderPeers() []leader.Peer {
	peers := make([]leader.Peer, len(s))
	for i, p := range s {
		peers[i] = p
	}
	return peers
}
