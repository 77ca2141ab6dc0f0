// Package monotonic provides readings of a monotonic clock, and waits that allow for the
// drift between the clocks of different machines. Leases, timeouts and intervals use it;
// wall-clock time appears only in records and in what operators see.
//
// The package holds no state. Clocks may be read from any goroutine.
package monotonic

import (
	"context"
	"time"
)

// Instant is a reading of a monotonic clock, counted from an origin that is private
// to the clock. Instants of two processes cannot be compared.
type Instant time.Duration

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Clock reads monotonic time. Tests substitute their own implementations.
type Clock interface {
	// Now returns the current instant. It never returns one that is earlier than a previous one.
	Now() Instant
}

// systemClock reads the monotonic clock of the process, counted from start, which lies in the past.
type systemClock struct{ start time.Time }

// startOffset is the first reading of a system clock. It is above zero, so that the zero
// Instant always lies in the past.
const startOffset = time.Hour

// SystemClock returns a clock that reads the monotonic clock of the process.
func SystemClock() Clock { return systemClock{time.Now().Add(-startOffset)} }

// Now implements Clock.
func (c systemClock) Now() Instant { return Instant(time.Since(c.start)) }

// Seconds converts a decimal number of seconds, the unit of settings and of the protocol.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// driftDivisor sets the drift to 0.2% of the interval. Each of the two clocks may be off by
	// 0.05%, so this is twice the drift that can occur.
	driftDivisor = 500
	// timerResolution is how late a timer may fire.
	timerResolution = 10 * time.Millisecond
)

// MaxDrift returns how far the clocks of two machines may drift apart over an interval.
func MaxDrift(interval time.Duration) time.Duration { return interval / driftDivisor }

// AddDriftMargin lengthens a wait so that it has passed on the clock of every other
// machine too.
func AddDriftMargin(wait time.Duration) time.Duration { return wait + MaxDrift(wait) + timerResolution }

// Sleep waits for d and reports whether d has passed. If the context ends first, it returns false
// immediately.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
