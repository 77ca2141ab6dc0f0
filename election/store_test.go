package election

import (
	"time"

	"ospreystile.example/ospreystile/internal/kvtest"
)

// storeLatency is the time that a request to the store takes. Its response takes the same time.
const storeLatency = time.Millisecond

// newClient returns a client of the store for one controller.
func newClient(store *kvtest.Store) *kvtest.Client {
	return store.NewClient(func() time.Duration { return storeLatency })
}
