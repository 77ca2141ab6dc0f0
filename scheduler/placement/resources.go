package placement

import "ospreystile.example/ospreystile/wire"

// roundingTolerance absorbs the rounding of sums of decimal amounts in comparisons.
const roundingTolerance = 1e-9

// Resources is what a task takes of a machine, or what a machine offers.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// TaskResources is what one task of a job takes.
func TaskResources(s *wire.JobSpec) Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// MachineResources is what a machine of a type offers.
func MachineResources(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// Plus is the sum of two amounts of resources.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Minus is the difference of two amounts of resources. Its parts may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// FitsIn tells whether no part of r is larger than that of o, but for rounding.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPUs <= o.CPUs+roundingTolerance && r.GPUs <= o.GPUs+roundingTolerance && r.MemoryGB <= o.MemoryGB+roundingTolerance
}
