package zonerecovery

import (
	"encoding"
	"errors"
	"testing"
)

// The names of conditions and overrides that operators see and use must not change.
func TestNamesForOperators(t *testing.T) {
	for i, want := range []string{"serving", "suspect", "dark", "returning"} {
		if got := Condition(i).String(); got != want {
			t.Errorf("condition %d is %s, want %s", i, got, want)
		}
	}
	for i, want := range []string{"auto", "hold", "release"} {
		if got := OverrideKind(i).String(); got != want {
			t.Errorf("override %d is %s, want %s", i, got, want)
		}
	}
}

// An unknown name is refused with an error that holds its kind.
func TestUnknownNames(t *testing.T) {
	for _, c := range []struct {
		name, want string
		value      encoding.TextUnmarshaler
	}{
		{"condition", `unknown condition "dim"`, new(Condition)},
		{"override", `unknown override "dim"`, new(OverrideKind)},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.value.UnmarshalText([]byte("dim"))
			var unknown *UnknownNameError
			if !errors.As(err, &unknown) || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}
