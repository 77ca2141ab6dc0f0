package faulttest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Event is a state change of one attempt of a task on a machine.
type Event struct {
	At      time.Time // set by History.Add
	Task    ids.TaskRef
	Attempt ids.Attempt
	Machine ids.MachineID
	Zone    ids.Zone
	Kind    EventKind
}

// EventKind is the kind of state change that an Event represents.
type EventKind uint8

// The event kinds.
const (
	// StartReceived means that the worker received the command to run the attempt and fetches the
	// image.
	StartReceived EventKind = iota
	// Started means that the attempt started running.
	Started
	// Completed means that the attempt ran to its end.
	Completed
	// Terminated means that the attempt was killed, or ended because its worker's lease expired or
	// its machine was terminated.
	Terminated
)

// History records the events of all machines in order and checks that no task runs twice at the
// same time. It also counts the tasks that are started again after they completed. The protocol
// allows such repeated starts: a completion that the leader has not recorded yet is lost if the leader
// fails.
type History struct {
	mu             sync.Mutex
	events         []Event
	running        map[ids.TaskRef]Event
	completed      map[ids.TaskRef]bool
	inFlight       map[attemptKey]Event // received starts that do not run yet
	violations     []string
	repeatedStarts int
}

// attemptKey identifies an attempt on a machine.
type attemptKey struct {
	task    ids.TaskRef
	attempt ids.Attempt
	machine ids.MachineID
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{
		running:   map[ids.TaskRef]Event{},
		completed: map[ids.TaskRef]bool{},
		inFlight:  map[attemptKey]Event{},
	}
}

// Add records the event with the current time.
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

// recordStart records that the task runs, and a violation if another attempt of it runs already.
func (h *History) recordStart(event Event) {
	if other, runs := h.running[event.Task]; runs {
		h.violations = append(h.violations, fmt.Sprintf("%s runs on %s and on %s", event.Task, other.Machine, event.Machine))
	}
	h.running[event.Task] = event
}

// recordEnd removes the attempt from the running tasks, if it was running.
func (h *History) recordEnd(event Event) {
	if started, runs := h.running[event.Task]; runs && started.Machine == event.Machine && started.Attempt == event.Attempt {
		delete(h.running, event.Task)
	}
}

// Violations describes each case in which a task ran twice at the same time.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

// RepeatedStarts returns the number of starts of tasks that had already completed.
func (h *History) RepeatedStarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.repeatedStarts
}

// RunningByZone returns the number of running tasks of the job in each zone.
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

// StartsInFlight returns the number of starts that the zone received after the given time and that do
// not run yet. It counts only jobs for which match returns true.
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

// StartsReceived returns the number of starts of the job's tasks that the zone received after the given
// time.
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

// Terminations returns the number of the job's running tasks that ended after the given time without having
// completed.
func (h *History) Terminations(job ids.JobID, after time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, event := range h.events {
		if event.Kind == Terminated && event.Task.Job == job && event.At.After(after) {
			count++
		}
	}
	return count
}
