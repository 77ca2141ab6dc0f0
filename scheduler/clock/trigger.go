package clock

import "ospreystile.example/ospreystile/monotonic"

// RoundTrigger tells when the next scheduling round is due: when a change was marked, or at
// a time that a policy asked for, and never before the pause after the last round has passed.
type RoundTrigger struct {
	due       bool
	recheckAt monotonic.Instant // 0: none
	notBefore monotonic.Instant
}

// MarkDue asks for a round because something changed that scheduling may act on.
func (t *RoundTrigger) MarkDue() { t.due = true }

// RecheckAt asks for a round at a time although nothing else may change until then. The
// earliest such time counts.
func (t *RoundTrigger) RecheckAt(at monotonic.Instant) {
	if t.recheckAt == 0 || at < t.recheckAt {
		t.recheckAt = at
	}
}

// Start tells whether a round begins now. If so, all requests made so far are cleared.
func (t *RoundTrigger) Start(now monotonic.Instant) bool {
	requested := t.due || t.recheckAt != 0 && now >= t.recheckAt
	if !requested || now < t.notBefore {
		return false
	}
	t.due, t.recheckAt = false, 0
	return true
}

// DelayUntil keeps the next round from starting before a time.
func (t *RoundTrigger) DelayUntil(at monotonic.Instant) { t.notBefore = at }
