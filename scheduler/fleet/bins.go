package fleet

import (
	"strings"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// roundingTolerance absorbs the rounding of a quotient of decimal amounts.
const roundingTolerance = 1e-9

// bin is a machine that is booting or requested.
type bin struct {
	placement.Site
	free placement.Resources
}

// accepts tells whether a task fits into the bin and its job allows the site.
func (b *bin) accepts(s *wire.JobSpec) bool {
	return placement.TaskResources(s).FitsIn(b.free) && placement.Allowed(s, b.Site)
}

// fill puts at most the given number of tasks into the bin, counts them in their zone, and
// returns how many it put.
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

// requirements are all that decides whether a bin with enough free resources may hold a task,
// except where the job's other tasks are.
type requirements struct {
	need  placement.Resources
	spot  bool
	zone  ids.Zone
	types string // each with a zero byte after it
}

// requirementsOf are the requirements of a job's tasks.
func requirementsOf(s *wire.JobSpec) requirements {
	var types strings.Builder
	for _, name := range s.Types {
		types.WriteString(string(name))
		types.WriteByte(0)
	}
	return requirements{placement.TaskResources(s), s.Spot, s.Zone, types.String()}
}

// maxTasksThatFit is the result of TasksThatFit for tasks that need nothing.
const maxTasksThatFit = 1 << 20

// TasksThatFit tells how many tasks of a job fit into free resources, whatever else the job
// requires.
func TasksThatFit(s *wire.JobSpec, free placement.Resources) int {
	n := maxTasksThatFit
	n = min(n, quotient(free.CPUs, s.CPUs))
	n = min(n, quotient(free.GPUs, s.GPUs))
	n = min(n, quotient(free.MemoryGB, s.MemoryGB))
	return max(0, n)
}

// quotient is how many times a need fits into a free amount. It may be negative.
func quotient(free, need float64) int {
	if need <= 0 {
		return maxTasksThatFit
	}
	return int(free/need + roundingTolerance)
}
