package election

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
)

// A leader may hold its key for longer than the store retains changes. A controller that starts
// then cannot watch from the revision of the key. It must watch from a later revision instead of
// reading the key in a tight loop, and must immediately notice the deletion of the key.
func TestWatchOfKeyOlderThanCompaction(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		first := c.start(t, "n0", 1)
		time.Sleep(time.Second)
		c.store.SetRetention(10_000)
		c.store.AdvanceRevision(20_000)
		before := c.store.RequestCount()
		c.start(t, "n1", 1)
		time.Sleep(30 * time.Second)
		if calls := c.store.RequestCount() - before; calls > 100 {
			t.Errorf("%d requests in 30 s, want at most 100", calls)
		}
		first.kill()
		time.Sleep(4 * time.Second)
		if leader, _ := c.leader(); leader != "n1" {
			t.Errorf("%q leads, want n1", leader)
		}
	})
}

// If a leader key that cannot be decoded counted as absent, a second controller could lead while
// the lease of the first is valid. The key must count as held until its lease expires, and must be
// logged once.
func TestUnreadableKeyCountsAsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvtest.NewStore()
		s.PutWithLease(records.LeaderKey, "nonsense", 2*time.Second)
		var logged bytes.Buffer
		terms := make(chan ids.Revision, 9)
		bounds := LeaseBounds{TTL: testTTL, OutageGrace: testOutageGrace}
		log := slog.New(slog.NewTextHandler(&logged, nil))
		election := New(newClient(s), Identity{Name: "n0"}, bounds, monotonic.SystemClock(), log,
			func(ctx context.Context, term *Term) error {
				terms <- term.Revision
				<-ctx.Done()
				return context.Cause(ctx)
			})
		stop := runElection(t, election)

		time.Sleep(1900 * time.Millisecond)
		if leader, known := election.Leader(); known || len(terms) > 0 {
			t.Errorf("follows %q and has led %d times while the lease is valid", leader.Name, len(terms))
		}
		time.Sleep(3 * time.Second)
		if len(terms) != 1 {
			t.Errorf("led %d times after the lease expired, want once", len(terms))
		}
		stop()
		if n := strings.Count(logged.String(), "key=leader"); n != 1 {
			t.Errorf("logged %d times, want once: %s", n, logged.String())
		}
	})
}
