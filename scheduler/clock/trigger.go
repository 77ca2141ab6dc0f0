package clock

import "ospreystile.example/ospreystile/monotonic"

// RoundTrigger determines when the next scheduling round is due: after a change was marked, or at
// a time that a component requested, but never before the delay after the last round has passed.
type RoundTrigger struct {
	due       bool
	recheckAt monotonic.Instant // 0: none
	notBefore monotonic.Instant
}

// MarkDue requests a round because something changed that scheduling may act on.
func (t *RoundTrigger) MarkDue() { t.due = true }

// RecheckAt requests a round at a time, even if nothing else changes until then. The earliest
// requested time counts.
func (t *RoundTrigger) RecheckAt(at monotonic.Instant) {
	if t.recheckAt == 0 || at < t.recheckAt {
		t.recheckAt = at
	}
}

// Start reports whether a round begins now. If so, it clears all requests made so far.
func (t *RoundTrigger) Start(now monotonic.Instant) bool {
	requested := t.due || t.recheckAt != 0 && now >= t.recheckAt
	if !requested || now < t.notBefore {
		return false
	}
	t.due, t.recheckAt = false, 0
	return true
}

// DelayUntil prevents the next round from starting before a time.
func (t *RoundTrigger) DelayUntil(at monotonic.Instant) { t.notBefore = at }
