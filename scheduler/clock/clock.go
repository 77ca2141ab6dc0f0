// Package clock keeps the time of one term of leadership as the scheduler sees it, and
// when its next scheduling round is due. It reads no clock: the owner of the scheduler
// passes the time in. All types belong to the goroutine that runs the scheduler.
package clock

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

// pauseThreshold is the time without a step after which the process counts as paused. Heartbeats
// that arrived meanwhile have not been read yet, so silence of machines means nothing.
const pauseThreshold = time.Second

// Clock is the scheduler's present time. Policies read it; only the core moves it.
type Clock struct {
	now, termBegan, lastStep, resumedAt monotonic.Instant
	totalPause                          time.Duration
	wallAtBeginMS                       int64
}

// New makes the clock of a term. wallMS is the time of day in Unix milliseconds when the
// term begins; 0 means unknown.
func New(wallMS int64) *Clock { return &Clock{wallAtBeginMS: wallMS} }

// Begin sets the time at which the term begins.
func (c *Clock) Begin(now monotonic.Instant) { c.now, c.termBegan = now, now }

// Set moves the clock to the time of an event.
func (c *Clock) Set(now monotonic.Instant) { c.now = now }

// Advance moves the clock to the time of a step or heartbeat, and detects pauses of the
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

// Now is the present time.
func (c *Clock) Now() monotonic.Instant { return c.now }

// TermStart is when the term began.
func (c *Clock) TermStart() monotonic.Instant { return c.termBegan }

// ResumedAt is when steps went on after the last pause of the process; 0 if there was none.
func (c *Clock) ResumedAt() monotonic.Instant { return c.resumedAt }

// TotalPause is the sum of all pauses of the process.
func (c *Clock) TotalPause() time.Duration { return c.totalPause }

// WallMS is the time of day in Unix milliseconds; 0 if it is unknown.
func (c *Clock) WallMS() int64 {
	if c.wallAtBeginMS == 0 {
		return 0
	}
	return c.wallAtBeginMS + c.now.Sub(c.termBegan).Milliseconds()
}

// WallAtBeginMS is the time of day in Unix milliseconds when the term began; 0 if it is
// unknown.
func (c *Clock) WallAtBeginMS() int64 { return c.wallAtBeginMS }
