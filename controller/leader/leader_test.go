package leader

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/worker"
)

// testCatalog is a Catalog that has been read.
type testCatalog []wire.MachineType

func (c testCatalog) MachineTypes() ([]wire.MachineType, bool)   { return c, true }
func (c testCatalog) TypesFromCloud() ([]wire.MachineType, bool) { return c, true }

// testVersionGate is a VersionGate that Load does not open.
type testVersionGate struct{ open bool }

func (g *testVersionGate) Open() bool                           { return g.open }
func (*testVersionGate) Load(context.Context, *kv.Client) error { return nil }

// testPeer is a Peer that follows the leader of a given revision and has never answered a ping.
type testPeer struct {
	name     ids.ControllerName
	followed atomic.Uint64
}

func (p *testPeer) Controller() ids.ControllerName { return p.name }

func (p *testPeer) FollowedRevision() ids.Revision                     { return ids.Revision(p.followed.Load()) }
func (*testPeer) AnsweredWithin(monotonic.Instant, time.Duration) bool { return false }

// testDependencies returns the dependencies of a leader on controller n-0, whose key-value store is at the
// given address.
func testDependencies(t *testing.T, store string) Dependencies {
	t.Helper()
	operator, err := config.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	platform := &config.Platform{HostName: "n-0"}
	platform.Settings.Teams = []config.Team{{Name: "red", CPUs: 4, CPUsMax: 16}}
	platform.Settings.Resources.CPUShare = 1
	platform.Settings.KV.RPS, platform.Settings.KV.TxnOps, platform.Settings.Cloud.RPS = 200, 8, 4
	return Dependencies{
		Platform:    platform,
		Operator:    operator,
		Clock:       monotonic.SystemClock(),
		Log:         slog.New(slog.DiscardHandler),
		Store:       kv.New(httpclient.New(store, 4, 1<<20), platform.Settings.KV.Strictest().RPS),
		Cloud:       cloud.New("127.0.0.1:3", platform.Settings.Cloud.RPS),
		Workers:     worker.New(),
		Catalog:     testCatalog{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}},
		VersionGate: new(testVersionGate),
	}
}

// testTerm returns a term without an election. Only its revision may be used.
func testTerm(revision ids.Revision) *election.Term { return &election.Term{Revision: revision} }
