package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/httpc"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/mesh"
)

// peer is another controller and what is known of it.
type peer struct {
	*mesh.Peer
	lastHeard      atomic.Int64 // ids.Instant of the last answer
	stateOK        atomic.Bool
	leaderRevision atomic.Uint64 // of the leader that it follows
	workers        atomic.Int32
	// version is its own and what it knows of the others'; nil: older than this
	// one, or not heard yet.
	version atomic.Pointer[versions]
}

// stateHealth remembers how the last direct calls to the state service went.
type stateHealth struct {
	failures atomic.Int32
	lastOK   atomic.Int64
}

// directRoute calls the state service itself.
type directRoute struct{ n *Node }

func (r *directRoute) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	status, ans, err := r.n.stateHTTP.Do(ctx, method, path, body, timeout)
	switch {
	case err != nil && ctx.Err() == nil || status == 503:
		r.n.health.failures.Add(1)
	case err == nil && status != 429:
		r.n.health.failures.Store(0)
		r.n.health.lastOK.Store(int64(r.n.clock.Now()))
	}
	return status, ans, err
}

// stateOK tells whether this node reaches the state service.
func (n *Node) stateOK() bool { return n.health.failures.Load() < 2 }

// userRoute calls the state service itself, or through a peer while the
// service refuses this node and serves the peer. One call goes one way only,
// so that its outcome stays as clear as it was.
type userRoute struct {
	n      *Node
	direct *directRoute
}

type stateCall struct {
	Method    string `cbor:"1,keyasint"`
	Path      string `cbor:"2,keyasint"`
	Body      []byte `cbor:"3,keyasint"`
	TimeoutMS int64  `cbor:"4,keyasint"`
}

type stateAnswer struct {
	Status  int    `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
	NotSent bool   `cbor:"3,keyasint"`
	Unknown bool   `cbor:"4,keyasint"`
}

func (r *userRoute) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	if !r.n.stateOK() {
		if p := r.n.peerWithState(); p != nil {
			return r.through(ctx, p, method, path, body, timeout)
		}
	}
	return r.direct.Do(ctx, method, path, body, timeout)
}

func (n *Node) peerWithState() *peer {
	now := n.clock.Now()
	for _, p := range n.peers {
		if p.stateOK.Load() && now < ids.Instant(p.lastHeard.Load()).Add(2*time.Second) {
			return p
		}
	}
	return nil
}

func (r *userRoute) through(ctx context.Context, p *peer, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+200*time.Millisecond)
	defer cancel()
	var ans stateAnswer
	err := p.Call(ctx, "state", stateCall{method, path, body, timeout.Milliseconds()}, &ans)
	switch {
	case errors.Is(err, mesh.ErrNotSent):
		return 0, nil, errors.Join(httpc.ErrNotSent, err)
	case err != nil:
		return 0, nil, errors.Join(httpc.ErrNoAnswer, err)
	case ans.NotSent:
		return 0, nil, httpc.ErrNotSent
	case ans.Unknown:
		return 0, nil, httpc.ErrNoAnswer
	}
	return ans.Status, ans.Body, nil
}

// ping is what controllers tell each other twice a second.
type ping struct {
	From        ids.NodeName    `cbor:"1,keyasint"`
	Leader      ids.NodeName    `cbor:"2,keyasint"`
	Mesh        string          `cbor:"3,keyasint"`
	Incarnation ids.Incarnation `cbor:"4,keyasint"`
	Revision    ids.Revision    `cbor:"5,keyasint"`
	StateOK     bool            `cbor:"6,keyasint"`
	Workers     int             `cbor:"7,keyasint"`
	// Up is for how long the process has run, and Acked a revision up to which
	// withdrawals may be told; see acked. Older controllers lack both.
	Up    time.Duration `cbor:"11,keyasint,omitempty"`
	Acked ids.Revision  `cbor:"12,keyasint,omitempty"`
	versions
}

func (n *Node) ping() ping {
	l, _ := n.election.Leader()
	return ping{n.cfg.HostName, l.Name, l.Mesh, l.Incarnation, l.Revision, n.stateOK(), int(n.workerCount.Load()),
		n.clock.Now().Sub(n.startedAt), n.acknowledgedUpTo(), n.versions()}
}

// pinged takes in what a peer tells. A leader that it knows only by its stamp, since
// that one's key is gone already, ends earlier terms as well.
func (n *Node) observePing(p ping) {
	n.election.Observe(election.Leader{Holder: election.Holder{Name: p.Leader, Mesh: p.Mesh, Incarnation: p.Incarnation}, Revision: p.Revision})
	n.acknowledged.advanceTo(p.Acked)
}

// vouched hands a peer's answer to a ping to the own term: what it knew of leaders
// when it was asked.
func (n *Node) confirmTerm(asked ids.Instant, ans ping) {
	t := n.election.Term()
	if t == nil || ans.Revision > t.Revision || ans.Up <= 0 {
		return
	}
	// The peer's clock may run fast.
	t.Confirm(ans.From, asked, n.clock.Now().Add(ans.Up/500-ans.Up))
}

// gossip keeps in touch with a peer.
func (n *Node) pingLoop(ctx context.Context, p *peer) error {
	for {
		n.workerCount.Store(int32(n.balancer.count(n.clock.Now(), n.balancerWindow())))
		call, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		var ans ping
		asked := n.clock.Now()
		err := p.Call(call, "ping", n.ping(), &ans)
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
		if !ids.Pause(ctx, 500*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// leaderPeer is the way to the leader; nil if none is known, or this node leads.
func (n *Node) leaderPeer() *peer {
	l, _ := n.election.Leader()
	return n.peerNamed(l.Name)
}

// peerNamed finds a peer.
func (n *Node) peerNamed(name ids.NodeName) *peer {
	for _, p := range n.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}
