package controller

import (
	"context"
	"errors"
	"time"

	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// Heartbeat implements server.Service.
func (n *Controller) Heartbeat(ctx context.Context, raw []byte, rep *wire.Heartbeat) server.Response {
	now := n.clock.Now()
	t := n.term.Load()
	leading := t != nil && t.key.MayAnswerHeartbeats()
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
func (n *Controller) reportToCore(ctx context.Context, t *term, rep *wire.Heartbeat) server.Response {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	var answer wire.HeartbeatResponse
	var ok bool
	if !t.askReports(ctx, func() { answer, ok = t.core.Heartbeat(n.clock.Now(), rep) }) || !ok {
		return server.Response{Status: 503}
	}
	return server.Response{Status: 200, Body: answer}
}

// askReports runs f in the loop, which gives reports to the core, and tells whether their
// answers may be sent: the right to answer is the same after it as before.
func (t *term) askReports(ctx context.Context, f func()) bool {
	replicasOnly := false
	return t.ask(ctx, func() {
		replicasOnly = t.key.MayAnswerReplicasOnly()
		t.core.RestrictToReplicas(replicasOnly)
		f()
	}) && t.key.MayAnswerHeartbeats() && (replicasOnly || !t.key.MayAnswerReplicasOnly())
}

// errNotLeading refuses what only a leader may do.
var errNotLeading = errors.New("not leading")
