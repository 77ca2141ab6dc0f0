package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// dirtySlices holds the admission slices whose records are out of date. A slice remains marked
// until its record is submitted or its job has ended.
type dirtySlices map[*cluster.AdmissionSlice]dirtyMark

// dirtyMark holds since when a slice is dirty, and whether it is urgent.
type dirtyMark struct {
	job   *cluster.Job
	since monotonic.Instant
	// urgent reports whether the slice has placements without a record. No command is sent
	// for a placement before it is recorded.
	urgent bool
}

// dirtySlice holds a slice to be written and its job.
type dirtySlice struct {
	job   *cluster.Job
	slice *cluster.AdmissionSlice
}

// contains reports whether a slice is marked.
func (d dirtySlices) contains(s *cluster.AdmissionSlice) bool {
	_, marked := d[s]
	return marked
}

// mark marks a slice as dirty since now, unless it is already marked.
func (d dirtySlices) mark(s *cluster.AdmissionSlice, j *cluster.Job, now monotonic.Instant) {
	if !d.contains(s) {
		d[s] = dirtyMark{job: j, since: now}
	}
}

// markUrgent marks a slice as having placements without a record.
func (d dirtySlices) markUrgent(s *cluster.AdmissionSlice, j *cluster.Job, now monotonic.Instant) {
	d.mark(s, j, now)
	mark := d[s]
	mark.urgent = true
	d[s] = mark
}

// copyMark marks a slice with the urgency of another slice of its job, if that one is marked.
func (d dirtySlices) copyMark(from, to *cluster.AdmissionSlice, now monotonic.Instant) {
	mark, marked := d[from]
	switch {
	case !marked:
	case mark.urgent:
		d.markUrgent(to, mark.job, now)
	default:
		d.mark(to, mark.job, now)
	}
}

// clear removes the mark of a slice.
func (d dirtySlices) clear(s *cluster.AdmissionSlice) { delete(d, s) }

// clearJob removes the marks of all slices of a job.
func (d dirtySlices) clearJob(j *cluster.Job) {
	for _, s := range j.Slices() {
		d.clear(s)
	}
}

// urgent returns the slices with placements without a record, in no particular order.
func (d dirtySlices) urgent() []dirtySlice {
	var list []dirtySlice
	for s, mark := range d {
		if mark.urgent {
			list = append(list, dirtySlice{mark.job, s})
		}
	}
	return list
}

// overdue returns the slices that are not urgent and have been dirty for at least the delay, in no
// particular order.
func (d dirtySlices) overdue(now monotonic.Instant, delay time.Duration) []dirtySlice {
	var list []dirtySlice
	for s, mark := range d {
		if !mark.urgent && now >= mark.since.Add(delay) {
			list = append(list, dirtySlice{mark.job, s})
		}
	}
	return list
}

// sortByPriority sorts slices by the priority of their jobs, highest first, then by the
// jobs' IDs and the slices' numbers.
func sortByPriority(list []dirtySlice) {
	slices.SortFunc(list, func(a, b dirtySlice) int {
		return cmp.Or(
			cmp.Compare(b.job.Priority(), a.job.Priority()),
			cluster.CompareJobs(a.job, b.job),
			cmp.Compare(a.slice.Number, b.slice.Number),
		)
	})
}
