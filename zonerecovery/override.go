package zonerecovery

import "time"

// OverrideKind represents what operators may decide about a zone. Records hold its number.
type OverrideKind uint8

// The decisions of operators.
const (
	// OverrideNone applies the decisions of the zone's state machine.
	OverrideNone OverrideKind = iota
	// OverrideHold denies all starts in the zone until it is lifted or expires.
	OverrideHold
	// OverrideRelease lifts a hold and ends an outage or a recovery: the zone serves immediately.
	OverrideRelease
)

// overrideNames holds the names that operators use.
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

// maxReasonBytes is the maximum length of an override's reason in bytes.
const maxReasonBytes = 200

// Override represents a decision of operators about a zone.
type Override struct {
	Kind OverrideKind
	// Reason is truncated to maxReasonBytes.
	Reason string
	// UntilMS is when a hold expires, in milliseconds since the epoch. 0 means that it lasts
	// until it is lifted.
	UntilMS int64
}

// limited returns the override with its reason truncated to maxReasonBytes.
func (o Override) limited() Override {
	o.Reason = o.Reason[:min(len(o.Reason), maxReasonBytes)]
	return o
}

// until returns when a hold expires, or the zero time if it does not expire.
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

// operatorOverride holds the override of a zone that is in force, and counts the operators'
// decisions. The type zone applies them.
type operatorOverride struct {
	current Override
	// decisions counts the decisions of this term. It is also the number of the newest decision.
	decisions uint64
}

// holds reports whether a hold denies new work in the zone.
func (o *operatorOverride) holds() bool { return o.current.Kind == OverrideHold }

// active reports whether an override is in force.
func (o *operatorOverride) active() bool { return o.current.Kind != OverrideNone }
