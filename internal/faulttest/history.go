package faulttest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Event is what happened to one attempt of a task on a machine.
type Event struct {
	At      time.Time // set by the history
	Task    ids.TaskRef
	Attempt ids.Attempt
	Machine ids.MachineID
	Zone    ids.Zone
	Kind    EventKind
}

// EventKind tells what happened.
type EventKind uint8

// The kinds of events.
const (
	// StartReceived means that the worker was told to run the attempt, and fetches its
	// image.
	StartReceived EventKind = iota
	// Started means that the attempt runs.
	Started
	// Completed means that the attempt ended by itself.
	Completed
	// Terminated means that the attempt was stopped, or lost with its lease or machine.
	Terminated
)

// History records what happened on all machines, in order, and checks that no task runs
// twice at once. It also counts the tasks that were started again after they completed.
// The protocol allows that, since an end that was not recorded may be lost with the leader.
type History struct {
	mu             sync.Mutex
	events         []Event
	running        map[ids.TaskRef]Event
	completed      map[ids.TaskRef]bool
	inFlight       map[attemptKey]Event // starts that were received and do not run yet
	violations     []string
	repeatedStarts int
}

// attemptKey identifies an attempt on a machine.
type attemptKey struct {
	task    ids.TaskRef
	attempt ids.Attempt
	machine ids.MachineID
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		running:   map[ids.TaskRef]Event{},
		completed: map[ids.TaskRef]bool{},
		inFlight:  map[attemptKey]Event{},
	}
}

// Add records an event.
func (h *History) Add(event Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	event.At = time.Now()
	h.events = append(h.events, event)
	key := attemptKey{event.Task, event.Attempt, event.Machine}
	delete(h.inFlight, key)
	switch event.Kind {
	case StartReceived:
		h.inFlight[key] = event
		if h.completed[event.Task] {
			h.repeatedStarts++
		}
	case Started:
		h.recordStart(event)
	case Completed:
		h.completed[event.Task] = true
		h.recordEnd(event)
	case Terminated:
		h.recordEnd(event)
	}
}

// recordStart notes that a task runs. It must not run anywhere else.
func (h *History) recordStart(event Event) {
	if other, runs := h.running[event.Task]; runs {
		h.violations = append(h.violations, fmt.Sprintf("%s runs on %s and on %s", event.Task, other.Machine, event.Machine))
	}
	h.running[event.Task] = event
}

// recordEnd notes that an attempt no longer runs, if it did.
func (h *History) recordEnd(event Event) {
	if started, runs := h.running[event.Task]; runs && started.Machine == event.Machine && started.Attempt == event.Attempt {
		delete(h.running, event.Task)
	}
}

// Violations lists the tasks that ran twice at once.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

// RepeatedStarts counts the starts of tasks that had completed.
func (h *History) RepeatedStarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.repeatedStarts
}

// RunningByZone counts the running tasks of a job in each zone.
func (h *History) RunningByZone(job ids.JobID) map[ids.Zone]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[ids.Zone]int{}
	for task, event := range h.running {
		if task.Job == job {
			counts[event.Zone]++
		}
	}
	return counts
}

// StartsInFlight counts the starts that a zone received after a time and that do not run
// yet, of the jobs that a function selects.
func (h *History) StartsInFlight(zone ids.Zone, after time.Time, match func(ids.JobID) bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, event := range h.inFlight {
		if event.Zone == zone && event.At.After(after) && match(event.Task.Job) {
			count++
		}
	}
	return count
}

// StartsReceived counts the starts of a job's tasks that a zone received after a time.
func (h *History) StartsReceived(job ids.JobID, zone ids.Zone, after time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, event := range h.events {
		if event.Kind == StartReceived && event.Task.Job == job && event.Zone == zone && event.At.After(after) {
			count++
		}
	}
	return count
}
