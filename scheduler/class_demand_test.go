package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

const demandSlotLength = demandWindow / demandSlots

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
				t.Errorf("the peak is %d, want %d", got, c.peak)
			}
			if got := d.expectedArrivals(demandSlotLength); (got > 0) != (c.peak > 0) {
				t.Errorf("%v tasks are expected", got)
			}
		})
	}
}

func TestExpectedArrivalsIncludeTheSpread(t *testing.T) {
	d := demandOfFourJobs()
	if got := d.expectedArrivals(demandWindow); got < 12 || got > 31 {
		t.Errorf("after 12 tasks of 4 jobs in a window, %v are expected in another", got)
	}
}

// demandOfFourJobs is the demand of a class of which 4 jobs with 12 tasks arrived in one
// slot, and 7 tasks were there at once.
func demandOfFourJobs() *classDemand {
	d := &classDemand{}
	d.advance(monotonic.Instant(demandSlotLength))
	d.peaks[d.slot%demandSlots] = 7
	d.arrivedJobs[d.slot%demandSlots], d.arrivedTasks[d.slot%demandSlots] = 4, 12
	return d
}
