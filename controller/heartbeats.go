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
	// heartbeatTimeout bounds the time that a heartbeat takes if the leader is in this process.
	// Workers wait 4 s for the response.
	heartbeatTimeout = 3 * time.Second
	// redirectPeerTimeout is the time since a peer's last answer to a ping after which no worker
	// is redirected to the peer.
	redirectPeerTimeout = 1500 * time.Millisecond
)

// heartbeatHandler answers workers' heartbeats. Only the leader determines the response, so a heartbeat
// is relayed to the leader unless this controller leads.
type heartbeatHandler struct {
	self        ids.ControllerName
	clock       monotonic.Clock
	election    *election.Election
	localLeader *localLeader
	peers       peerSet
	balancer    *connectionBalancer
	relay       *heartbeatRelay
}

// Heartbeat implements server.Service. encoded is the heartbeat as it was received; it is relayed
// unchanged.
func (h *heartbeatHandler) Heartbeat(ctx context.Context, encoded []byte, heartbeat *wire.Heartbeat) server.Response {
	now := h.clock.Now()
	local := h.localLeader.answering()
	knownLeader, ok := h.election.Leader()
	if local == nil && (!ok || knownLeader.Name == h.self) {
		return server.Response{Status: http.StatusServiceUnavailable}
	}
	h.balancer.recordHeartbeat(heartbeat.Machine, now)
	if target, ok := h.balancer.chooseTarget(h.ownLoad(local), h.peerLoads(now, knownLeader), now); ok {
		return server.Response{Status: http.StatusMisdirectedRequest, Body: wire.Redirect{Target: target}}
	}
	if local != nil {
		return answerHeartbeat(ctx, local, heartbeat)
	}
	return h.relay.relay(ctx, encoded)
}

// answerHeartbeat returns the response of the leader in this process to a heartbeat.
func answerHeartbeat(ctx context.Context, local *leader.Leader, heartbeat *wire.Heartbeat) server.Response {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answers, err := local.AnswerHeartbeats(ctx, []*wire.Heartbeat{heartbeat})
	if err != nil || !answers[0].OK {
		return server.Response{Status: http.StatusServiceUnavailable}
	}
	return server.Response{Status: http.StatusOK, Body: answers[0].Response}
}

// ownLoad returns the load of this controller. local is the leader in this process, or nil.
func (h *heartbeatHandler) ownLoad(local *leader.Leader) controllerLoad {
	load := controllerLoad{name: h.self, workers: h.balancer.lastCount(), weight: followerWeight}
	if local != nil {
		load.weight = leaderWeight
	}
	return load
}

// peerLoads returns the loads of the peers that can relay heartbeats to the known leader.
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
