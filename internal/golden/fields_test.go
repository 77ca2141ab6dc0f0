package golden

import (
	"fmt"
	"slices"
	"testing"
)

// errorRecorder is a testing.TB that records the errors reported through it.
type errorRecorder struct {
	testing.TB
	errors []string
}

func (*errorRecorder) Helper() {}

func (r *errorRecorder) Errorf(format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// inner and outer have a field of each kind that CheckFieldsSet treats differently.
type inner struct{ Number, Other int }

type outer struct {
	Name    string
	Flag    bool
	Another bool
	Pointer *inner
	List    []inner
	Names   []string
	hidden  int
}

// validOuter returns a value for which CheckFieldsSet reports no error.
func validOuter() outer {
	return outer{Name: "a", Flag: true, Another: true, Pointer: &inner{1, 2}, List: []inner{{3, 4}}, Names: []string{"b"}}
}

// CheckFieldsSet must report each empty field and each pair of equal fields. Otherwise a golden test could
// pass although a field was renamed or swapped.
func TestCheckFieldsSet(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*outer)
		want   []string
	}{
		{"all filled", func(*outer) {}, nil},
		{"unexported field", func(o *outer) { o.hidden = 1 }, nil},
		{"empty string", func(o *outer) { o.Name = "" }, []string{"v.Name is empty"}},
		{"bool not set", func(o *outer) { o.Flag = false }, []string{"v.Flag is empty"}},
		{"nil pointer", func(o *outer) { o.Pointer = nil }, []string{"v.Pointer is empty"}},
		{"empty slice", func(o *outer) { o.Names = []string{} }, []string{"v.Names is empty"}},
		{"empty nested field", func(o *outer) { o.List[0].Other = 0 }, []string{"v.List[0].Other is empty"}},
		{"same values", func(o *outer) { o.Pointer.Other = 1 }, []string{"v.Pointer.Other has the same value as v.Pointer.Number"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			value := validOuter()
			c.change(&value)
			var recorder errorRecorder
			CheckFieldsSet(&recorder, "v", value)
			if !slices.Equal(recorder.errors, c.want) {
				t.Errorf("reported %q, want %q", recorder.errors, c.want)
			}
		})
	}
}
