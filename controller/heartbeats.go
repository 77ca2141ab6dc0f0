package controller

import (
	"context"
	"time"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// Heartbeat implements server.Service.
func (n *Controller) Heartbeat(ctx context.Context, raw []byte, rep *wire.Heartbeat) server.Response {
	now := n.clock.Now()
	t := n.leader.Load()
	leading := t != nil && t.MayAnswerHeartbeats()
	if l, ok := n.election.Leader(); !leading && (!ok || l.Name == n.cfg.HostName) {
		return server.Response{Status: 503}
	}
	n.balancer.reported(rep.Machine, now)
	if to, ok := n.redirectTarget(now, leading); ok {
		return server.Response{Status: 421, Body: wire.Redirect{Leader: to}}
	}
	if leading {
		return n.reportToCore(ctx, t, rep)
	}
	return n.relay.relay(ctx, raw)
}

// reportToCore gives a worker's report to the leader's core.
func (n *Controller) reportToCore(ctx context.Context, t *leader.Leader, rep *wire.Heartbeat) server.Response {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	answers, err := t.Heartbeats(ctx, []*wire.Heartbeat{rep})
	if err != nil || !answers[0].OK {
		return server.Response{Status: 503}
	}
	return server.Response{Status: 200, Body: answers[0].Orders}
}
