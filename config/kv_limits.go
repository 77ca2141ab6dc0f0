package config

// Limits are what the key-value store accepts.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"` // size of one value in its JSON form
	TxnOps   int     `toml:"txn_ops"`  // operations in one transaction
}

// KVLimits holds the present limits of the key-value store and its next ones. The time of the
// change is not known.
type KVLimits struct {
	Limits
	Next NextLimits `toml:"next"`
}

// NextLimits are the limits that will change; nil means that a limit does not.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Planned returns the smaller of the present and the next limits. Requests within them are
// accepted before and after the change.
func (l *KVLimits) Planned() Limits {
	return Limits{
		RPS:      smaller(l.RPS, l.Next.RPS),
		WriteRPS: smaller(l.WriteRPS, l.Next.WriteRPS),
		ValueKB:  smaller(l.ValueKB, l.Next.ValueKB),
		TxnOps:   smaller(l.TxnOps, l.Next.TxnOps),
	}
}

// smaller returns the smaller of a limit and the next one, which is nil if there is none.
func smaller[T float64 | int](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
}

// The least limits with which records can be stored. A value must be large enough for the
// description of a job, and a transaction for both parts of a record that is split.
const (
	minRPS     = 1.0
	minValueKB = 0.5
	minTxnOps  = 2
)

// check checks the next limits; the present ones are checked with the other amounts.
func (l *KVLimits) check() error {
	const key = "settings.state.next."
	for _, limit := range []struct {
		name  string
		value *float64
		least float64
	}{
		{"rps", l.Next.RPS, minRPS},
		{"write_rps", l.Next.WriteRPS, minRPS},
		{"value_kb", l.Next.ValueKB, minValueKB},
	} {
		if limit.value != nil && !(*limit.value >= limit.least) { // also refuses NaN
			return invalid(key+limit.name, "must be %v or more, is %v", limit.least, *limit.value)
		}
	}
	if l.Next.TxnOps != nil && *l.Next.TxnOps < minTxnOps {
		return invalid(key+"txn_ops", "must be %d or more, is %d", minTxnOps, *l.Next.TxnOps)
	}
	return nil
}
