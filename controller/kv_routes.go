package controller

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/peerrpc"
)

const (
	// maxStoreFailures is how many consecutive direct calls to the key-value store may fail
	// before it counts as unreachable.
	maxStoreFailures = 1
	// routePeerTimeout is after how long without an answer to a ping no call goes through a
	// peer.
	forwardingPeerTimeout = 2 * time.Second
	// routeReserve is how much longer a call through a peer may take than a direct call.
	forwardingMargin = 200 * time.Millisecond
)

// storeHealth tracks whether direct calls to the key-value store succeed. It is safe for
// concurrent use.
type storeHealth struct {
	// failures is how many consecutive calls have failed.
	failures atomic.Int32
}

// observe records the result of a direct call. Calls that ended with their context and throttled
// calls do not count.
func (h *storeHealth) observe(ctx context.Context, status int, err error) {
	switch {
	case err != nil && ctx.Err() == nil || status == http.StatusServiceUnavailable:
		h.failures.Add(1)
	case err == nil && status != http.StatusTooManyRequests:
		h.failures.Store(0)
	}
}

// reachable reports whether this controller reaches the key-value store.
func (h *storeHealth) reachable() bool { return h.failures.Load() <= maxStoreFailures }

// directRoute is the transport that calls the key-value store directly.
type directRoute struct {
	store  *httpclient.Client
	health *storeHealth
}

// Do implements kv.Transport.
func (r *directRoute) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	status, answer, err := r.store.Do(ctx, method, path, body, timeout)
	r.health.observe(ctx, status, err)
	return status, answer, err
}

// userRoute is the transport that calls the key-value store directly, or through a peer while
// only the peer reaches the store. A call never uses both routes: a retry over the other one
// would hide an indeterminate result.
type userRoute struct {
	direct *directRoute
	health *storeHealth
	peers  peerSet
	clock  monotonic.Clock
}

// Do implements kv.Transport.
func (r *userRoute) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	if !r.health.reachable() {
		if p := r.peerWithStoreAccess(); p != nil {
			return callThroughPeer(ctx, p, peerapi.StoreCall{Method: method, Path: path, Body: body, TimeoutMS: timeout.Milliseconds()}, timeout)
		}
	}
	return r.direct.Do(ctx, method, path, body, timeout)
}

// peerWithStore returns a peer that reaches the key-value store, or nil.
func (r *userRoute) peerWithStoreAccess() *peer {
	now := r.clock.Now()
	for _, p := range r.peers {
		if p.storeReachable.Load() && p.AnsweredWithin(now, forwardingPeerTimeout) {
			return p
		}
	}
	return nil
}

// callThrough has a peer forward a request. Its errors distinguish, like those of a direct call,
// whether the request was sent.
func callThroughPeer(ctx context.Context, p *peer, call peerapi.StoreCall, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+forwardingMargin)
	defer cancel()
	var answer peerapi.StoreAnswer
	err := p.Call(ctx, peerapi.OpStore, call, &answer)
	if kind := forwardErrorKind(err, answer); kind != nil {
		return 0, nil, &httpclient.RequestError{Kind: kind, Method: call.Method, Path: call.Path, Cause: err}
	}
	return answer.Status, answer.Body, nil
}

// forwardFailure returns the kind of error of a forwarded request, or nil if it was answered.
func forwardErrorKind(err error, answer peerapi.StoreAnswer) error {
	switch {
	case errors.Is(err, peerrpc.ErrNotSent):
		return httpclient.ErrNotSent
	case err != nil:
		return httpclient.ErrNoResponse
	case answer.NotSent:
		return httpclient.ErrNotSent
	case answer.Indeterminate:
		return httpclient.ErrNoResponse
	}
	return nil
}
