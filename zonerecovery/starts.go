package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// StartRequest is a task that the scheduler wants to start on a machine of a zone. Machine, Image,
// NeedsFetch, MachineFetching and ProbeEligible need be set only while the zone recovers.
type StartRequest struct {
	Task ids.TaskRef
	// Critical is set for work that the limits of a recovery do not apply to: replicas of
	// services, and jobs of the highest priority.
	Critical bool
	// ProbeEligible is set if the task may show that a zone works: it can be run again without
	// loss to others, and is expected to end soon.
	ProbeEligible bool
	// NeedsFetch is set if the machine has to fetch the image. MachineFetching is set if it
	// fetches another one already, which this fetch would slow down.
	NeedsFetch, MachineFetching bool
	Machine                     ids.MachineID
	Image                       ids.Image
	// ZonePinned is set if the job may run in no other zone. Its failback budget is ignored.
	ZonePinned bool
}

// fetch returns what the start would fetch.
func (r *StartRequest) fetch() imageFetch { return imageFetch{r.Machine, r.Image} }

// imageFetch is the fetch of one image by one machine.
type imageFetch struct {
	machine ids.MachineID
	image   ids.Image
}

// startInFlight is a task that was placed and does not run yet.
type startInFlight struct {
	placedAt monotonic.Instant
	// fetch is the zero value if there is none.
	fetch    imageFetch
	critical bool
	// inRecovery is set if the task was placed while the zone recovered.
	inRecovery bool
}

// countsForStep reports whether the start is evidence for the step of a recovery.
func (s *startInFlight) countsForStep() bool { return s.inRecovery && !s.critical }

// startTracker owns the starts and fetches that are in flight in a zone. It limits nothing.
type startTracker struct {
	inFlight map[ids.TaskRef]startInFlight
	// nonCritical counts the starts that are not critical. fetches counts theirs, by machine and
	// image; several starts share a fetch.
	nonCritical int
	fetches     map[imageFetch]int
}

func newStartTracker() startTracker {
	return startTracker{inFlight: map[ids.TaskRef]startInFlight{}, fetches: map[imageFetch]int{}}
}

// add notes that a task was placed while the zone did not recover, or by an earlier leader.
func (t *startTracker) add(request *StartRequest, now monotonic.Instant) {
	t.insert(request, startInFlight{placedAt: now, critical: request.Critical})
}

// addInRecovery notes that a task was placed while the zone recovered.
func (t *startTracker) addInRecovery(request *StartRequest, now monotonic.Instant) {
	t.insert(request, startInFlight{placedAt: now, critical: request.Critical, inRecovery: true})
}

func (t *startTracker) insert(request *StartRequest, start startInFlight) {
	t.remove(request.Task)
	if !start.critical {
		t.nonCritical++
		if request.NeedsFetch {
			start.fetch = request.fetch()
			t.fetches[start.fetch]++
		}
	}
	t.inFlight[request.Task] = start
}

// remove notes that a task runs, or was stopped before. ok is false if it was not in flight.
func (t *startTracker) remove(task ids.TaskRef) (start startInFlight, ok bool) {
	start, ok = t.inFlight[task]
	if !ok {
		return startInFlight{}, false
	}
	delete(t.inFlight, task)
	if !start.critical {
		t.nonCritical--
		t.removeFetch(start.fetch)
	}
	return start, true
}

func (t *startTracker) removeFetch(fetch imageFetch) {
	if fetch == (imageFetch{}) {
		return
	}
	t.fetches[fetch]--
	if t.fetches[fetch] == 0 {
		delete(t.fetches, fetch)
	}
}
