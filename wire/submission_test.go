package wire

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"

	"ospreystile.example/ospreystile/ids"
)

// validSubmission returns a valid submission with the field names of the protocol.
func validSubmission() map[string]any {
	return map[string]any{"nameId": "job-000412", "workclass": "train", "crew": "vision", "shape": "batch", "urgency": "high",
		"legs": 16, "cpus": 8.0, "accelerators": 1.0, "memoryGb": 64.0, "bundle": "img-07", "pullGb": 6.2,
		"frames": []string{"g8"}, "hall": nil, "oneZone": true, "spread": false, "loaner": true,
		"expectS": 240.0, "snapshotEveryS": 30.0, "snapshotS": 4.0, "dueS": 900.0, "unknownField": "ignored"}
}

func TestParseSubmission(t *testing.T) {
	id, spec, err := ParseSubmission(Encode(validSubmission()))
	if err != nil {
		t.Fatal(err)
	}
	want := JobSpec{Class: "train", Team: "vision", Priority: High, Tasks: 16, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07",
		ImageGB: 6.2, Types: []ids.MachineType{"g8"}, OneZone: true, Spot: true, EstimateS: 240, CheckpointEveryS: 30, CheckpointS: 4,
		DeadlineS: 900}
	if id != "job-000412" || !reflect.DeepEqual(*spec, want) {
		t.Errorf("got %s %+v, want %+v", id, *spec, want)
	}
}

func TestSubmissionDependencies(t *testing.T) {
	for _, c := range []struct {
		name    string
		waitsOn any
		want    []ids.JobID
	}{
		{"null", nil, nil},
		{"empty", []any{}, nil},
		{"one job twice", []any{"job-2", "job-1", "job-2"}, []ids.JobID{"job-2", "job-1"}},
	} {
		values := validSubmission()
		values["waitsOn"] = c.waitsOn
		if _, spec, err := ParseSubmission(Encode(values)); err != nil || !slices.Equal(spec.DependsOn, c.want) {
			t.Errorf("%s: got %+v, %v", c.name, spec, err)
		}
	}
}

// missing marks a field that the submission does not have.
var missing = new(any)

func TestInvalidSubmissions(t *testing.T) {
	for _, c := range []struct {
		name, field string
		value       any
	}{
		{"no id", "nameId", missing},
		{"id with a path", "nameId", "job-1/../x"},
		{"id with a space", "nameId", "job-1 2"},
		{"id not text", "nameId", 7},
		{"no tasks", "legs", 0},
		{"too many tasks", "legs", 100001},
		{"tasks not whole", "legs", 1.5},
		{"tasks as text", "legs", "1"},
		{"negative cpus", "cpus", -1.0},
		{"no cpus", "cpus", missing},
		{"cpus null", "cpus", nil},
		{"unknown shape", "shape", "round"},
		{"unknown priority", "urgency", "now"},
		{"types not a list", "frames", "g8"},
		{"types of numbers", "frames", []any{1}},
		{"boolean missing", "oneZone", missing},
		{"boolean as number", "spread", 1},
		{"dependencies as text", "waitsOn", "job-1"},
		{"dependencies as map", "waitsOn", map[string]any{"job-1": true}},
		{"dependency as number", "waitsOn", []any{"job-1", 7}},
		{"dependency null", "waitsOn", []any{"job-1", nil}},
		{"dependency without a valid id", "waitsOn", []any{"job-1", "train"}},
		{"dependency on a task", "waitsOn", []any{"job-1/2"}},
		{"deadline as text", "dueS", "soon"},
		{"zone as number", "hall", 3},
		{"team name too long", "crew", strings.Repeat("x", 1000)},
	} {
		values := validSubmission()
		values[c.field] = c.value
		if c.value == missing {
			delete(values, c.field)
		}
		_, _, err := ParseSubmission(Encode(values))
		var invalid *SubmissionError
		if !errors.As(err, &invalid) || invalid.Field != c.field {
			t.Errorf("%s: %v, want an error of field %s", c.name, err, c.field)
		}
	}
}

// optionalFields may be null or absent. "unknownField" is not a field of the protocol.
var optionalFields = []string{"frames", "hall", "dueS", "unknownField"}

func TestSubmissionFieldAbsentOrNull(t *testing.T) {
	for field := range validSubmission() {
		optional := slices.Contains(optionalFields, field)
		absent, null := validSubmission(), validSubmission()
		delete(absent, field)
		null[field] = nil
		for name, values := range map[string]map[string]any{"absent": absent, "null": null} {
			if _, _, err := ParseSubmission(Encode(values)); (err == nil) != optional {
				t.Errorf("field %s %s: %v", field, name, err)
			}
		}
	}
}

func TestSubmissionFieldOfWrongType(t *testing.T) {
	for field, value := range validSubmission() {
		_, isAmount := value.(float64)
		_, isBoolean := value.(bool)
		isUnknown := field == "unknownField"
		for _, c := range []struct {
			name  string
			value any
			valid bool
		}{
			{"a map", map[string]any{}, isUnknown},
			{"a list of maps", []any{map[string]any{}}, isUnknown},
			{"a negative integer", -1, isUnknown},
			{"a boolean", true, isUnknown || isBoolean},
			{"a fraction", 7.5, isUnknown || isAmount},
		} {
			values := validSubmission()
			values[field] = c.value
			if _, _, err := ParseSubmission(Encode(values)); (err == nil) != c.valid {
				t.Errorf("field %s is %s: %v", field, c.name, err)
			}
		}
	}
}

func FuzzParseSubmission(f *testing.F) {
	f.Add(Encode(validSubmission()))
	f.Fuzz(func(t *testing.T, body []byte) {
		if id, spec, err := ParseSubmission(body); err == nil && (!ValidJobID(id) || spec.Tasks < 1 || spec.CPUs <= 0) {
			t.Errorf("invalid submission accepted: %s %+v", id, spec)
		}
	})
}
