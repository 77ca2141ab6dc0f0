package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

// The budget is refilled at the write rate, up to the operations of one interval. An overdrawn
// budget allows no change until it is refilled.
func TestWriteBudget(t *testing.T) {
	now := monotonic.Instant(time.Hour)
	for _, c := range []struct {
		name   string
		budget float64
		passed time.Duration
		allows bool
		after  float64
	}{
		{"spent", 0, 0, false, 0},
		{"a fraction of a write", 0, 50 * time.Millisecond, false, 0.5},
		{"one write", 0, 100 * time.Millisecond, true, 1},
		{"at most the writes of one second", 9, time.Hour, true, 10},
		{"overdrawn", -3, 300 * time.Millisecond, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := newWriteBudget(10)
			budget.available, budget.refilledAt = c.budget, now.Add(-c.passed)
			budget.refill(now)
			if budget.allows() != c.allows || budget.available != c.after {
				t.Errorf("allows a write: %v, budget %v", budget.allows(), budget.available)
			}
		})
	}
}

// A rate of 0 means that there is no limit, not that no write is allowed.
func TestWritesAreAllowedWithoutALimit(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.records.budget.spend(1000)
	if !h.c.records.mayWrite() {
		t.Error("a write is not allowed although there is no limit")
	}
}

func TestScarceWrites(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		spent     int
		scarce    bool
	}{
		{"full", 10, 0, false},
		{"half full", 10, 5, false},
		{"below half", 10, 6, true},
		{"no limit, nothing written", 0, 0, false},
		{"no limit, one written", 0, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := newWriteBudget(c.perSecond)
			budget.spend(c.spent)
			if budget.scarce() != c.scarce {
				t.Errorf("scarce: %v", budget.scarce())
			}
		})
	}
}
