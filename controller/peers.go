package controller

import (
	"context"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/peerrpc"
)

// peer is another controller and what is known of it.
type peer struct {
	*peerrpc.Peer
	lastHeard      atomic.Int64 // monotonic.Instant of the last answer
	stateOK        atomic.Bool
	leaderRevision atomic.Uint64 // of the leader that it follows
	workers        atomic.Int32
	// version is its own and what it knows of the others'; nil: older than this
	// one, or not heard yet.
	version atomic.Pointer[peerapi.Versions]
}

// FollowedRevision implements leader.Peer.
func (p *peer) FollowedRevision() ids.Revision { return ids.Revision(p.leaderRevision.Load()) }

// HeardWithin implements leader.Peer.
func (p *peer) HeardWithin(now monotonic.Instant, d time.Duration) bool {
	heard := monotonic.Instant(p.lastHeard.Load())
	return heard != 0 && now < heard.Add(d)
}

// ping is what this node tells the others now.
func (n *Controller) ping() peerapi.Ping {
	l, _ := n.election.Leader()
	return peerapi.Ping{From: n.cfg.HostName, Leader: l.Name, Mesh: l.MeshAddress, Incarnation: l.Incarnation, Revision: l.Revision,
		StateOK: n.stateOK(), Workers: int(n.workerCount.Load()), Up: n.clock.Now().Sub(n.startedAt), Acked: n.acknowledgedUpTo(),
		Versions: n.versions()}
}

// observePing takes in what a peer tells. A leader that it knows only by its revision,
// since that one's key is gone already, ends earlier terms as well.
func (n *Controller) observePing(p peerapi.Ping) {
	n.election.Observe(election.Leader{Identity: election.Identity{Name: p.Leader, MeshAddress: p.Mesh, Incarnation: p.Incarnation}, Revision: p.Revision})
	n.acknowledged.advanceTo(p.Acked)
}

// confirmTerm hands a peer's answer to a ping to the own term: what it knew of leaders when
// it was asked.
func (n *Controller) confirmTerm(asked monotonic.Instant, ans peerapi.Ping) {
	t := n.election.Term()
	if t == nil || ans.Revision > t.Revision || ans.Up <= 0 {
		return
	}
	// The peer's clock may run fast.
	t.RecordPeerAck(ans.From, asked, n.clock.Now().Add(ans.Up/500-ans.Up))
}

// pingLoop keeps in touch with a peer until the context ends.
func (n *Controller) pingLoop(ctx context.Context, p *peer) error {
	for {
		n.workerCount.Store(int32(n.balancer.count(n.clock.Now(), n.balancerWindow())))
		call, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		var ans peerapi.Ping
		asked := n.clock.Now()
		err := p.Call(call, peerapi.OpPing, n.ping(), &ans)
		cancel()
		if err == nil {
			p.lastHeard.Store(int64(n.clock.Now()))
			p.stateOK.Store(ans.StateOK)
			p.leaderRevision.Store(uint64(ans.Revision))
			p.workers.Store(int32(ans.Workers))
			p.observeVersion(ans)
			n.observePing(ans)
			n.confirmTerm(asked, ans)
		} else {
			p.Close()
		}
		if !monotonic.Sleep(ctx, 500*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// leaderPeer is the way to the leader; nil if none is known, or this node leads.
func (n *Controller) leaderPeer() *peer {
	l, _ := n.election.Leader()
	return n.peerNamed(l.Name)
}

// peerNamed finds a peer.
func (n *Controller) peerNamed(name ids.ControllerName) *peer {
	for _, p := range n.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}
