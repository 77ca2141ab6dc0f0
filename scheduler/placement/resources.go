package placement

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// roundingTolerance absorbs the rounding of sums of decimal amounts in comparisons.
const roundingTolerance = 1e-9

// Resources represents the resources that a task needs or that a machine provides.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
	// HeartbeatBytes is the space in the machine's heartbeats, which name every task on the machine
	// and have a size limit.
	HeartbeatBytes int
}

// TaskResources returns the resources that one task of a job needs.
func TaskResources(id ids.JobID, s *wire.JobSpec) Resources {
	return Resources{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, HeartbeatBytes: wire.MaxTaskStatusBytes(id)}
}

// MachineResources returns the capacity of a machine type.
func MachineResources(t *wire.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, HeartbeatBytes: wire.MaxHeartbeatTasksBytes}
}

// Plus returns the sum of two amounts of resources.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB, r.HeartbeatBytes + o.HeartbeatBytes}
}

// Minus returns the difference of two amounts of resources. Its components may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB, r.HeartbeatBytes - o.HeartbeatBytes}
}

// FitsIn reports whether no component of r exceeds that of o by more than a rounding error.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPUs <= o.CPUs+roundingTolerance && r.GPUs <= o.GPUs+roundingTolerance &&
		r.MemoryGB <= o.MemoryGB+roundingTolerance && r.HeartbeatBytes <= o.HeartbeatBytes
}
