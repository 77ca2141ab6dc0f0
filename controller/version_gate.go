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
	// gateCheckInterval is how often it is looked whether the gate opens.
	gateCheckInterval = 500 * time.Millisecond
	// gateReadInterval is how often the key-value store is read meanwhile.
	gateReadInterval = 10 * time.Second
)

// versionGate is all there is of compatibility with controllers that know neither dependencies
// of jobs nor split records. Until each of them is known to have been replaced, the gate is
// closed: no job with dependencies is accepted and no record is split. Everything else is
// written as those controllers write and read it. While the gate is closed an earlier leader may
// be an older one, which goes on alone for the whole grace: package leader counts on that. An
// older leader acknowledges cancellations without saying whether it holds its lease;
// leaderClient takes that, as older followers do.
//
// The gate can go, with scheduler.Core.EnableSplitRecords and scheduler.Options.SplitRecords,
// once no deployment is left whose store lacks records.FormatKey; what calls Open then takes it
// for true.
//
// It is safe for concurrent use. It never closes again.
type versionGate struct {
	peers     peerSet
	store     *kv.Client
	clock     monotonic.Clock
	ownLeader *localLeader
	log       *slog.Logger
	open      atomic.Bool
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

// versions is what this controller's pings tell of versions.
func (g *versionGate) versions() peerapi.Versions {
	versions := peerapi.Versions{Format: peerapi.RecordFormat, Durable: g.Open()}
	if versions.Durable {
		return versions
	}
	for _, p := range g.peers {
		if p.versions.Load() != nil {
			versions.Seen = append(versions.Seen, p.Name)
		}
	}
	return versions
}

// allUpgraded tells whether each peer was heard with this version or a later one, by this
// controller or by a peer that was.
func (g *versionGate) allUpgraded() bool {
	for _, p := range g.peers {
		if p.versions.Load() == nil && !g.seenByPeer(p) {
			return false
		}
	}
	return true
}

// seenByPeer tells whether a peer that was heard has heard the given one.
func (g *versionGate) seenByPeer(sought *peer) bool {
	return slices.ContainsFunc(g.peers, func(p *peer) bool {
		versions := p.versions.Load()
		return versions != nil && slices.Contains(versions.Seen, sought.Name)
	})
}

// durable tells whether a peer knows that records.FormatKey is written.
func (g *versionGate) durable() bool {
	return slices.ContainsFunc(g.peers, func(p *peer) bool {
		versions := p.versions.Load()
		return versions != nil && versions.Durable
	})
}

// run waits until the gate opens, and tells the leader in this process.
func (g *versionGate) run(ctx context.Context) error {
	var readAt monotonic.Instant
	for !g.Open() {
		now := g.clock.Now()
		var err error
		switch {
		case g.durable():
			g.open.Store(true)
		case g.allUpgraded():
			err = g.record(ctx)
		case now >= readAt:
			readAt = now.Add(gateReadInterval)
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
	if own := g.ownLeader.get(); own != nil {
		own.OpenVersionGate(ctx)
	}
	return nil
}

// record makes it durable that every controller is of this version, so that no later process
// need learn it again, and opens the gate.
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
