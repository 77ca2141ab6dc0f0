package zonerecovery

import (
	"fmt"
	"slices"
)

// nameOf is the name of a small enumeration's value, for operators.
func nameOf[T ~uint8](names []string, kind string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s-%d", kind, uint8(value))
}

// parseName finds the value with a name.
func parseName[T ~uint8](names []string, kind string, text []byte) (T, error) {
	at := slices.Index(names, string(text))
	if at < 0 {
		return 0, fmt.Errorf("unknown %s %q", kind, text)
	}
	return T(at), nil
}
