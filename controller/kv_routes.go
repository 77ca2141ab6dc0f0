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
	// maxStoreFailures is the number of consecutive direct calls to the key-value store that may
	// fail before the store counts as unreachable.
	maxStoreFailures = 1
	// forwardingPeerTimeout is the time since a peer's last answer to a ping after which no call
	// goes through the peer.
	forwardingPeerTimeout = 2 * time.Second
	// forwardingMargin is the additional time that a call through a peer may take.
	forwardingMargin = 200 * time.Millisecond
)

// storeHealth tracks whether direct calls to the key-value store succeed. It is safe for
// concurrent use.
type storeHealth struct {
	// failures is the number of consecutive calls that have failed.
	failures atomic.Int32
}

// observe records the result of a direct call. Calls that failed because their context ended and
// throttled calls do not count.
func (h *storeHealth) observe(ctx context.Context, status int, err error) {
	switch {
	case err != nil && ctx.Err() == nil || status == http.StatusServiceUnavailable:
		h.failures.Add(1)
	case err == nil && status != http.StatusTooManyRequests:
		h.failures.Store(0)
	}
}

// reachable reports whether this controller can reach the key-value store.
func (h *storeHealth) reachable() bool { return h.failures.Load() <= maxStoreFailures }

// directRoute is the transport that calls the key-value store directly.
type directRoute struct {
	store  *httpclient.Client
	health *storeHealth
}

// Do implements kv.Transport.
func (r *directRoute) Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	status, response, err := r.store.Do(ctx, method, path, body, timeout)
	r.health.observe(ctx, status, err)
	return status, response, err
}

// userRoute is the transport that calls the key-value store directly, or through a peer while this
// controller cannot reach the store and the peer can. A call never uses both routes, because a retry
// over the other route would hide an indeterminate result.
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

// peerWithStoreAccess returns a peer that can reach the key-value store, or nil.
func (r *userRoute) peerWithStoreAccess() *peer {
	now := r.clock.Now()
	for _, p := range r.peers {
		if p.storeReachable.Load() && p.AnsweredWithin(now, forwardingPeerTimeout) {
			return p
		}
	}
	return nil
}

// callThroughPeer sends a request to the key-value store through a peer. Like the errors of a direct
// call, its errors show whether the request was sent.
func callThroughPeer(ctx context.Context, p *peer, call peerapi.StoreCall, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+forwardingMargin)
	defer cancel()
	var response peerapi.StoreResponse
	err := p.Call(ctx, peerapi.OpStore, call, &response)
	if kind := forwardErrorKind(err, response); kind != nil {
		return 0, nil, &httpclient.RequestError{Kind: kind, Method: call.Method, Path: call.Path, Cause: err}
	}
	return response.Status, response.Body, nil
}

// forwardErrorKind returns the kind of a forwarded request's error, or nil if the store responded.
func forwardErrorKind(err error, response peerapi.StoreResponse) error {
	switch {
	case errors.Is(err, peerrpc.ErrNotSent):
		return httpclient.ErrNotSent
	case err != nil:
		return httpclient.ErrNoResponse
	case response.NotSent:
		return httpclient.ErrNotSent
	case response.Indeterminate:
		return httpclient.ErrNoResponse
	}
	return nil
}
