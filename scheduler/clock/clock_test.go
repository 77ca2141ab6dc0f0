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
		"frequent steps":       {gap: 100 * time.Millisecond, wantResumed: start},
		"gap at the threshold": {gap: pauseThreshold, wantResumed: start},
		"paused process":       {gap: 3 * time.Second, wantPause: 3 * time.Second, wantResumed: start.Add(3 * time.Second)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(0)
			c.Advance(start) // the first step sets ResumedAt and is not counted as a pause
			c.Advance(start.Add(test.gap))
			if c.TotalPause() != test.wantPause || c.ResumedAt() != test.wantResumed {
				t.Errorf("TotalPause = %v, ResumedAt = %v", c.TotalPause(), c.ResumedAt())
			}
		})
	}
}

func TestSetIsNotCountedAsStep(t *testing.T) {
	c := New(0)
	c.Advance(start)
	c.Set(start.Add(900 * time.Millisecond))
	c.Advance(start.Add(1800 * time.Millisecond))
	if got, want := c.TotalPause(), 1800*time.Millisecond; got != want {
		t.Errorf("TotalPause = %v, want %v", got, want)
	}
}

func TestWallMS(t *testing.T) {
	tests := map[string]struct{ begin, want int64 }{
		"unknown": {begin: 0, want: 0},
		"known":   {begin: 5000, want: 7000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(test.begin)
			c.Begin(start)
			c.Set(start.Add(2 * time.Second))
			if got := c.WallMS(); got != test.want {
				t.Errorf("WallMS = %d, want %d", got, test.want)
			}
		})
	}
}

func TestRoundTrigger(t *testing.T) {
	tests := map[string]struct {
		prepare func(*RoundTrigger)
		want    bool
	}{
		"no request":               {prepare: func(*RoundTrigger) {}},
		"marked as due":            {prepare: func(r *RoundTrigger) { r.MarkDue() }, want: true},
		"recheck time reached":     {prepare: func(r *RoundTrigger) { r.RecheckAt(start) }, want: true},
		"recheck time not reached": {prepare: func(r *RoundTrigger) { r.RecheckAt(start + 1) }},
		"earlier of two rechecks":  {prepare: func(r *RoundTrigger) { r.RecheckAt(start); r.RecheckAt(start + 1) }, want: true},
		"delay not over":           {prepare: func(r *RoundTrigger) { r.MarkDue(); r.DelayUntil(start + 1) }},
		"delay over":               {prepare: func(r *RoundTrigger) { r.MarkDue(); r.DelayUntil(start) }, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &RoundTrigger{}
			test.prepare(r)
			if got := r.Start(start); got != test.want {
				t.Errorf("Start = %v", got)
			}
			if test.want && r.Start(start) {
				t.Error("Start reports a second round for the same request")
			}
		})
	}
}
