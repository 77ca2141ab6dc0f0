package leader

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// unknownCatalog is a Catalog that has neither been read nor been recorded.
type unknownCatalog struct{}

func (unknownCatalog) MachineTypes() ([]wire.MachineType, bool)   { return nil, false }
func (unknownCatalog) TypesFromCloud() ([]wire.MachineType, bool) { return nil, false }

// A leader that waited for the cloud's catalog before it loads the records would hold its lease without
// answering heartbeats, for as long as the cloud does not answer.
func TestLeaderLoadsWithoutTheCatalog(t *testing.T) {
	dependencies := testDependencies(t, startLedStore(t).Address())
	dependencies.Catalog = unknownCatalog{}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	recordLoader := &loader{Dependencies: dependencies, term: testTerm(testRevision)}
	if err := recordLoader.load(ctx); err != nil {
		t.Fatalf("load records: %v", err)
	}
	core, now := recordLoader.core, dependencies.Clock.Now()
	heartbeat := &wire.Heartbeat{Machine: "n-1", Endpoint: "n-1", Type: "m", Zone: "a", Incarnation: 1, Sequence: 1}
	if response, ok := core.Heartbeat(now, heartbeat); !ok || response.FencingToken == 0 {
		t.Errorf("heartbeat answered with %+v, %v", response, ok)
	}
}

// newRecorder starts a key-value store in which the leader key is at the revision of the fence, and returns a
// recorder for it.
func newRecorder(t *testing.T) (*catalogRecorder, *kvtest.Server) {
	t.Helper()
	server := kvtest.NewServer(kvtest.NewStore())
	t.Cleanup(server.Close)
	dependencies := testDependencies(t, server.Address())
	return &catalogRecorder{store: dependencies.Store, fence: kv.Precondition{Key: records.LeaderKey, Revision: server.Put(records.LeaderKey, 1)},
		log: slog.New(slog.DiscardHandler)}, server
}

// storedRevision returns the revision of the first part of the recorded catalog, or 0 if there is none.
func storedRevision(server *kvtest.Server) ids.Revision {
	entry, _ := server.Entry(records.CatalogKey(0))
	return entry.Revision
}

// The catalog is written again only if the machine types have changed, and never by a leader that has been
// replaced, whose types may be older than those in the record.
func TestCatalogIsRecordedOnChangeByTheCurrentLeader(t *testing.T) {
	recorder, server := newRecorder(t)
	record := func(types ...wire.MachineType) (revision ids.Revision) {
		t.Helper()
		if err := recorder.record(t.Context(), types); err != nil {
			t.Fatal(err)
		}
		return storedRevision(server)
	}
	small, large := wire.MachineType{Name: "small", CPUs: 4, Price: 1}, wire.MachineType{Name: "large", CPUs: 8, Price: 2}
	first := record(small)
	if first == 0 {
		t.Fatal("the catalog is not recorded")
	}
	small.Price = 3
	if got := record(small); got != first {
		t.Errorf("recorded again at %d although only a price differs", got)
	}
	second := record(small, large)
	if second == first {
		t.Error("a new machine type is not recorded")
	}
	server.Put(records.LeaderKey, 2)
	if got := record(small); got != second {
		t.Errorf("a leader that has been replaced recorded the catalog at %d", got)
	}
}

// A part that cannot be decoded is replaced. If it were kept, the catalog could never be recorded again.
func TestUnreadableCatalogIsReplaced(t *testing.T) {
	recorder, server := newRecorder(t)
	unreadable := server.Put(records.CatalogKey(0), "nonsense")
	if err := recorder.record(t.Context(), []wire.MachineType{{Name: "small", CPUs: 4}}); err != nil {
		t.Fatal(err)
	}
	if got := storedRevision(server); got <= unreadable {
		t.Errorf("the part is at revision %d, as before", got)
	}
}
