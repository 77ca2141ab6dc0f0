// Package clock holds the scheduler's time during one term of leadership, and determines when its
// next scheduling round is due. It doesn't read the system clock: the owner of the scheduler passes
// the time in. Its types aren't safe for concurrent use; they belong to the goroutine that runs the
// scheduler.
package clock

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

// pauseThreshold is the interval without a step after which the process counts as paused. Heartbeats
// that arrived during a pause have not been read yet, so a missing heartbeat does not mean that a
// machine has failed.
const pauseThreshold = time.Second

// Clock holds the scheduler's current time. All components read it; only the core advances it.
type Clock struct {
	now, termStart, lastStep, resumedAt monotonic.Instant
	totalPause                          time.Duration
	wallAtBeginMS                       int64
}

// New returns the clock of a term. wallMS is the wall-clock time in Unix milliseconds when
// the term begins; 0 means unknown.
func New(wallMS int64) *Clock { return &Clock{wallAtBeginMS: wallMS} }

// Begin sets the time at which the term begins.
func (c *Clock) Begin(now monotonic.Instant) { c.now, c.termStart = now, now }

// Set sets the clock to the time of an event.
func (c *Clock) Set(now monotonic.Instant) { c.now = now }

// Advance sets the clock to the time of a step or heartbeat, and detects pauses of the
// process.
func (c *Clock) Advance(now monotonic.Instant) {
	c.now = now
	if gap := now.Sub(c.lastStep); gap > pauseThreshold {
		c.resumedAt = now
		if c.lastStep != 0 {
			c.totalPause += gap
		}
	}
	c.lastStep = now
}

// Now returns the current time.
func (c *Clock) Now() monotonic.Instant { return c.now }

// TermStart returns the time at which the term began.
func (c *Clock) TermStart() monotonic.Instant { return c.termStart }

// ResumedAt returns the time of the first step or heartbeat after the last pause of the process. If there
// was no pause, it is that of the first step or heartbeat of the term, or 0 if that was within
// pauseThreshold of the origin of the monotonic clock.
func (c *Clock) ResumedAt() monotonic.Instant { return c.resumedAt }

// TotalPause returns the total duration of all pauses of the process since its first step or heartbeat in
// the term.
func (c *Clock) TotalPause() time.Duration { return c.totalPause }

// WallMS returns the current wall-clock time in Unix milliseconds; 0 if it is unknown.
func (c *Clock) WallMS() int64 {
	if c.wallAtBeginMS == 0 {
		return 0
	}
	return c.wallAtBeginMS + c.now.Sub(c.termStart).Milliseconds()
}

// WallAtBeginMS returns the wall-clock time in Unix milliseconds when the term began; 0 if it is
// unknown.
func (c *Clock) WallAtBeginMS() int64 { return c.wallAtBeginMS }
