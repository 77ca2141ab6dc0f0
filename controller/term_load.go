package controller

import (
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/wire"
)

// catalogRetryDelay is how often a new leader looks for the catalog.
const catalogRetryDelay = 100 * time.Millisecond

// load reads the records, which nobody else can change any more, and the jobs. The
// leader's commits are fenced by its revision from here on, so the admissions stay as they
// are; jobs go on changing and are watched from the revision that it returns.
func (t *term) load() (ids.Revision, error) {
	n := t.n
	types, err := t.awaitCatalog()
	if err != nil {
		return 0, err
	}
	if err := n.readUpgrade(t.ctx, n.leaderState); err != nil {
		return 0, err
	}
	predecessor, err := t.claimFleet()
	if err != nil {
		return 0, err
	}
	options := n.options(t.key.Revision, predecessor)
	options.WallClockMS = time.Now().UnixMilli()
	t.core = scheduler.New(options, types)
	since, err := n.leaderState.List(t.ctx, records.JobPrefix, t.loadJob)
	if err != nil {
		return 0, err
	}
	if err := t.loadZones(); err != nil {
		return 0, err
	}
	if _, err := n.leaderState.List(t.ctx, records.AdmissionPrefix, t.loadAdmission); err != nil {
		return 0, err
	}
	t.core.Begin(n.clock.Now())
	return since, nil
}

// awaitCatalog waits until the cloud's catalog was read.
func (t *term) awaitCatalog() ([]wire.MachineType, error) {
	for {
		if types := t.n.catalog.Load(); types != nil {
			return *types, nil
		}
		if !monotonic.Sleep(t.ctx, catalogRetryDelay) {
			return nil, t.ctx.Err()
		}
	}
}

// claimFleet tells whether somebody led before, and records that from now on somebody has.
func (t *term) claimFleet() (predecessor bool, err error) {
	state := t.n.leaderState
	if _, found, err := state.Get(t.ctx, records.FleetKey); found || err != nil {
		return found, err
	}
	out, err := state.Commit(t.ctx, kv.Txn{
		Preconditions: []kv.Precondition{{Key: records.LeaderKey, Revision: t.key.Revision}},
		Operations:    []kv.Operation{{PutKey: records.FleetKey, Value: map[string]uint64{"first": uint64(t.key.Revision)}}},
	})
	switch {
	case err != nil:
		return false, err
	case !out.Applied:
		return false, records.ErrFenced
	}
	return false, nil
}

// loadJob takes in a job's record.
func (t *term) loadJob(e kv.Entry) error {
	id := ids.JobID(e.Key[len(records.JobPrefix):])
	var record records.Job
	if err := wire.Decode(e.Value, &record); err != nil {
		t.n.unreadable(e.Key, err)
		t.core.LoadUnreadableJob(id)
		return nil
	}
	t.core.LoadJob(id, &record, e.Revision)
	return nil
}

// loadAdmission takes in a record of where tasks are.
func (t *term) loadAdmission(e kv.Entry) error {
	id, number, ok := records.ParseAdmissionKey(e.Key)
	if !ok {
		return fmt.Errorf("record %s: malformed key", e.Key)
	}
	var record records.AdmissionSlice
	err := wire.Decode(e.Value, &record)
	if err == nil {
		err = t.core.LoadSlice(id, number, &record, e.Revision)
	}
	if err != nil {
		t.n.unreadable(e.Key, err)
		t.core.Suspend(id)
	}
	return nil
}

// unreadable reports a record that makes no sense. It is never taken for absent.
// Ending the term for a job's record would end every later term too, and forget all
// other jobs.
func (n *Controller) unreadable(key string, err error) {
	n.log.Error("record unreadable", "key", key, "err", err)
}
