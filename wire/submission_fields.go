package wire

import (
	"math"
	"slices"
)

// submissionFields reads the values of a decoded submission by field name. The err field holds
// the error of the first invalid field. Once it is set, the results have no meaning.
type submissionFields struct {
	values map[string]any
	err    *SubmissionError
}

// fail records a problem with a field, unless a problem is already recorded.
func (f *submissionFields) fail(field, problem string) {
	if f.err == nil {
		f.err = &SubmissionError{Field: field, Problem: problem}
	}
}

// nonEmptyString reads a string of 1 to maxLength bytes.
func (f *submissionFields) nonEmptyString(field string, maxLength int) string {
	text, ok := f.values[field].(string)
	if !ok || text == "" || len(text) > maxLength {
		f.fail(field, "must be a non-empty string within the length limit")
	}
	return text
}

// optionalString reads a string of 1 to maxLength bytes. It returns "" for null or an absent field.
func (f *submissionFields) optionalString(field string, maxLength int) string {
	if f.values[field] == nil {
		return ""
	}
	return f.nonEmptyString(field, maxLength)
}

// boolean reads a boolean.
func (f *submissionFields) boolean(field string) bool {
	value, ok := f.values[field].(bool)
	if !ok {
		f.fail(field, "must be true or false")
	}
	return value
}

// amount reads a number from 0 to maxAmount.
func (f *submissionFields) amount(field string) float64 {
	amount, ok := number(f.values[field])
	if !ok || !(amount >= 0 && amount <= maxAmount) { // also rejects NaN
		f.fail(field, "must be a non-negative number")
	}
	return amount
}

// positiveAmount reads a number greater than 0, and at most maxAmount.
func (f *submissionFields) positiveAmount(field string) float64 {
	amount := f.amount(field)
	if amount == 0 {
		f.fail(field, "must be a number greater than 0")
	}
	return amount
}

// optionalAmount reads a number from 0 to maxAmount. It returns 0 for null or an absent field.
func (f *submissionFields) optionalAmount(field string) float64 {
	if f.values[field] == nil {
		return 0
	}
	return f.amount(field)
}

// optionalList reads a list. given is false if the field is null or absent.
func (f *submissionFields) optionalList(field, problem string) (list []any, given bool) {
	switch value := f.values[field].(type) {
	case nil:
		return nil, false
	case []any:
		return value, true
	}
	f.fail(field, problem)
	return nil, false
}

// number converts a value of any numeric type that the decoder returns. It returns false for
// other types.
func number(value any) (float64, bool) {
	switch n := value.(type) {
	case float64:
		return n, true
	case float32:
		return float64(n), true
	}
	n, ok := integer(value)
	return float64(n), ok
}

// integer converts a value of any integer type that the decoder returns. It returns false for
// other types, and for values that overflow an int64.
func integer(value any) (int64, bool) {
	switch n := value.(type) {
	case int8:
		return int64(n), true
	case int16:
		return int64(n), true
	case int32:
		return int64(n), true
	case int64:
		return n, true
	case uint8:
		return int64(n), true
	case uint16:
		return int64(n), true
	case uint32:
		return int64(n), true
	case uint64:
		return int64(n), n <= math.MaxInt64
	}
	return 0, false
}

// withoutDuplicates removes all but the first of equal elements. It modifies the list in place.
func withoutDuplicates[T comparable](list []T) []T {
	seen := make(map[T]bool, len(list))
	return slices.DeleteFunc(list, func(element T) bool {
		duplicate := seen[element]
		seen[element] = true
		return duplicate
	})
}
