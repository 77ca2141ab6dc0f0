package placement

import "ospreystile.example/ospreystile/wire"

// roundingTolerance absorbs the rounding of sums of decimal amounts in comparisons.
const roundingTolerance = 1e-9

// Resources represents the resources that a task needs or that a machine provides.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// TaskResources returns the resources that one task of a job needs.
func TaskResources(s *wire.JobSpec) Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// MachineResources returns the capacity of a machine type.
func MachineResources(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// Plus returns the sum of two amounts of resources.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Minus returns the difference of two amounts of resources. Its components may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// FitsIn reports whether no component of r exceeds that of o by more than a rounding error.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPUs <= o.CPUs+roundingTolerance && r.GPUs <= o.GPUs+roundingTolerance && r.MemoryGB <= o.MemoryGB+roundingTolerance
}
