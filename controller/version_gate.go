package controller

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

const (
	// gateCheckInterval is the interval between two checks whether the gate can open.
	gateCheckInterval = 500 * time.Millisecond
	// gateReadInterval is the minimum interval between two reads of records.FormatKey.
	gateReadInterval = 10 * time.Second
)

// versionGate ensures compatibility with controllers of older versions that support neither dependencies
// of jobs nor split records. The gate is closed until all of these controllers are known to have been
// replaced. While it is closed, no job with dependencies is accepted and no record is split. All other
// records have a form that the older versions can read.
//
// While the gate is closed, a previous leader may have an older version. Such a leader may answer
// heartbeats for the whole outage grace, which package leader allows for. It also acknowledges
// cancellations without checking its lease. leaderClient accepts these acknowledgements, as followers of
// the older versions do.
//
// The gate can be removed, with scheduler.Core.EnableSplitRecords and scheduler.Options.SplitRecords,
// once every deployment's store has records.FormatKey. Callers of Open then behave as if it returned
// true.
//
// versionGate is safe for concurrent use. Once open, it remains open.
type versionGate struct {
	peers       peerSet
	store       *kv.Client
	clock       monotonic.Clock
	localLeader *localLeader
	log         *slog.Logger
	open        atomic.Bool
}

// formatRecord represents the value of records.FormatKey.
type formatRecord struct {
	Format int `msgpack:"v"`
}

// Open implements leader.VersionGate.
func (g *versionGate) Open() bool { return g.open.Load() }

// Load implements leader.VersionGate.
func (g *versionGate) Load(ctx context.Context, store *kv.Client) error {
	if g.Open() {
		return nil
	}
	entry, found, err := store.Get(ctx, records.FormatKey)
	if err != nil || !found {
		return err
	}
	var record formatRecord
	if err := wire.Decode(entry.Value, &record); err != nil {
		// The gate remains closed until the pings of the peers open it.
		g.log.Error("record unreadable", "key", records.FormatKey, "err", err)
		return nil
	}
	if record.Format >= peerapi.RecordFormat {
		g.open.Store(true)
	}
	return nil
}

// versions returns the versions for this controller's pings.
func (g *versionGate) versions() peerapi.Versions {
	versions := peerapi.Versions{Format: peerapi.RecordFormat, Durable: g.Open()}
	if versions.Durable {
		return versions
	}
	for _, p := range g.peers {
		if p.versions.Load() != nil {
			versions.Upgraded = append(versions.Upgraded, p.Name)
		}
	}
	return versions
}

// allUpgraded reports whether each peer is known to have sent a ping of this version or a later one,
// either to this controller or to a peer of such a version.
func (g *versionGate) allUpgraded() bool {
	for _, p := range g.peers {
		if p.versions.Load() == nil && !g.upgradedAccordingToPeer(p) {
			return false
		}
	}
	return true
}

// upgradedAccordingToPeer reports whether a peer has received a ping of this version or a later one from
// the target.
func (g *versionGate) upgradedAccordingToPeer(target *peer) bool {
	return slices.ContainsFunc(g.peers, func(p *peer) bool {
		versions := p.versions.Load()
		return versions != nil && slices.Contains(versions.Upgraded, target.Name)
	})
}

// durable reports whether a peer knows that records.FormatKey has been written.
func (g *versionGate) durable() bool {
	return slices.ContainsFunc(g.peers, func(p *peer) bool {
		versions := p.versions.Load()
		return versions != nil && versions.Durable
	})
}

// run waits until the gate opens, and then notifies the leader in this process. It opens the gate itself
// once the peers' pings or the key-value store show that all controllers are upgraded.
func (g *versionGate) run(ctx context.Context) error {
	var nextRead monotonic.Instant
	for !g.Open() {
		now := g.clock.Now()
		var err error
		switch {
		case g.durable():
			g.open.Store(true)
		case g.allUpgraded():
			err = g.writeFormatRecord(ctx)
		case now >= nextRead:
			nextRead = now.Add(gateReadInterval)
			err = g.Load(ctx, g.store)
		}
		if g.Open() {
			break
		}
		if err != nil {
			g.log.Debug("version gate check failed", "err", err)
		}
		if !monotonic.Sleep(ctx, gateCheckInterval) {
			return ctx.Err()
		}
	}
	g.log.Info("version gate open")
	if local := g.localLeader.get(); local != nil {
		local.OpenVersionGate(ctx)
	}
	return nil
}

// writeFormatRecord writes records.FormatKey and opens the gate. Controllers that start later read the
// record and need not wait for the pings of all peers.
func (g *versionGate) writeFormatRecord(ctx context.Context) error {
	_, err := g.store.Commit(ctx, kv.Txn{
		Preconditions: []kv.Precondition{{Key: records.FormatKey}},
		Operations:    []kv.Operation{{PutKey: records.FormatKey, Value: formatRecord{peerapi.RecordFormat}}},
	})
	if err != nil {
		return err
	}
	g.open.Store(true) // the record exists: this or another controller has written it
	return nil
}
