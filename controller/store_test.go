package controller

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/internal/kvtest"
)

// testHold bounds the watches that the controllers of a test open, and so how long they take to
// end.
const testHold = 20 * time.Millisecond

// newTestStore starts a key-value store whose leases do not expire: a test may take longer than
// they last.
func newTestStore(t *testing.T) *kvtest.Server {
	t.Helper()
	store := kvtest.NewStore()
	store.SuspendLeaseExpiry()
	store.SetMaxWatchWait(testHold)
	return serveStore(t, store)
}

// serveStore starts a server of a store, which can refuse its callers alone.
func serveStore(t *testing.T, store *kvtest.Store) *kvtest.Server {
	t.Helper()
	server := kvtest.NewServer(store)
	t.Cleanup(server.Close)
	return server
}
