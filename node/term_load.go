package node

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/ledger"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/statestore"
	"ospreystile.example/ospreystile/wire"
)

// load reads the records, which nobody else can change any more, and the jobs.
func (t *term) load() (ids.Revision, error) {
	n := t.n
	// The leader's commits are fenced by its revision from here on, so the
	// admissions are paused; jobs go on changing and are watched.
	types := n.catalog.Load()
	for types == nil {
		if !ids.Pause(t.ctx, 100*time.Millisecond) {
			return 0, t.ctx.Err()
		}
		types = n.catalog.Load()
	}
	if err := n.readUpgrade(t.ctx, n.leaderState); err != nil {
		return 0, err
	}
	_, before, err := n.leaderState.Get(t.ctx, ledger.FleetKey)
	if err != nil {
		return 0, err
	}
	if !before {
		out, err := n.leaderState.Commit(t.ctx, statestore.Txn{
			Guards: []statestore.Guard{{Key: ledger.LeaderKey, Revision: t.key.Revision}},
			Apply:  []statestore.Op{{Write: ledger.FleetKey, Value: map[string]uint64{"first": uint64(t.key.Revision)}}},
		})
		if err != nil {
			return 0, err
		}
		if !out.Applied {
			return 0, ledger.ErrFenced
		}
	}
	opt := n.options(t.key.Revision, before)
	opt.WallClockMS = time.Now().UnixMilli()
	t.core = scheduler.New(opt, *types)
	since, err := n.leaderState.List(t.ctx, ledger.JobPrefix, func(e statestore.Entry) error {
		var rec ledger.Job
		if err := wire.Decode(e.Value, &rec); err != nil {
			n.unreadable(e.Key, err)
			t.core.LoadUnreadableJob(ids.JobID(e.Key[len(ledger.JobPrefix):]))
			return nil
		}
		t.core.LoadJob(ids.JobID(e.Key[len(ledger.JobPrefix):]), &rec, e.Revision)
		return nil
	})
	if err != nil {
		return 0, err
	}
	_, err = n.leaderState.List(t.ctx, ledger.AdmissionPrefix, func(e statestore.Entry) error {
		id, num, ok := ledger.ParseAdmissionKey(e.Key)
		if !ok {
			return fmt.Errorf("record %s: malformed key", e.Key)
		}
		var rec ledger.Slice
		err := wire.Decode(e.Value, &rec)
		if err == nil {
			err = t.core.LoadSlice(id, num, &rec, e.Revision)
		}
		if err != nil {
			n.unreadable(e.Key, err)
			t.core.Suspend(id)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	t.core.Begin(n.clock.Now())
	return since, nil
}

// unreadable reports a record that makes no sense. It is never taken for absent.
// Ending the term for a job's record would end every later term too, and forget all
// other jobs.
func (n *Node) unreadable(key string, err error) {
	n.log.Error("record unreadable, what it is about waits", "key", key, "err", err)
}
