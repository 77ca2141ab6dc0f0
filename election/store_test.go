package election

import (
	"time"

	"ospreystile.example/ospreystile/internal/kvtest"
)

// storeLatency is how long a request to the store takes, and as long its response.
const storeLatency = time.Millisecond

// newClient returns one controller's access to the store.
func newClient(store *kvtest.Store) *kvtest.Client {
	return store.NewClient(func() time.Duration { return storeLatency })
}
