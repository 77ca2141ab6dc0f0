// Package monotonic holds readings of a monotonic clock, and waits that allow for the
// drift between the clocks of different machines. Leases, timeouts and intervals go by
// it; the time of day appears only in records and in what operators see.
package monotonic

import (
	"context"
	"time"
)

// Instant is a reading of a monotonic clock, counted from a start that only the clock
// itself knows: instants of two processes cannot be compared.
type Instant time.Duration

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Clock reads monotonic time. Tests substitute their own.
type Clock interface{ Now() Instant }

type systemClock struct{ start time.Time }

// SystemClock returns the monotonic clock of the process. It starts above zero so that the
// zero Instant always lies in the past.
func SystemClock() Clock { return systemClock{time.Now().Add(-time.Hour)} }

func (s systemClock) Now() Instant { return Instant(time.Since(s.start)) }

// Seconds converts a decimal number of seconds, as settings and the protocol use it.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// AddDriftMargin lengthens a wait so that it has passed on any other machine's clock too:
// each of the two clocks may be off by 0.05%. The constant covers the resolution of timers.
func AddDriftMargin(d time.Duration) time.Duration { return d + d/500 + 10*time.Millisecond }

// Sleep waits for d. It returns false if the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
