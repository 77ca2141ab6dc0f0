package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// StartRequest represents a task that the scheduler wants to start on a machine of a zone. Machine,
// Image, NeedsFetch, MachineFetching and ProbeEligible need be set only while the zone recovers.
type StartRequest struct {
	Task ids.TaskRef
	// Critical reports whether the task is exempt from the limits of a recovery, as replicas of
	// services and jobs of the highest priority are.
	Critical bool
	// ProbeEligible reports whether the task may be used to test whether a zone works: it can be
	// run again without affecting other tasks, and is expected to end soon.
	ProbeEligible bool
	// NeedsFetch reports whether the machine must fetch the image. MachineFetching reports
	// whether the machine is fetching another image, which this fetch would slow down.
	NeedsFetch, MachineFetching bool
	Machine                     ids.MachineID
	Image                       ids.Image
	// ZonePinned reports whether the job may run in no other zone. Its failback budget is then
	// ignored.
	ZonePinned bool
}

// fetch returns the image fetch that the start needs.
func (r *StartRequest) fetch() imageFetch { return imageFetch{r.Machine, r.Image} }

// imageFetch represents the fetch of one image by one machine.
type imageFetch struct {
	machine ids.MachineID
	image   ids.Image
}

// startInFlight represents the start of a task that was placed and does not run yet.
type startInFlight struct {
	placedAt monotonic.Instant
	// fetch is the zero value if the start needs no fetch or is critical.
	fetch    imageFetch
	critical bool
	// inRecovery reports whether the task was placed while the zone was recovering.
	inRecovery bool
}

// countsForStep reports whether the result of the start counts for the step of a recovery.
func (s *startInFlight) countsForStep() bool { return s.inRecovery && !s.critical }

// startTracker tracks the starts and fetches that are in flight in a zone. It enforces no limit.
type startTracker struct {
	inFlight map[ids.TaskRef]startInFlight
	// nonCritical counts the starts that are not critical. fetches counts, for each of their
	// fetches, the starts that share it.
	nonCritical int
	fetches     map[imageFetch]int
}

func newStartTracker() startTracker {
	return startTracker{inFlight: map[ids.TaskRef]startInFlight{}, fetches: map[imageFetch]int{}}
}

// add records that a task was placed by a previous leader, or while the zone was not recovering.
func (t *startTracker) add(request *StartRequest, now monotonic.Instant) {
	t.insert(request, startInFlight{placedAt: now, critical: request.Critical})
}

// addInRecovery records that a task was placed while the zone was recovering.
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

// remove removes the start of a task that runs, or that ended before. ok is false if the start is not
// in flight.
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
