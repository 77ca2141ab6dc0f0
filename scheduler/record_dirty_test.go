package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// dirtyTestNow is the time at which these tests mark slices.
const dirtyTestNow = monotonic.Instant(time.Hour)

// An urgent slice must be written immediately, and remains urgent if it is marked again. Another
// slice must be written when the delay since its first mark has passed.
func TestUrgentAndOverdueSlices(t *testing.T) {
	const delay = time.Second
	for _, c := range []struct {
		name            string
		mark            func(d dirtySlices, s *cluster.AdmissionSlice)
		passed          time.Duration
		urgent, overdue int
	}{
		{"not marked", func(dirtySlices, *cluster.AdmissionSlice) {}, time.Hour, 0, 0},
		{"just marked", markOnce, 0, 0, 0},
		{"marked before the delay", markOnce, delay - 1, 0, 0},
		{"marked for the delay", markOnce, delay, 0, 1},
		{"marked again later", func(d dirtySlices, s *cluster.AdmissionSlice) {
			markOnce(d, s)
			d.mark(s, nil, dirtyTestNow.Add(delay))
		}, delay, 0, 1},
		{"urgent", func(d dirtySlices, s *cluster.AdmissionSlice) { d.markUrgent(s, nil, dirtyTestNow) }, time.Hour, 1, 0},
		{"urgent later", func(d dirtySlices, s *cluster.AdmissionSlice) {
			markOnce(d, s)
			d.markUrgent(s, nil, dirtyTestNow)
		}, time.Hour, 1, 0},
		{"no longer urgent", func(d dirtySlices, s *cluster.AdmissionSlice) {
			d.markUrgent(s, nil, dirtyTestNow)
			markOnce(d, s)
		}, time.Hour, 1, 0},
		{"cleared", func(d dirtySlices, s *cluster.AdmissionSlice) {
			d.markUrgent(s, nil, dirtyTestNow)
			d.clear(s)
		}, time.Hour, 0, 0},
		{"cleared and marked again", func(d dirtySlices, s *cluster.AdmissionSlice) {
			d.markUrgent(s, nil, dirtyTestNow)
			d.clear(s)
			markOnce(d, s)
		}, delay, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			dirty := dirtySlices{}
			c.mark(dirty, &cluster.AdmissionSlice{})
			urgent, overdue := dirty.urgent(), dirty.overdue(dirtyTestNow.Add(c.passed), delay)
			if len(urgent) != c.urgent || len(overdue) != c.overdue {
				t.Errorf("%d urgent and %d overdue, want %d and %d", len(urgent), len(overdue), c.urgent, c.overdue)
			}
		})
	}
}

func markOnce(d dirtySlices, s *cluster.AdmissionSlice) { d.mark(s, nil, dirtyTestNow) }

// A part of a split slice is as urgent as the slice.
func TestCopyMarkKeepsTheUrgency(t *testing.T) {
	for _, c := range []struct {
		name            string
		mark            func(d dirtySlices, s *cluster.AdmissionSlice)
		urgent, overdue int
	}{
		{"none", func(dirtySlices, *cluster.AdmissionSlice) {}, 0, 0},
		{"not urgent", markOnce, 0, 2},
		{"urgent", func(d dirtySlices, s *cluster.AdmissionSlice) { d.markUrgent(s, nil, dirtyTestNow) }, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			dirty, slice, part := dirtySlices{}, &cluster.AdmissionSlice{}, &cluster.AdmissionSlice{}
			c.mark(dirty, slice)
			dirty.copyMark(slice, part, dirtyTestNow)
			urgent, overdue := dirty.urgent(), dirty.overdue(dirtyTestNow, 0)
			if len(urgent) != c.urgent || len(overdue) != c.overdue {
				t.Errorf("%d urgent and %d overdue, want %d and %d", len(urgent), len(overdue), c.urgent, c.overdue)
			}
		})
	}
}

// Slices are sorted by the priority of their jobs, then by job ID and slice number, so that the
// same events give the same decisions.
func TestSlicesAreWrittenByPriority(t *testing.T) {
	h := newHarness(t, Options{})
	h.submit("job-1", wire.JobSpec{Tasks: 8, Priority: wire.Normal})
	h.submit("job-2", wire.JobSpec{Tasks: 1, Priority: wire.High})
	h.submit("job-0", wire.JobSpec{Tasks: 1, Priority: wire.Normal})
	slice := func(id ids.JobID, number int) dirtySlice {
		j := h.c.cluster.Job(id)
		return dirtySlice{j, j.Slices()[number]}
	}
	list := []dirtySlice{slice("job-1", 1), slice("job-1", 0), slice("job-2", 0), slice("job-0", 0)}
	want := []dirtySlice{slice("job-2", 0), slice("job-0", 0), slice("job-1", 0), slice("job-1", 1)}
	sortByPriority(list)
	for k := range want {
		if list[k] != want[k] {
			t.Errorf("position %d has %s/%d, want %s/%d", k, list[k].job.ID, list[k].slice.Number, want[k].job.ID, want[k].slice.Number)
		}
	}
}
