package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

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

// Do implements kv.Transport.
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

// stateCall is a request to the state service by way of a peer.
type stateCall struct {
	Method    string `cbor:"1,keyasint"`
	Path      string `cbor:"2,keyasint"`
	Body      []byte `cbor:"3,keyasint"`
	TimeoutMS int64  `cbor:"4,keyasint"`
}

// stateAnswer is the state service's answer by way of a peer. Unknown tells that the
// request may have been carried out, or may yet be.
type stateAnswer struct {
	Status  int    `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
	NotSent bool   `cbor:"3,keyasint"`
	Unknown bool   `cbor:"4,keyasint"`
}

// Do implements kv.Transport.
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
	var ans stateAnswer
	err := p.Call(ctx, opState, stateCall{method, path, body, timeout.Milliseconds()}, &ans)
	if kind := peerFailure(err, ans); kind != nil {
		return 0, nil, &httpclient.RequestError{Kind: kind, Method: method, Path: path, Cause: err}
	}
	return ans.Status, ans.Body, nil
}

// peerFailure tells how a request by way of a peer failed: nil means that it did not.
func peerFailure(err error, answer stateAnswer) error {
	switch {
	case errors.Is(err, peerrpc.ErrNotSent):
		return httpclient.ErrNotSent
	case err != nil:
		return httpclient.ErrNoResponse
	case answer.NotSent:
		return httpclient.ErrNotSent
	case answer.Unknown:
		return httpclient.ErrNoResponse
	}
	return nil
}
