package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
)

const (
	// headroomBootTimes is the period whose expected arrivals the headroom should cover, in boot
	// times. It exceeds one because a free machine must also hold the image and be in the right
	// zone.
	headroomBootTimes = 8
	// extraHeadroomTasks is the headroom in tasks beyond that for the recent demand.
	extraHeadroomTasks = 2
)

// headroom adds demand for free resources for latency-sensitive classes, whose tasks cannot wait
// for a machine to boot.
type headroom struct {
	cluster  *cluster.State
	clock    *clock.Clock
	classes  *classDemands
	boots    *bootTimes
	health   machineUsability
	settings headroomSettings
}

// headroomSettings holds the settings of headroom.
type headroomSettings struct {
	// latencySensitive maps each class whose tasks must start faster than a machine boots to
	// its start time objective.
	latencySensitive map[string]time.Duration
	// peakFraction is the headroom of a class as a fraction of its recent peak of tasks.
	peakFraction float64
}

// addTo adds the missing headroom to the demand of a planner.
func (h *headroom) addTo(planner *fleet.Planner) {
	for _, demand := range h.demands() {
		wanted := h.wantedTasks(demand)
		missing := wanted - h.freeTasks(demand, wanted)
		if missing > 0 {
			planner.Add(fleet.Demand{Spec: demand.spec, Need: demand.need, Count: missing})
		}
	}
}

// demands returns the recorded demands of latency-sensitive classes, sorted by class.
func (h *headroom) demands() []*classDemand {
	var demands []*classDemand
	for _, class := range slices.Sorted(maps.Keys(h.settings.latencySensitive)) {
		if demand := h.classes.byClass[class]; demand != nil {
			demands = append(demands, demand)
		}
	}
	return demands
}

// wantedTasks returns the headroom in tasks that a class should have. It is a fraction of the
// peak, limited to the expected arrivals within headroomBootTimes. With hundreds of services, the
// fraction of the peak is far more than the tasks that arrive.
func (h *headroom) wantedTasks(demand *classDemand) int {
	wanted := h.settings.peakFraction * float64(demand.peakTasks())
	// Earlier in the term, most of the window lies before the term and its arrivals are unknown.
	if h.clock.Now() > h.clock.TermStart().Add(demandWindow/2) {
		within := headroomBootTimes * h.boots.fastest(demand.spec)
		wanted = min(wanted, demand.expectedArrivals(within))
	}
	return int(math.Ceil(wanted)) + extraHeadroomTasks
}

// freeTasks returns how many tasks of a class fit on usable machines. It stops counting when the
// count reaches needed.
func (h *headroom) freeTasks(demand *classDemand, needed int) int {
	n := 0
	for _, m := range h.cluster.Machines() {
		if n >= needed {
			break
		}
		if h.health.usable(m) && placement.Allowed(demand.spec, m.Site()) {
			n += fleet.TasksThatFit(demand.need, m.FreeAfterReaping())
		}
	}
	return n
}

// headroomSurplus holds by how many tasks the free resources for a class exceed the headroom that
// the class should have.
type headroomSurplus struct {
	demand *classDemand
	tasks  int // negative if headroom is missing
}

// surpluses returns the surplus of each latency-sensitive class with a recorded demand.
func (h *headroom) surpluses() []headroomSurplus {
	var surpluses []headroomSurplus
	for _, demand := range h.demands() {
		tasks := h.freeTasks(demand, math.MaxInt) - h.wantedTasks(demand)
		surpluses = append(surpluses, headroomSurplus{demand: demand, tasks: tasks})
	}
	return surpluses
}

// tasksOn returns how many tasks of the class fit on a machine.
func (s *headroomSurplus) tasksOn(m *cluster.Machine) int {
	if !placement.Allowed(s.demand.spec, m.Site()) {
		return 0
	}
	return fleet.TasksThatFit(s.demand.need, m.FreeAfterReaping())
}

// needs reports whether headroom would be missing without a machine.
func (s *headroomSurplus) needs(m *cluster.Machine) bool {
	return placement.Allowed(s.demand.spec, m.Site()) && s.tasksOn(m) > s.tasks
}
