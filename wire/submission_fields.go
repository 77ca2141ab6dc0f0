package wire

import (
	"math"
	"slices"
)

// submissionFields reads the values of a decoded submission by field name. After the first
// invalid field the results have no meaning, and err holds what was wrong with it.
type submissionFields struct {
	values map[string]any
	err    *SubmissionError
}

// fail records a problem with a field, unless there was one before.
func (f *submissionFields) fail(field, problem string) {
	if f.err == nil {
		f.err = &SubmissionError{Field: field, Problem: problem}
	}
}

// text reads a text of 1 to maxLength bytes.
func (f *submissionFields) text(field string, maxLength int) string {
	text, ok := f.values[field].(string)
	if !ok || text == "" || len(text) > maxLength {
		f.fail(field, "must be text")
	}
	return text
}

// optionalText reads a text that may be null or absent; then it is empty.
func (f *submissionFields) optionalText(field string, maxLength int) string {
	if f.values[field] == nil {
		return ""
	}
	return f.text(field, maxLength)
}

// flag reads true or false.
func (f *submissionFields) flag(field string) bool {
	value, ok := f.values[field].(bool)
	if !ok {
		f.fail(field, "must be true or false")
	}
	return value
}

// amount reads a number from 0 to maxAmount.
func (f *submissionFields) amount(field string) float64 {
	amount, ok := number(f.values[field])
	if !ok || !(amount >= 0 && amount <= maxAmount) { // also refuses NaN
		f.fail(field, "must be a number that is not negative")
	}
	return amount
}

// positiveAmount reads a number above 0, up to maxAmount.
func (f *submissionFields) positiveAmount(field string) float64 {
	amount := f.amount(field)
	if amount == 0 {
		f.fail(field, "must be a number above 0")
	}
	return amount
}

// optionalAmount reads an amount that may be null or absent; then it is 0.
func (f *submissionFields) optionalAmount(field string) float64 {
	if f.values[field] == nil {
		return 0
	}
	return f.amount(field)
}

// optionalList reads a list that may be null or absent; then given is false.
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

// number converts any kind of number that the decoder returns.
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

// integer converts any kind of integer that the decoder returns, if an int64 can hold it.
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

// withoutDuplicates keeps the first of equal elements. It changes the list in place.
func withoutDuplicates[T comparable](list []T) []T {
	seen := make(map[T]bool, len(list))
	return slices.DeleteFunc(list, func(element T) bool {
		duplicate := seen[element]
		seen[element] = true
		return duplicate
	})
}
