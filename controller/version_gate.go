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
	// gateCheckInterval is the time between two checks whether the gate can open.
	gateCheckInterval = 500 * time.Millisecond
	// gateReadInterval is the least time between two reads of records.FormatKey.
	gateReadInterval = 10 * time.Second
)

// versionGate implements the compatibility with controllers of versions that know neither
// dependencies of jobs nor split records. Until all of them are known to have been replaced, the
// gate is closed: no job with dependencies is accepted and no record is split. All other records
// have a form that those versions can read. While the gate is closed, an earlier leader may be of
// such a version, and may answer heartbeats for the whole outage grace; package leader allows
// for that. Such a leader acknowledges cancellations without checking its lease; leaderClient
// accepts that, as followers of those versions do.
//
// The gate can be removed, with scheduler.Core.EnableSplitRecords and
// scheduler.Options.SplitRecords, once every deployment's store has records.FormatKey. Callers of
// Open then behave as if it returned true.
//
// It is safe for concurrent use. Once open, it stays open.
type versionGate struct {
	peers       peerSet
	store       *kv.Client
	clock       monotonic.Clock
	localLeader *localLeader
	log         *slog.Logger
	open        atomic.Bool
}

// formatRecord is the value of records.FormatKey.
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
		// The gate stays closed until the peers' pings open it.
		g.log.Error("record unreadable", "key", records.FormatKey, "err", err)
		return nil
	}
	if record.Format >= peerapi.RecordFormat {
		g.open.Store(true)
	}
	return nil
}

// versions returns the versions in this controller's pings.
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

// allUpgraded reports whether each peer has sent a ping of this version or a later one, to this
// controller or to a peer of such a version.
func (g *versionGate) allUpgraded() bool {
	for _, p := range g.peers {
		if p.versions.Load() == nil && !g.upgradedAccordingToPeer(p) {
			return false
		}
	}
	return true
}

// seenByPeer reports whether a peer has received such a ping from the sought one.
func (g *versionGate) upgradedAccordingToPeer(target *peer) bool {
	return slices.ContainsFunc(g.peers, func(p *peer) bool {
		versions := p.versions.Load()
		return versions != nil && slices.Contains(versions.Upgraded, target.Name)
	})
}

// durable reports whether a peer knows that records.FormatKey is written.
func (g *versionGate) durable() bool {
	return slices.ContainsFunc(g.peers, func(p *peer) bool {
		versions := p.versions.Load()
		return versions != nil && versions.Durable
	})
}

// run waits until the gate opens, and notifies the leader in this process.
func (g *versionGate) run(ctx context.Context) error {
	var nextRead monotonic.Instant
	for !g.Open() {
		now := g.clock.Now()
		var err error
		switch {
		case g.durable():
			g.open.Store(true)
		case g.allUpgraded():
			err = g.record(ctx)
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

// record writes records.FormatKey, so that later processes need not wait for the pings of all
// peers, and opens the gate.
func (g *versionGate) record(ctx context.Context) error {
	_, err := g.store.Commit(ctx, kv.Txn{
		Preconditions: []kv.Precondition{{Key: records.FormatKey}},
		Operations:    []kv.Operation{{PutKey: records.FormatKey, Value: formatRecord{peerapi.RecordFormat}}},
	})
	if err != nil {
		return err
	}
	g.open.Store(true) // the record is written now, or was there already
	return nil
}
