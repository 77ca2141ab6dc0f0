package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

const demandSlotLength = demandWindow / demandSlots

// Peaks and arrivals that are older than the window must not count, however long the time between two
// updates is.
func TestClassDemandWindowExpires(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		peak  int
	}{
		{"in the next slot", demandSlotLength, 7},
		{"in the last slot of the window", 3 * demandSlotLength, 7},
		{"a window later", 4 * demandSlotLength, 0},
		{"a window and a half later", 6 * demandSlotLength, 0},
		{"many windows later", 40 * demandSlotLength, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := demandOfFourJobs()
			d.advance(monotonic.Instant(demandSlotLength + c.after))
			if got := d.peakTasks(); got != c.peak {
				t.Errorf("peak of %d tasks, want %d", got, c.peak)
			}
			if got := d.expectedArrivals(demandSlotLength); (got > 0) != (c.peak > 0) {
				t.Errorf("expected arrivals: %v tasks; want some only while the peak counts", got)
			}
		})
	}
}

// The mean number of arrivals alone would underestimate the demand in about half of all windows, so
// expected arrivals include standard deviations.
func TestExpectedArrivalsIncludeDeviations(t *testing.T) {
	d := demandOfFourJobs()
	if got := d.expectedArrivals(demandWindow); got < 12 || got > 31 {
		t.Errorf("expected arrivals after 12 tasks of 4 jobs in a window: %v, want 12 to 31", got)
	}
}

// demandOfFourJobs returns the demand of a class of which 4 jobs with 12 tasks arrived in one slot,
// with a peak of 7 tasks.
func demandOfFourJobs() *classDemand {
	d := &classDemand{}
	d.advance(monotonic.Instant(demandSlotLength))
	d.peaks[d.slot%demandSlots] = 7
	d.arrivedJobs[d.slot%demandSlots], d.arrivedTasks[d.slot%demandSlots] = 4, 12
	return d
}
