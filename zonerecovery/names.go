package zonerecovery

import (
	"fmt"
	"slices"
)

// UnknownNameError represents a name that no value of an enumeration has.
type UnknownNameError struct {
	// Kind is the enumeration, such as "condition".
	Kind, Name string
}

// Error returns a message with the enumeration and the name.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("unknown %s %q", e.Kind, e.Name) }

// nameOf returns the name of an enumeration's value. For a value without a name, which a newer
// version may send, it returns the kind and the number.
func nameOf[T ~uint8](names []string, kind string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s-%d", kind, uint8(value))
}

// parseName returns the value with the given name, or an *UnknownNameError.
func parseName[T ~uint8](names []string, kind string, text []byte) (T, error) {
	value := slices.Index(names, string(text))
	if value < 0 {
		return 0, &UnknownNameError{Kind: kind, Name: string(text)}
	}
	return T(value), nil
}
