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
	"ospreystile.example/ospreystile/wire"
)

const (
	// headroomBootTimes is for how many boot times of arrivals there should be headroom: it
	// must have the image too, and be in the right zone.
	headroomBootTimes = 8
	// extraHeadroomTasks is the headroom beyond what the recent demand asks for.
	extraHeadroomTasks = 2
)

// headroom is the demand for free resources for latency-sensitive classes, whose tasks
// cannot wait for a machine to boot.
type headroom struct {
	cluster  *cluster.State
	clock    *clock.Clock
	classes  *classDemands
	boots    *bootTimes
	health   machineUsability
	settings headroomSettings
}

// headroomSettings are the settings of headroom.
type headroomSettings struct {
	// latencySensitive names the classes whose tasks must start sooner than a machine
	// boots, with their objectives.
	latencySensitive map[string]time.Duration
	// peakFraction is the headroom of a class as a part of its recent peak.
	peakFraction float64
}

// addTo adds the headroom that is missing to a plan.
func (h *headroom) addTo(planner *fleet.Planner) {
	for _, demand := range h.demands() {
		wanted := h.wantedTasks(demand)
		missing := wanted - h.freeTasks(demand.spec, wanted)
		if missing > 0 {
			planner.Add(fleet.Demand{Spec: demand.spec, Count: missing})
		}
	}
}

// demands lists the demand of the latency-sensitive classes that are followed, by name.
func (h *headroom) demands() []*classDemand {
	var demands []*classDemand
	for _, class := range slices.Sorted(maps.Keys(h.settings.latencySensitive)) {
		if demand := h.classes.byClass[class]; demand != nil {
			demands = append(demands, demand)
		}
	}
	return demands
}

// wantedTasks is the headroom, in tasks, that a class should have: a part of its peak, but
// no more than what may arrive within a few boot times. With hundreds of services the
// former is far more than ever arrives.
func (h *headroom) wantedTasks(demand *classDemand) int {
	wanted := h.settings.peakFraction * float64(demand.peakTasks())
	// Earlier in the term, most arrivals of the window are not known.
	if h.clock.Now() > h.clock.TermBegan().Add(demandWindow/2) {
		within := headroomBootTimes * h.boots.fastest(demand.spec)
		wanted = min(wanted, demand.expectedArrivals(within))
	}
	return int(math.Ceil(wanted)) + extraHeadroomTasks
}

// freeTasks counts how many tasks of a job fit on usable machines. The count
// ends once it reaches what is needed.
func (h *headroom) freeTasks(spec *wire.JobSpec, needed int) int {
	n := 0
	for _, m := range h.cluster.Machines() {
		if n >= needed {
			break
		}
		if h.health.usable(m) && placement.Allowed(spec, m.Site()) {
			n += fleet.TasksThatFit(spec, m.Free())
		}
	}
	return n
}

// headroomSurplus is how far the free resources for a class exceed the headroom that it should
// have.
type headroomSurplus struct {
	spec  *wire.JobSpec
	tasks int // negative if headroom is missing
}

// surpluses lists the surplus of each latency-sensitive class that is followed.
func (h *headroom) surpluses() []headroomSurplus {
	var surpluses []headroomSurplus
	for _, demand := range h.demands() {
		tasks := h.freeTasks(demand.spec, math.MaxInt) - h.wantedTasks(demand)
		surpluses = append(surpluses, headroomSurplus{spec: demand.spec, tasks: tasks})
	}
	return surpluses
}

// tasksOn is how many tasks of the class fit on a machine.
func (s *headroomSurplus) tasksOn(m *cluster.Machine) int {
	if !placement.Allowed(s.spec, m.Site()) {
		return 0
	}
	return fleet.TasksThatFit(s.spec, m.Free())
}

// needs tells whether headroom would be missing without a machine.
func (s *headroomSurplus) needs(m *cluster.Machine) bool {
	return placement.Allowed(s.spec, m.Site()) && fleet.TasksThatFit(s.spec, m.Free()) > s.tasks
}
