package zonerecovery

import (
	"time"
)

// OverrideKind is what operators may decide about a zone.
type OverrideKind uint8

// The decisions of operators.
const (
	// OverrideNone leaves the zone to its state machine.
	OverrideNone OverrideKind = iota
	// OverrideHold keeps new work off the zone until it is lifted or over.
	OverrideHold
	// OverrideRelease ends the hold and the return: the zone serves at once.
	OverrideRelease
)

var overrideNames = []string{OverrideNone: "auto", OverrideHold: "hold", OverrideRelease: "release"}

// String is the kind's name for operators.
func (k OverrideKind) String() string { return nameOf(overrideNames, "override", k) }

// MarshalText writes the kind's name.
func (k OverrideKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind's name.
func (k *OverrideKind) UnmarshalText(text []byte) (err error) {
	*k, err = parseName[OverrideKind](overrideNames, "override", text)
	return err
}

// Override is a decision of operators about a zone.
type Override struct {
	Kind   OverrideKind
	Reason string
	// RestrictedUntilMS is the time of day when a hold is over; 0: when it is lifted.
	UntilMS int64
}

// apply carries an operator's decision out. A hold counts at once; what allows more counts
// once it is recorded.
func (z *zone) apply(o Override, at ClockReading) {
	z.override = o
	z.record.dirty = true
	z.events = append(z.events, Transition{Zone: z.name, From: z.condition, To: z.condition, Step: z.ramp.step, Reason: "operator: " + o.Kind.String() + " " + o.Reason})
	if o.Kind != OverrideRelease {
		return
	}
	z.override = Override{}
	z.absent = z.evidence.lost()
	switch z.condition {
	case Recovering, Outage:
		z.serve(at, "released by an operator: "+o.Reason)
	case Suspect:
		z.resume = Serving
	}
}

// expireOverride lifts a hold that is over.
func (z *zone) expireOverride(at ClockReading) {
	if z.override.Kind == OverrideHold && z.override.UntilMS != 0 && !at.Wall.Before(time.UnixMilli(z.override.UntilMS)) {
		z.apply(Override{Reason: "the hold is over"}, at)
	}
}
