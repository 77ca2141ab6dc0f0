package zonerecovery

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

// ClockReading holds a reading of the monotonic clock and of the wall clock, taken together.
// Decisions use the monotonic clock. Records and operators' windows need the wall clock.
type ClockReading struct {
	Now  monotonic.Instant
	Wall time.Time
}

// toInstant converts a recorded wall clock time to this process's monotonic clock. The clocks of
// two controllers may differ, so a time in the future counts as now.
func (r ClockReading) toInstant(unixMS int64) monotonic.Instant {
	age := r.Wall.Sub(time.UnixMilli(unixMS))
	return r.Now.Add(-max(0, age))
}

// toWall converts an instant of the monotonic clock to wall clock time.
func (r ClockReading) toWall(instant monotonic.Instant) time.Time {
	return r.Wall.Add(instant.Sub(r.Now))
}
