package quota

import "math"

// roundingTolerance absorbs the rounding of sums of decimal amounts in comparisons. It is far smaller
// than any requested amount, so no team can exceed a limit by a task.
const roundingTolerance = 1e-9

// Amount represents the resources that quota limits.
type Amount struct{ CPUs, GPUs float64 }

// Unlimited is larger than any other amount.
var Unlimited = Amount{CPUs: math.Inf(1), GPUs: math.Inf(1)}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Minus returns the difference of two amounts. Its components may be negative.
func (a Amount) Minus(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Times returns the amount that n tasks need if each needs a.
func (a Amount) Times(n int) Amount { return Amount{a.CPUs * float64(n), a.GPUs * float64(n)} }

// FitsIn reports whether no component of a exceeds that of b by more than a rounding error.
func (a Amount) FitsIn(b Amount) bool {
	return a.CPUs <= b.CPUs+roundingTolerance && a.GPUs <= b.GPUs+roundingTolerance
}

// nonNegative returns the amount with negative components replaced by 0.
func (a Amount) nonNegative() Amount { return Amount{max(0, a.CPUs), max(0, a.GPUs)} }

// componentMin returns the minimum of each component of two amounts.
func componentMin(a, b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }
