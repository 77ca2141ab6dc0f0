package zonerecovery

import "time"

// OverrideKind is what operators may decide about a zone. Records hold its number.
type OverrideKind uint8

// The decisions of operators.
const (
	// OverrideNone leaves the zone to its state machine.
	OverrideNone OverrideKind = iota
	// OverrideHold lets no task start in the zone until it is lifted or has expired.
	OverrideHold
	// OverrideRelease lifts a hold and ends an outage or a recovery: the zone serves at once.
	OverrideRelease
)

// overrideNames are the names that operators use.
var overrideNames = []string{OverrideNone: "auto", OverrideHold: "hold", OverrideRelease: "release"}

// String returns the kind's name for operators.
func (k OverrideKind) String() string { return nameOf(overrideNames, "override", k) }

// MarshalText returns the kind's name. The error is always nil.
func (k OverrideKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses a kind's name. It returns an *UnknownNameError for any other text.
func (k *OverrideKind) UnmarshalText(text []byte) (err error) {
	*k, err = parseName[OverrideKind](overrideNames, "override", text)
	return err
}

// maxReasonBytes limits the reason of an override.
const maxReasonBytes = 200

// Override is a decision of operators about a zone.
type Override struct {
	Kind OverrideKind
	// Reason is cut off at 200 bytes.
	Reason string
	// UntilMS is when a hold expires, in milliseconds since the epoch; 0 means when it is
	// lifted.
	UntilMS int64
}

// limited returns the override with a reason that is not too long.
func (o Override) limited() Override {
	o.Reason = o.Reason[:min(len(o.Reason), maxReasonBytes)]
	return o
}

// until returns when a hold expires, the zero time if it does not.
func (o Override) until() time.Time {
	if o.UntilMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(o.UntilMS)
}

// expired reports whether a hold has expired.
func (o Override) expired(wall time.Time) bool {
	return o.Kind == OverrideHold && o.UntilMS != 0 && !wall.Before(o.until())
}

// operatorOverride owns the override of a zone in force, and counts the operators' decisions. zone
// applies them.
type operatorOverride struct {
	current Override
	// decisions counts those of this term. Its value is the number of the newest.
	decisions uint64
}

// holds reports whether operators keep new work off the zone.
func (o *operatorOverride) holds() bool { return o.current.Kind == OverrideHold }

// active reports whether an override is in force.
func (o *operatorOverride) active() bool { return o.current.Kind != OverrideNone }
