package fleet

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
)

// roundingTolerance absorbs the rounding of a quotient of decimal amounts.
const roundingTolerance = 1e-9

// bin represents a machine with capacity for the demand: one that was added, or one that the planner
// requests.
type bin struct {
	placement.Site
	free placement.Resources
}

// accepts reports whether a task fits into the bin and its job may use the site.
func (b *bin) accepts(d Demand) bool {
	return d.Need.FitsIn(b.free) && placement.Allowed(d.Spec, b.Site)
}

// fill places as many tasks as fit in the bin, up to limit, counts them in their zone, and returns
// their number.
func (b *bin) fill(d Demand, zones placement.TasksByZone, limit int) int {
	if !b.accepts(d) {
		return 0
	}
	n := 0
	for n < limit && d.Need.FitsIn(b.free) && zones.Allows(d.Spec, b.Zone) {
		b.free = b.free.Minus(d.Need)
		zones[b.Zone]++
		n++
	}
	return n
}

// requirements holds everything that decides whether a bin accepts a task, except the bin's free
// resources and the zones of the job's other tasks.
type requirements struct {
	need  placement.Resources
	spot  bool
	zone  ids.Zone
	types string // see placement.TypesKey
}

// requirementsOf returns the requirements of a job's tasks.
func requirementsOf(d Demand) requirements {
	return requirements{d.Need, d.Spec.Spot, d.Spec.Zone, placement.TypesKey(d.Spec)}
}

// maxTasksThatFit is the result of TasksThatFit for tasks that need no resources.
const maxTasksThatFit = 1 << 20

// TasksThatFit returns how many tasks with the given need fit in free resources.
func TasksThatFit(need, free placement.Resources) int {
	n := maxTasksThatFit
	n = min(n, quotient(free.CPUs, need.CPUs))
	n = min(n, quotient(free.GPUs, need.GPUs))
	n = min(n, quotient(free.MemoryGB, need.MemoryGB))
	n = min(n, quotient(float64(free.HeartbeatBytes), float64(need.HeartbeatBytes)))
	return max(0, n)
}

// quotient returns how many times need fits in free. It may be negative.
func quotient(free, need float64) int {
	if need <= 0 {
		return maxTasksThatFit
	}
	return int(free/need + roundingTolerance)
}
