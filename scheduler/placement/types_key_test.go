package placement_test

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// Different lists of machine types have different keys, also if the names joined are the same.
func TestTypesKey(t *testing.T) {
	lists := [][]ids.MachineType{nil, {"a"}, {"ab"}, {"a", "b"}, {"b", "a"}, {"a", "b", "c"}, {"ab", "c"}}
	for i, a := range lists {
		for k, b := range lists {
			same := placement.TypesKey(&wire.JobSpec{Types: a}) == placement.TypesKey(&wire.JobSpec{Types: b})
			if same != (i == k) {
				t.Errorf("the keys of %v and %v are equal: %t", a, b, same)
			}
		}
	}
}
