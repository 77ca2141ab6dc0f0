package controller

import (
	"context"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

const (
	// pingInterval is the interval between two pings of a peer.
	pingInterval = 500 * time.Millisecond
	// pingTimeout bounds the time that a peer takes to answer a ping.
	pingTimeout = 1500 * time.Millisecond
)

// pinger exchanges pings with the peers. A ping contains the known leader, the state of the sender, the
// acknowledged revision and the known versions.
type pinger struct {
	self             ids.ControllerName
	clock            monotonic.Clock
	startedAt        monotonic.Instant
	election         *election.Election
	peers            peerSet
	health           *storeHealth
	balancer         *connectionBalancer
	acknowledgements *acknowledgements
	gate             *versionGate
}

// run pings one peer periodically until the context ends. Before each ping it recounts the workers of
// this controller, whose number the ping contains. After a failed ping it closes the connection, because
// a network partition causes no connection error.
func (p *pinger) run(ctx context.Context, target *peer) error {
	for {
		p.balancer.recount(p.clock.Now())
		if err := p.exchange(ctx, target); err != nil {
			target.Close()
		}
		if !monotonic.Sleep(ctx, pingInterval) {
			return ctx.Err()
		}
	}
}

// exchange sends one ping and applies the answer.
func (p *pinger) exchange(ctx context.Context, target *peer) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var answer peerapi.Ping
	sentAt := p.clock.Now()
	if err := target.Call(ctx, peerapi.OpPing, p.currentPing(), &answer); err != nil {
		return err
	}
	target.observeAnswer(p.clock.Now(), answer)
	p.observe(answer)
	p.recordAcknowledgement(sentAt, answer)
	return nil
}

// answer applies a peer's ping and returns the answer.
func (p *pinger) answer(request peerapi.Ping) peerapi.Ping {
	p.observe(request)
	if sender := p.peers.byName(request.From); sender != nil {
		sender.observeVersions(request.Versions)
	}
	return p.currentPing()
}

// currentPing returns a ping with the current state of this controller.
func (p *pinger) currentPing() peerapi.Ping {
	knownLeader, _ := p.election.Leader()
	return peerapi.Ping{
		From:                 p.self,
		Leader:               knownLeader.Name,
		LeaderPeerAddress:    knownLeader.PeerAddress,
		Incarnation:          knownLeader.Incarnation,
		Revision:             knownLeader.Revision,
		StoreReachable:       p.health.reachable(),
		Workers:              p.balancer.lastCount(),
		Uptime:               p.clock.Now().Sub(p.startedAt),
		AcknowledgedRevision: p.acknowledgements.revision(),
		Versions:             p.gate.versions(),
	}
}

// observe applies the leader and the acknowledged revision of a ping. If the peer knows that the leader
// key was deleted, the ping has no leader's name. Its revision still ends earlier terms.
func (p *pinger) observe(ping peerapi.Ping) {
	p.election.Observe(election.Leader{
		Identity: election.Identity{Name: ping.Leader, PeerAddress: ping.LeaderPeerAddress, Incarnation: ping.Incarnation},
		Revision: ping.Revision,
	})
	p.acknowledgements.advanceTo(ping.AcknowledgedRevision)
}

// recordAcknowledgement records in this controller's term that a peer knew no later leader when the ping
// was sent, and the latest time at which the peer's process can have started.
func (p *pinger) recordAcknowledgement(sentAt monotonic.Instant, answer peerapi.Ping) {
	term := p.election.Term()
	if term == nil || answer.Revision > term.Revision || answer.Uptime <= 0 {
		return
	}
	// The uptime may be too long, since the peer's clock may run fast.
	started := p.clock.Now().Add(monotonic.MaxDrift(answer.Uptime) - answer.Uptime)
	term.RecordPeerAck(answer.From, sentAt, started)
}
