package faulttest

import (
	"fmt"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Act is what happened to one attempt of a task on a machine.
type Act struct {
	At      time.Time
	Task    ids.TaskRef
	Attempt ids.Attempt
	Host    ids.MachineID
	Zone    ids.Zone
	Kind    ActKind
}

// ActKind tells what happened.
type ActKind uint8

// The kinds of acts.
const (
	// Fetching: the worker was told to run the attempt, and waits for its image.
	Fetching ActKind = iota
	// Running: the attempt began.
	Running
	// Completed: it came to its end by itself.
	Completed
	// Gone: it was stopped, or lost with its lease or its machine.
	Gone
)

// History records what happened on all machines, in order, and checks that no task runs
// twice at once. It also counts the tasks that were sent again after they completed: the
// protocol allows that, since an end that was not recorded may be lost with the leader.
type History struct {
	mu         sync.Mutex
	acts       []Act
	running    map[ids.TaskRef]Act
	completed  map[ids.TaskRef]bool
	underWay   map[ids.Zone]map[attemptKey]time.Time
	violations []string
	repeated   int
}

// attemptKey names an attempt on a machine.
type attemptKey struct {
	task    ids.TaskRef
	attempt ids.Attempt
	host    ids.MachineID
}

// NewHistory makes an empty history.
func NewHistory() *History {
	return &History{running: map[ids.TaskRef]Act{}, completed: map[ids.TaskRef]bool{}, underWay: map[ids.Zone]map[attemptKey]time.Time{}}
}

// Add takes in an act.
func (h *History) Add(a Act) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.At = time.Now()
	h.acts = append(h.acts, a)
	key := attemptKey{a.Task, a.Attempt, a.Host}
	if h.underWay[a.Zone] == nil {
		h.underWay[a.Zone] = map[attemptKey]time.Time{}
	}
	delete(h.underWay[a.Zone], key)
	switch a.Kind {
	case Fetching:
		h.underWay[a.Zone][key] = a.At
		if h.completed[a.Task] {
			h.repeated++
		}
	case Running:
		if other, twice := h.running[a.Task]; twice {
			h.violations = append(h.violations, fmt.Sprintf("%s runs on %s and on %s", a.Task, other.Host, a.Host))
		}
		h.running[a.Task] = a
	case Completed, Gone:
		if mine, ok := h.running[a.Task]; ok && mine.Host == a.Host && mine.Attempt == a.Attempt {
			delete(h.running, a.Task)
		}
		h.completed[a.Task] = h.completed[a.Task] || a.Kind == Completed
	}
}

// Violations lists what broke a rule.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.violations...)
}

// Repeated counts the tasks that were sent again after they completed.
func (h *History) Repeated() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.repeated
}

// RunningOf counts the tasks of a job that run, by zone.
func (h *History) RunningOf(job ids.JobID) map[ids.Zone]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[ids.Zone]int{}
	for task, act := range h.running {
		if task.Job == job {
			out[act.Zone]++
		}
	}
	return out
}

// UnderWay counts the starts in a zone that were sent after a time and do not run yet, of
// jobs that count.
func (h *History) UnderWay(zone ids.Zone, after time.Time, counts func(ids.JobID) bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for key, at := range h.underWay[zone] {
		if at.After(after) && counts(key.task.Job) {
			n++
		}
	}
	return n
}

// Sends counts the commands to run a job's tasks in a zone after a time.
func (h *History) Sends(job ids.JobID, zone ids.Zone, after time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.acts {
		if a.Kind == Fetching && a.Task.Job == job && a.Zone == zone && a.At.After(after) {
			n++
		}
	}
	return n
}
