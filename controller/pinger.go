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
	// pingInterval is the time between two pings of a peer.
	pingInterval = 500 * time.Millisecond
	// pingTimeout is how long a peer may take to answer a ping.
	pingTimeout = 1500 * time.Millisecond
	// clockRateMargin is one divided by the part by which a peer's clock may run fast.
	clockRateMargin = 500
)

// pinger exchanges pings with the peers: who leads, how each controller fares, which
// cancellations are acknowledged, and which versions are known.
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

// run pings one peer until the context ends.
func (p *pinger) run(ctx context.Context, to *peer) error {
	for {
		p.balancer.recount(p.clock.Now())
		if err := p.exchange(ctx, to); err != nil {
			to.Close()
		}
		if !monotonic.Sleep(ctx, pingInterval) {
			return ctx.Err()
		}
	}
}

// exchange sends one ping and takes in the answer.
func (p *pinger) exchange(ctx context.Context, to *peer) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var answer peerapi.Ping
	asked := p.clock.Now()
	if err := to.Call(ctx, peerapi.OpPing, p.message(), &answer); err != nil {
		return err
	}
	to.observeAnswer(p.clock.Now(), answer)
	p.observe(answer)
	p.confirmTerm(asked, answer)
	return nil
}

// answer takes in a peer's ping and answers it.
func (p *pinger) answer(request peerapi.Ping) peerapi.Ping {
	p.observe(request)
	if from := p.peers.named(request.From); from != nil {
		from.observeVersions(request.Versions)
	}
	return p.message()
}

// message is what this controller tells the others now.
func (p *pinger) message() peerapi.Ping {
	known, _ := p.election.Leader()
	return peerapi.Ping{
		From:                 p.self,
		Leader:               known.Name,
		LeaderPeerAddress:    known.PeerAddress,
		Incarnation:          known.Incarnation,
		Revision:             known.Revision,
		StoreReachable:       p.health.reachable(),
		Workers:              p.balancer.lastCount(),
		Uptime:               p.clock.Now().Sub(p.startedAt),
		AcknowledgedRevision: p.acknowledgements.revision(),
		Versions:             p.gate.versions(),
	}
}

// observe takes in what a peer tells about the leader. A leader that the peer knows only by its
// revision, since the key is gone already, ends earlier terms as well.
func (p *pinger) observe(ping peerapi.Ping) {
	p.election.Observe(election.Leader{
		Identity: election.Identity{Name: ping.Leader, PeerAddress: ping.LeaderPeerAddress, Incarnation: ping.Incarnation},
		Revision: ping.Revision,
	})
	p.acknowledgements.advanceTo(ping.AcknowledgedRevision)
}

// confirmTerm tells this controller's own term that a peer knew of no later leader when it was
// asked, and when the peer's process was started, at the latest.
func (p *pinger) confirmTerm(asked monotonic.Instant, answer peerapi.Ping) {
	term := p.election.Term()
	if term == nil || answer.Revision > term.Revision || answer.Uptime <= 0 {
		return
	}
	started := p.clock.Now().Add(answer.Uptime/clockRateMargin - answer.Uptime)
	term.RecordPeerAck(answer.From, asked, started)
}
