package config

// Limits holds the largest rates, values and transactions that the key-value store accepts.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"` // size of one value in its JSON form
	TxnOps   int     `toml:"txn_ops"`  // operations in one transaction
}

// KVLimits holds the current limits of the key-value store and the limits that will replace them
// at an unknown time.
type KVLimits struct {
	Limits
	Next NextLimits `toml:"next"`
}

// NextLimits holds the limits that will change. Nil means that a limit does not change.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Strictest returns the smaller of the current and the next limits. Requests within them are
// accepted before and after the change.
func (l *KVLimits) Strictest() Limits {
	return Limits{
		RPS:      smallerLimit(l.RPS, l.Next.RPS),
		WriteRPS: smallerLimit(l.WriteRPS, l.Next.WriteRPS),
		ValueKB:  smallerLimit(l.ValueKB, l.Next.ValueKB),
		TxnOps:   smallerLimit(l.TxnOps, l.Next.TxnOps),
	}
}

// smallerLimit returns the smaller of the current limit and the next one, which is nil if there is none.
func smallerLimit[T float64 | int](current T, next *T) T {
	if next == nil {
		return current
	}
	return min(current, *next)
}

// The smallest limits with which records can be stored. A value must be large enough for the
// specification of a job, and a transaction for both parts of a record that is split.
const (
	minRPS     = 1.0
	minValueKB = 0.5
	minTxnOps  = 2
)

// check validates the next limits. Settings.checkAmounts validates the current ones.
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
		if limit.value != nil && !(*limit.value >= limit.least) { // also rejects NaN
			return invalidSetting(key+limit.name, "must be %v or more, is %v", limit.least, *limit.value)
		}
	}
	if l.Next.TxnOps != nil && *l.Next.TxnOps < minTxnOps {
		return invalidSetting(key+"txn_ops", "must be %d or more, is %d", minTxnOps, *l.Next.TxnOps)
	}
	return nil
}
