package controller

import (
	"context"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// jobNotice tells the leader about a job at once. The leader's watch finds it too, only
// later. The answer tells whether the leader had taken it in while it held its key; see
// cancelVisible. Older leaders answer once it is in the core's queue.
type jobNotice struct {
	ID       ids.JobID    `cbor:"1,keyasint"`
	Record   []byte       `cbor:"2,keyasint"`
	Revision ids.Revision `cbor:"3,keyasint"`
}

// newJobNotice makes the notice of a record.
func newJobNotice(id ids.JobID, rec *records.Job, revision ids.Revision) jobNotice {
	return jobNotice{id, wire.Encode(rec), revision}
}

// notifyLeader tells the leader of a submission. Nothing depends on its being heard.
func (n *Controller) notifyLeader(id ids.JobID, rec *records.Job, revision ids.Revision) {
	if t := n.term.Load(); t != nil {
		go t.post(t.ctx, func() { t.core.ObserveJob(n.clock.Now(), id, rec, revision) })
		return
	}
	if p := n.leaderPeer(); p != nil {
		a := newJobNotice(id, rec, revision)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if err := p.Call(ctx, opJob, a, nil); err != nil {
				n.log.Debug("leader notification failed", "job", id, "err", err)
			}
		}()
	}
}
