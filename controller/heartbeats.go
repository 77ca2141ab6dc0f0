package controller

import (
	"context"
	"net/http"
	"time"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

const (
	// heartbeatTimeout is how long a heartbeat may take in this process, of the 4 s that
	// workers wait.
	heartbeatTimeout = 3 * time.Second
	// redirectPeerTimeout is after how long without an answer to a ping no worker is redirected
	// to a peer.
	redirectPeerTimeout = 1500 * time.Millisecond
)

// heartbeatHandler answers workers' heartbeats. Only the leader decides on an answer. The
// heartbeat is relayed unless this controller leads.
type heartbeatHandler struct {
	self        ids.ControllerName
	clock       monotonic.Clock
	election    *election.Election
	localLeader *localLeader
	peers       peerSet
	balancer    *connectionBalancer
	relay       *heartbeatRelay
}

// Heartbeat implements server.Service. encoded is the heartbeat as it was received, which is
// what is relayed.
func (h *heartbeatHandler) Heartbeat(ctx context.Context, encoded []byte, heartbeat *wire.Heartbeat) server.Response {
	now := h.clock.Now()
	local := h.localLeader.answering()
	knownLeader, ok := h.election.Leader()
	if local == nil && (!ok || knownLeader.Name == h.self) {
		return server.Response{Status: http.StatusServiceUnavailable}
	}
	h.balancer.recordHeartbeat(heartbeat.Machine, now)
	if target, ok := h.balancer.chooseTarget(h.ownLoad(local), h.peerLoads(now, knownLeader), now); ok {
		return server.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{Leader: target}}
	}
	if local != nil {
		return answerHeartbeat(ctx, local, heartbeat)
	}
	return h.relay.relay(ctx, encoded)
}

// answerHeartbeat has the leader in this process answer a heartbeat.
func answerHeartbeat(ctx context.Context, local *leader.Leader, heartbeat *wire.Heartbeat) server.Response {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answers, err := local.AnswerHeartbeats(ctx, []*wire.Heartbeat{heartbeat})
	if err != nil || !answers[0].OK {
		return server.Response{Status: http.StatusServiceUnavailable}
	}
	return server.Response{Status: http.StatusOK, Body: answers[0].Response}
}

// ownLoad returns the load of this controller; own is the leader in this process, or nil.
func (h *heartbeatHandler) ownLoad(local *leader.Leader) controllerLoad {
	load := controllerLoad{name: h.self, workers: h.balancer.lastCount(), weight: followerWeight}
	if local != nil {
		load.weight = leaderWeight
	}
	return load
}

// peerLoads returns the loads of the peers that can relay heartbeats to the same leader.
func (h *heartbeatHandler) peerLoads(now monotonic.Instant, knownLeader election.Leader) []controllerLoad {
	var loads []controllerLoad
	for _, p := range h.peers {
		if !p.AnsweredWithin(now, redirectPeerTimeout) || p.FollowedRevision() != knownLeader.Revision {
			continue
		}
		load := controllerLoad{name: p.Name, workers: int(p.workers.Load()), weight: followerWeight}
		if p.Name == knownLeader.Name {
			load.weight = leaderWeight
		}
		loads = append(loads, load)
	}
	return loads
}
