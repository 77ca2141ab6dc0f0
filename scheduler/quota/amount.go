package quota

import "math"

// slack absorbs the rounding of sums of decimal amounts in comparisons. It is far smaller
// than any amount that is asked for, so it lets no team exceed a limit by a task.
const slack = 1e-9

// Amount is the resources that quota counts.
type Amount struct{ CPUs, GPUs float64 }

// Unlimited is more than any amount.
var Unlimited = Amount{CPUs: math.Inf(1), GPUs: math.Inf(1)}

// Plus is the sum of two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Minus is the difference of two amounts. Its parts may be negative.
func (a Amount) Minus(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Times is the amount of n tasks that need a each.
func (a Amount) Times(n int) Amount { return Amount{a.CPUs * float64(n), a.GPUs * float64(n)} }

// FitsIn tells whether no part of a is larger than that of b, but for rounding.
func (a Amount) FitsIn(b Amount) bool { return a.CPUs <= b.CPUs+slack && a.GPUs <= b.GPUs+slack }

// nonNegative replaces negative parts by 0.
func (a Amount) nonNegative() Amount { return Amount{max(0, a.CPUs), max(0, a.GPUs)} }

// smallerParts is the smaller one of each part.
func smallerParts(a, b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }
