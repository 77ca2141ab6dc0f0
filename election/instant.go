package election

import (
	"sync/atomic"

	"ospreystile.example/ospreystile/monotonic"
)

// atomicInstant holds an instant that goroutines read and write without a lock.
type atomicInstant struct{ nanoseconds atomic.Int64 }

func (a *atomicInstant) Load() monotonic.Instant { return monotonic.Instant(a.nanoseconds.Load()) }

func (a *atomicInstant) Store(t monotonic.Instant) { a.nanoseconds.Store(int64(t)) }
