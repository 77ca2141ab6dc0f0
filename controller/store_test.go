package controller

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/internal/kvtest"
)

// testMaxHold bounds the duration of a watch in a test, and so the time that controllers take to stop.
const testMaxHold = 20 * time.Millisecond

// newTestStore starts a key-value store whose leases do not expire, since a test may take longer than a
// lease.
func newTestStore(t *testing.T) *kvtest.Server {
	t.Helper()
	store := kvtest.NewStore()
	store.SuspendLeaseExpiry()
	store.SetMaxWatchWait(testMaxHold)
	return serveStore(t, store)
}

// serveStore starts a server of a store. The server can refuse its own callers, and not those of other
// servers of the store.
func serveStore(t *testing.T, store *kvtest.Store) *kvtest.Server {
	t.Helper()
	server := kvtest.NewServer(store)
	t.Cleanup(server.Close)
	return server
}
