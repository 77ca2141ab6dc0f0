package scheduler

import (
	"testing"
	"time"
)

func TestWriteBudget(t *testing.T) {
	b := newHarness(t, Options{RecordOptions: RecordOptions{WriteRate: 10}})
	w := b.c.records
	for _, c := range []struct {
		name   string
		budget float64
		passed time.Duration
		allows bool
		after  float64
	}{
		{"spent", 0, 0, false, 0},
		{"a part of a write", 0, 50 * time.Millisecond, false, 0.5},
		{"one write", 0, 100 * time.Millisecond, true, 1},
		{"no more than a second's worth", 9, time.Hour, true, 10},
	} {
		b.c.clock.Set(b.now)
		w.writeBudget, w.budgetRefilledAt = c.budget, b.now.Add(-c.passed)
		w.refillBudget()
		if w.mayWrite() != c.allows || w.writeBudget != c.after {
			t.Errorf("%s: allows a write: %v, budget %v", c.name, w.mayWrite(), w.writeBudget)
		}
	}
	if b := newHarness(t, Options{}); !b.c.records.mayWrite() {
		t.Error("no rate, no write")
	}
}
