package controller

import (
	"errors"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// refresh reads a job's record again.
func (t *term) refresh(id ids.JobID) {
	for t.ctx.Err() == nil {
		e, found, err := t.n.leaderState.Get(t.ctx, records.JobKey(id))
		var rec records.Job
		if err == nil && found {
			err = wire.Decode(e.Value, &rec)
		}
		if err == nil {
			if found {
				t.post(t.ctx, func() { t.core.ObserveJob(t.n.clock.Now(), id, &rec, e.Revision) })
			}
			return
		}
		t.n.log.Debug("job read failed", "job", id, "err", err)
		monotonic.Sleep(t.ctx, 300*time.Millisecond)
	}
}

// watchJobs is the safety net under the peers' announcements.
func (t *term) watchJobs(since ids.Revision) error {
	for {
		epoch, events, err := t.n.leaderState.Watch(t.ctx, records.JobPrefix, since, 10*time.Second)
		if errors.Is(err, kv.ErrCompacted) {
			return fmt.Errorf("watch on jobs: %w", err)
		}
		if err != nil {
			if !monotonic.Sleep(t.ctx, 200*time.Millisecond) {
				return t.ctx.Err()
			}
			continue
		}
		for _, ev := range events {
			if ev.PutKey == "" {
				continue
			}
			var rec records.Job
			if err := wire.Decode(ev.Value, &rec); err != nil {
				t.n.unreadable(ev.PutKey, err)
				continue
			}
			id := ids.JobID(ev.PutKey[len(records.JobPrefix):])
			t.post(t.ctx, func() { t.core.ObserveJob(t.n.clock.Now(), id, &rec, ev.Revision) })
		}
		since = max(since, epoch)
		upTo := since
		t.post(t.ctx, func() { t.observed = upTo })
	}
}

// awaitPeers waits until all other controllers follow this leader, and tells
// the core.
func (t *term) awaitPeers() error {
	follows := func(p *peer) bool { return p.leaderRevision.Load() >= uint64(t.key.Revision) }
	for _, p := range t.n.peers {
		for !follows(p) {
			if !monotonic.Sleep(t.ctx, 200*time.Millisecond) {
				return t.ctx.Err()
			}
		}
	}
	t.post(t.ctx, func() { t.core.AllControllersFollow(t.n.clock.Now()) })
	return nil
}
