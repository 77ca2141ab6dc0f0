package clock

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

const start = monotonic.Instant(time.Hour)

func TestAdvanceDetectsPauses(t *testing.T) {
	tests := map[string]struct {
		gap         time.Duration
		wantPause   time.Duration
		wantResumed monotonic.Instant
	}{
		"steps in a row":       {gap: 100 * time.Millisecond, wantResumed: start},
		"as long as is usual":  {gap: pauseThreshold, wantResumed: start},
		"the process was held": {gap: 3 * time.Second, wantPause: 3 * time.Second, wantResumed: start.Add(3 * time.Second)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(0)
			c.Advance(start) // the first step counts as resumed, and no pause is known
			c.Advance(start.Add(test.gap))
			if c.TotalPause() != test.wantPause || c.ResumedAt() != test.wantResumed {
				t.Errorf("paused for %v, resumed at %v", c.TotalPause(), c.ResumedAt())
			}
		})
	}
}

func TestSetIsNoStep(t *testing.T) {
	c := New(0)
	c.Advance(start)
	c.Set(start.Add(900 * time.Millisecond))
	c.Advance(start.Add(1800 * time.Millisecond))
	if got, want := c.TotalPause(), 1800*time.Millisecond; got != want {
		t.Errorf("paused for %v, want %v", got, want)
	}
}

func TestWallMS(t *testing.T) {
	tests := map[string]struct{ begin, want int64 }{
		"not known": {begin: 0, want: 0},
		"known":     {begin: 5000, want: 7000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(test.begin)
			c.Begin(start)
			c.Set(start.Add(2 * time.Second))
			if got := c.WallMS(); got != test.want {
				t.Errorf("%d ms, want %d", got, test.want)
			}
		})
	}
}

func TestRoundTrigger(t *testing.T) {
	tests := map[string]struct {
		prepare func(*RoundTrigger)
		want    bool
	}{
		"nothing was asked for":     {prepare: func(*RoundTrigger) {}},
		"something changed":         {prepare: func(r *RoundTrigger) { r.MarkDue() }, want: true},
		"a time has come":           {prepare: func(r *RoundTrigger) { r.RecheckAt(start) }, want: true},
		"a time is yet to come":     {prepare: func(r *RoundTrigger) { r.RecheckAt(start + 1) }},
		"the earlier of two times":  {prepare: func(r *RoundTrigger) { r.RecheckAt(start); r.RecheckAt(start + 1) }, want: true},
		"the last is too short ago": {prepare: func(r *RoundTrigger) { r.MarkDue(); r.DelayUntil(start + 1) }},
		"the last is long ago":      {prepare: func(r *RoundTrigger) { r.MarkDue(); r.DelayUntil(start) }, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &RoundTrigger{}
			test.prepare(r)
			if got := r.Start(start); got != test.want {
				t.Errorf("a round starts: %v", got)
			}
			if test.want && r.Start(start) {
				t.Error("a second round starts for the same request")
			}
		})
	}
}
