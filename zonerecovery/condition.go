// Package zonerecovery decides when a zone counts as dark and how its work returns once its
// machines are heard again. It is a state machine without I/O: the scheduler's core hands it
// the time and what is known of the machines, asks it before it places a task, and writes
// the records that it asks for. docs/zone-return.md gives the reasons.
package zonerecovery

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

// Condition is what a zone is taken for.
type Condition uint8

// The conditions of a zone.
const (
	// Serving: the zone takes work like any other.
	Serving Condition = iota
	// Suspect: many of its machines fell silent. Nothing new starts there.
	Suspect
	// Outage: it is taken to be lost. Its work moves once that is surely gone, and nothing
	// starts there until its machines have been heard for the hold-down.
	Outage
	// Recovering: it is back, and its share of starts grows in steps.
	Recovering
)

var conditionNames = []string{Serving: "serving", Suspect: "suspect", Outage: "dark", Recovering: "returning"}

// String is the condition's name for operators.
func (c Condition) String() string { return nameOf(conditionNames, "condition", c) }

// MarshalText writes the condition's name.
func (c Condition) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads a condition's name.
func (c *Condition) UnmarshalText(text []byte) (err error) {
	*c, err = parseName[Condition](conditionNames, "condition", text)
	return err
}

// ClockReading is a reading of the steady clock and of the time of day, taken together. Decisions
// go by the steady clock; records and operators' windows need the time of day.
type ClockReading struct {
	Now  monotonic.Instant
	Wall time.Time
}

// toInstant turns a recorded time of day into a reading of this process's steady clock.
// What lies ahead, as clocks of two controllers may differ, counts as now.
func (m ClockReading) toInstant(unixMS int64) monotonic.Instant {
	age := m.Wall.Sub(time.UnixMilli(unixMS))
	return m.Now.Add(-max(0, age))
}

// toWall turns a reading of the steady clock into the time of day.
func (m ClockReading) toWall(at monotonic.Instant) time.Time { return m.Wall.Add(at.Sub(m.Now)) }
