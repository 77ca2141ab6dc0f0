package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

func TestClassDemandForgets(t *testing.T) {
	const slot = demandWindow / 4
	p := &classDemand{}
	p.advance(monotonic.Instant(slot))
	p.peaks[p.slot%4] = 7
	p.jobs[p.slot%4], p.tasks[p.slot%4] = 4, 12
	if got := p.expectedArrivals(demandWindow); got < 12 || got > 31 {
		t.Errorf("12 tasks of 4 jobs in a window: %v to come in another", got)
	}
	for after, peak := range map[time.Duration]int{slot: 7, 3 * slot: 7, 4 * slot: 0, 40 * slot: 0} {
		later := *p
		later.advance(monotonic.Instant(slot + after))
		if got := later.peakTasks(); got != peak {
			t.Errorf("%v later the peak is %d, want %d", after, got, peak)
		}
		if got := later.expectedArrivals(slot); (got > 0) != (peak > 0) {
			t.Errorf("%v later %v tasks are expected", after, got)
		}
	}
}
