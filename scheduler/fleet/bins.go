package fleet

import (
	"strings"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
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
func (b *bin) accepts(s *wire.JobSpec) bool {
	return placement.TaskResources(s).FitsIn(b.free) && placement.Allowed(s, b.Site)
}

// fill places as many tasks as fit in the bin, up to limit, counts them in their zone, and returns
// their number.
func (b *bin) fill(s *wire.JobSpec, zones placement.TasksByZone, limit int) int {
	if !b.accepts(s) {
		return 0
	}
	need := placement.TaskResources(s)
	n := 0
	for n < limit && need.FitsIn(b.free) && zones.Allows(s, b.Zone) {
		b.free = b.free.Minus(need)
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
	types string // names, each terminated by a zero byte
}

// requirementsOf returns the requirements of a job's tasks.
func requirementsOf(s *wire.JobSpec) requirements {
	var types strings.Builder
	for _, name := range s.Types {
		types.WriteString(string(name))
		types.WriteByte(0)
	}
	return requirements{placement.TaskResources(s), s.Spot, s.Zone, types.String()}
}

// maxTasksThatFit is the result of TasksThatFit for tasks that need no resources.
const maxTasksThatFit = 1 << 20

// TasksThatFit returns how many tasks of a job fit in free resources. It ignores the job's other
// requirements.
func TasksThatFit(s *wire.JobSpec, free placement.Resources) int {
	n := maxTasksThatFit
	n = min(n, quotient(free.CPUs, s.CPUs))
	n = min(n, quotient(free.GPUs, s.GPUs))
	n = min(n, quotient(free.MemoryGB, s.MemoryGB))
	return max(0, n)
}

// quotient returns how many times need fits in free. It may be negative.
func quotient(free, need float64) int {
	if need <= 0 {
		return maxTasksThatFit
	}
	return int(free/need + roundingTolerance)
}
