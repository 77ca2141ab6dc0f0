package monotonic

import (
	"context"
	"testing"
	"time"
)

// The first reading must be above zero, so that the zero Instant lies in the past.
func TestSystemClockStartsAboveZeroAndAdvances(t *testing.T) {
	clock := SystemClock()
	first := clock.Now()
	if first <= 0 {
		t.Errorf("the first reading is %d, want one above 0", first)
	}
	time.Sleep(time.Millisecond)
	if passed := clock.Now().Sub(first); passed < time.Millisecond {
		t.Errorf("%v passed, slept for 1ms", passed)
	}
}

func TestInstantArithmetic(t *testing.T) {
	start := Instant(time.Minute)
	if passed := start.Add(Seconds(1.5)).Sub(start); passed != 1500*time.Millisecond {
		t.Errorf("%v passed, want 1.5s", passed)
	}
}

// A wait with its margin ends on a fast clock only after the plain wait has ended on a slow one.
// Otherwise a machine with a fast clock considers a lease expired that another machine still holds.
func TestDriftMarginCoversTwoClocks(t *testing.T) {
	const drift = 0.0005
	for _, wait := range []time.Duration{0, time.Second, time.Minute, time.Hour} {
		fast := float64(AddDriftMargin(wait)) / (1 + drift)
		slow := float64(wait) / (1 - drift)
		if fast <= slow {
			t.Errorf("%v: over after %v, the slow clock needs %v", wait, time.Duration(fast), time.Duration(slow))
		}
	}
}

func TestSleep(t *testing.T) {
	if !Sleep(t.Context(), time.Millisecond) {
		t.Error("a sleep that was not interrupted returned false")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if Sleep(ended, time.Hour) {
		t.Error("a sleep whose context has ended returned true")
	}
}
