package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/peerrpc"
)

// stateHealth remembers how the last direct calls to the state service went.
type stateHealth struct {
	failures atomic.Int32
	lastOK   atomic.Int64
}

// directRoute calls the state service itself.
type directRoute struct{ n *Controller }

// Do implements kv.Caller.
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
func (n *Controller) stateOK() bool { return n.health.failures.Load() < 2 }

// userRoute calls the state service itself, or through a peer while the
// service refuses this node and serves the peer. One call goes one way only,
// so that its outcome stays as clear as it was.
type userRoute struct {
	n      *Controller
	direct *directRoute
}

// Do implements kv.Caller.
func (r *userRoute) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	if !r.n.stateOK() {
		if p := r.n.peerWithState(); p != nil {
			return r.through(ctx, p, method, path, body, timeout)
		}
	}
	return r.direct.Do(ctx, method, path, body, timeout)
}

// peerWithState finds a peer that reaches the state service, or returns nil.
func (n *Controller) peerWithState() *peer {
	now := n.clock.Now()
	for _, p := range n.peers {
		if p.stateOK.Load() && now < monotonic.Instant(p.lastHeard.Load()).Add(2*time.Second) {
			return p
		}
	}
	return nil
}

// through sends a request by way of a peer.
func (r *userRoute) through(ctx context.Context, p *peer, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+200*time.Millisecond)
	defer cancel()
	var ans peerapi.StoreAnswer
	err := p.Call(ctx, peerapi.OpStore, peerapi.StoreCall{Method: method, Path: path, Body: body, TimeoutMS: timeout.Milliseconds()}, &ans)
	switch {
	case errors.Is(err, peerrpc.ErrNotSent):
		return 0, nil, errors.Join(httpclient.ErrNotSent, err)
	case err != nil:
		return 0, nil, errors.Join(httpclient.ErrNoResponse, err)
	case ans.NotSent:
		return 0, nil, httpclient.ErrNotSent
	case ans.Unknown:
		return 0, nil, httpclient.ErrNoResponse
	}
	return ans.Status, ans.Body, nil
}
