package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// StartRequest is a task that looks for a place, as far as it matters here.
type StartRequest struct {
	Task ids.TaskRef
	// Critical work is what the ramp makes room for: replicas of services, and jobs of the
	// highest priority.
	Critical bool
	// ProbeEligible tells that the task may prove a zone: it can be run again without loss to
	// others, and is expected to end soon.
	ProbeEligible bool
	// NeedsFetch tells that the machine would have to fetch the image, and Sharing that it
	// fetches another one meanwhile, whose time that would cost.
	NeedsFetch, MachineFetching bool
	Machine                     ids.MachineID
	Image                       ids.Image
	// ZonePinned tells that the job may go nowhere else: its earlier moves do not count.
	ZonePinned bool
}

// fetchKey names the fetch of one image by one machine.
type fetchKey struct {
	host  ids.MachineID
	image ids.Image
}

// pendingStart is a task that was placed and does not run yet.
type pendingStart struct {
	since    monotonic.Instant
	fetch    fetchKey // empty: none
	critical bool
	// ramped tells that it was admitted in a return, and counts for its step.
	ramped bool
}

// startTracker counts the starts and fetches that are under way in a zone.
type startTracker struct {
	pending map[ids.TaskRef]pendingStart
	// returning counts those that are not critical, and fetches by machine and image.
	returning int
	fetches   map[fetchKey]int
}

// newStartTracker makes an empty tracker.
func newStartTracker() startTracker {
	return startTracker{pending: map[ids.TaskRef]pendingStart{}, fetches: map[fetchKey]int{}}
}

// add notes that a task was placed.
func (t *startTracker) add(s *StartRequest, now monotonic.Instant, ramped bool) {
	t.remove(s.Task)
	p := pendingStart{since: now, critical: s.Critical, ramped: ramped}
	if !p.critical {
		t.returning++
		if s.NeedsFetch {
			p.fetch = fetchKey{s.Machine, s.Image}
			t.fetches[p.fetch]++
		}
	}
	t.pending[s.Task] = p
}

// remove notes that a task runs, or is gone before it did.
func (t *startTracker) remove(task ids.TaskRef) (p pendingStart, ok bool) {
	if p, ok = t.pending[task]; !ok {
		return p, false
	}
	delete(t.pending, task)
	if !p.critical {
		t.returning--
		if p.fetch != (fetchKey{}) {
			if t.fetches[p.fetch]--; t.fetches[p.fetch] == 0 {
				delete(t.fetches, p.fetch)
			}
		}
	}
	return p, true
}
