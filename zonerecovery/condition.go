package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// Condition represents the state of a zone's state machine. Records hold its number.
type Condition uint8

// The conditions of a zone.
const (
	// Serving means that the zone accepts work without limits.
	Serving Condition = iota
	// Suspect means that many of the zone's machines are unreachable. No task starts there.
	Suspect
	// Outage means that the zone counts as lost. Its work is evacuated once its machines'
	// leases have expired. No task starts there until its machines have been reachable for
	// the hold-down.
	Outage
	// Recovering means that the zone's machines are reachable again, and that the limits on
	// starts increase in steps.
	Recovering
)

// conditionNames holds the names that are shown to operators.
var conditionNames = []string{Serving: "serving", Suspect: "suspect", Outage: "dark", Recovering: "returning"}

// String returns the condition's name for operators.
func (c Condition) String() string { return nameOf(conditionNames, "condition", c) }

// MarshalText returns the condition's name. The error is always nil.
func (c Condition) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses a condition's name. It returns an *UnknownNameError for any other text.
func (c *Condition) UnmarshalText(text []byte) (err error) {
	*c, err = parseName[Condition](conditionNames, "condition", text)
	return err
}

// Transition represents a change of a zone's condition, step, window or override, for the log.
// From and To are equal if the condition does not change.
type Transition struct {
	Zone     ids.Zone
	From, To Condition
	Step     int
	Reason   string
}

// conditionState holds a zone's condition, when it began and why. It makes no decision.
type conditionState struct {
	condition Condition
	since     monotonic.Instant
	// reason is shown to operators.
	reason string
	// beforeSuspicion is the condition from which a zone became suspect.
	beforeSuspicion Condition
}

// enter changes the condition.
func (s *conditionState) enter(condition Condition, now monotonic.Instant, reason string) {
	if condition == Suspect {
		s.beforeSuspicion = s.condition
	}
	s.condition, s.since, s.reason = condition, now, reason
}

// durable returns the condition that is recorded. A suspicion is not recorded: the next leader
// detects it from its own observations.
func (s *conditionState) durable() Condition {
	if s.condition == Suspect {
		return s.beforeSuspicion
	}
	return s.condition
}
