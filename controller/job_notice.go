package controller

import (
	"context"
	"time"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
)

// notifyLeader tells the leader of a submission. Nothing depends on its being heard.
func (n *Controller) notifyLeader(id ids.JobID, rec *records.Job, revision ids.Revision) {
	if t := n.leader.Load(); t != nil {
		t.NotifyJob(leader.JobRecord{ID: id, Record: rec, Revision: revision})
		return
	}
	if p := n.leaderPeer(); p != nil {
		a := peerapi.NewJobNotice(id, rec, revision)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if err := p.Call(ctx, peerapi.OpJob, a, nil); err != nil {
				n.log.Debug("leader notification failed", "job", id, "err", err)
			}
		}()
	}
}
