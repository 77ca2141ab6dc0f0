package controller

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// This file is all there is of compatibility with controllers that know nothing of
// waiting and of split records: until each of them is known to have been replaced,
// no job that names others is accepted and no record is split. Everything else is
// written as they write and read it. A leader before that may be an older one, which
// goes on alone for the whole grace: package leader counts on that. And an older one
// acknowledges cancellations without saying whether it holds its key: cancelVisible takes that,
// as older followers do. The file can go, with scheduler's EnableSplitRecords and
// Options.Split, once no deployment is left whose state lacks records.FormatKey; what
// asks done() then takes it for true.

// observeVersion takes note of the version that a peer's latest ping told.
func (p *peer) observeVersion(ans peerapi.Ping) {
	if ans.Format < peerapi.RecordFormat {
		p.version.Store(nil)
		return
	}
	v := ans.Versions
	p.version.Store(&v)
}

// upgrade remembers that every controller is known to be of this version. It never
// goes back.
type upgrade struct{ durable atomic.Bool }

// done tells whether every controller is known to be of this version.
func (u *upgrade) done() bool { return u.durable.Load() }

// versions is what this node's pings tell of versions.
func (n *Controller) versions() peerapi.Versions {
	v := peerapi.Versions{Format: peerapi.RecordFormat, Durable: n.upgrade.done()}
	if v.Durable {
		return v
	}
	for _, p := range n.peers {
		if p.version.Load() != nil {
			v.Seen = append(v.Seen, p.Name)
		}
	}
	return v
}

// allControllersNew tells what the peers' pings show: that all controllers are new, or that
// somebody has written so.
func (n *Controller) allControllersNew() (all, durable bool) {
	all = true
	for _, p := range n.peers {
		known := p.version.Load() != nil
		for _, q := range n.peers {
			v := q.version.Load()
			durable = durable || v != nil && v.Durable
			known = known || v != nil && slices.Contains(v.Seen, p.Name)
		}
		all = all && known
	}
	return all, durable
}

const (
	upgradeCheckInterval = 500 * time.Millisecond
	// upgradeReadInterval is how often the state service is asked meanwhile.
	upgradeReadInterval = 10 * time.Second
)

// awaitUpgrade waits until every controller is known to be new, makes that durable,
// so that a successor need not learn it again, and tells the leader's core.
func (n *Controller) awaitUpgrade(ctx context.Context) error {
	var readAt monotonic.Instant
	for !n.upgrade.done() {
		all, durable := n.allControllersNew()
		now := n.clock.Now()
		var err error
		switch {
		case durable:
			n.upgrade.durable.Store(true)
			continue
		case all:
			_, err = n.userState.Commit(ctx, kv.Txn{
				Preconditions: []kv.Precondition{{Key: records.FormatKey}},
				Operations:    []kv.Operation{{PutKey: records.FormatKey, Value: map[string]int{"v": peerapi.RecordFormat}}},
			})
			if err == nil { // written now, or there already
				n.upgrade.durable.Store(true)
				continue
			}
		case now >= readAt:
			readAt = now.Add(upgradeReadInterval)
			err = n.readUpgrade(ctx, n.userState)
		}
		if err != nil {
			n.log.Debug("version gate check failed", "err", err)
		}
		if !monotonic.Sleep(ctx, upgradeCheckInterval) {
			return ctx.Err()
		}
	}
	n.log.Info("version gate open")
	if t := n.leader.Load(); t != nil {
		t.OpenVersionGate(ctx)
	}
	return nil
}

// readUpgrade looks in the state service whether it is known already.
func (n *Controller) readUpgrade(ctx context.Context, state *kv.Client) error {
	if n.upgrade.done() {
		return nil
	}
	e, found, err := state.Get(ctx, records.FormatKey)
	if err != nil || !found {
		return err
	}
	var rec struct {
		Format int `msgpack:"v"`
	}
	if err := wire.Decode(e.Value, &rec); err != nil {
		// Until the peers tell, only what the older format holds is written.
		n.log.Error("record unreadable", "key", records.FormatKey, "err", err)
		return nil
	}
	if rec.Format >= peerapi.RecordFormat {
		n.upgrade.durable.Store(true)
	}
	return nil
}
