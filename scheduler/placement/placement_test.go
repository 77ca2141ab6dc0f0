package placement

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

func TestAllowed(t *testing.T) {
	at := Site{Type: "big", Zone: "a", Spot: true}
	for _, c := range []struct {
		name string
		spec wire.JobSpec
		want bool
	}{
		{"spot instance for a spot job", wire.JobSpec{Spot: true}, true},
		{"spot instance for another job", wire.JobSpec{}, false},
		{"the job's zone", wire.JobSpec{Spot: true, Zone: "a"}, true},
		{"another zone", wire.JobSpec{Spot: true, Zone: "b"}, false},
		{"one of the job's types", wire.JobSpec{Spot: true, Types: []ids.MachineType{"small", "big"}}, true},
		{"none of the job's types", wire.JobSpec{Spot: true, Types: []ids.MachineType{"small"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Allowed(&c.spec, at); got != c.want {
				t.Errorf("Allowed = %v, want %v", got, c.want)
			}
		})
	}
}

// A task that may still run counts in its zone. If its zone is unknown, it counts in every zone.
func TestTasksByZoneAllows(t *testing.T) {
	for _, c := range []struct {
		name  string
		spec  wire.JobSpec
		tasks TasksByZone
		want  bool // for one more task in zone a
	}{
		{"one zone, first task", wire.JobSpec{OneZone: true}, TasksByZone{}, true},
		{"one zone, other tasks in this zone", wire.JobSpec{OneZone: true}, TasksByZone{"a": 3}, true},
		{"one zone, other task in another zone", wire.JobSpec{OneZone: true}, TasksByZone{"b": 1}, false},
		{"one zone, other task in an unknown zone", wire.JobSpec{OneZone: true}, TasksByZone{"": 1}, false},
		{"spread, first of 9", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{}, true},
		{"spread, fifth of 9 in one zone", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{"a": 4}, true},
		{"spread, sixth of 9 in one zone", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{"a": 5}, false},
		{"spread, one task in an unknown zone", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{"a": 4, "": 1}, false},
		{"spread, single task", wire.JobSpec{Spread: true, Tasks: 1}, TasksByZone{}, true},
		{"no constraint", wire.JobSpec{Tasks: 2}, TasksByZone{"a": 7, "b": 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.tasks.Allows(&c.spec, "a"); got != c.want {
				t.Errorf("Allows = %v, want %v", got, c.want)
			}
		})
	}
}

// Each case compares two candidates that differ in the property under test.
func TestScoreOrder(t *testing.T) {
	capacity := Resources{CPUs: 8, MemoryGB: 32}
	for _, c := range []struct {
		name          string
		spec          wire.JobSpec
		better, worse Candidate // with the same resources unless Free is set
	}{
		{"cached image", wire.JobSpec{CPUs: 1}, Candidate{Cached: true}, Candidate{}},
		{"image that is being fetched", wire.JobSpec{CPUs: 1}, Candidate{Fetching: true}, Candidate{}},
		{"spot instance for a spot job", wire.JobSpec{CPUs: 1, Spot: true}, Candidate{Site: Site{Spot: true}}, Candidate{}},
		{"on-demand machine if the spot instance is likely to be reclaimed", wire.JobSpec{CPUs: 1, Spot: true}, Candidate{}, Candidate{Site: Site{Spot: true}, SpotRisk: 0.2}},
		{"not suspect, despite a cached image", wire.JobSpec{CPUs: 1}, Candidate{}, Candidate{Suspect: true, Cached: true}},
		{"no replica of the same service", wire.JobSpec{CPUs: 1, Service: true}, Candidate{}, Candidate{SameJob: 1}},
		{"fuller machine", wire.JobSpec{CPUs: 1}, Candidate{Free: Resources{CPUs: 2, MemoryGB: 32}}, Candidate{}},
		{"machine that runs services", wire.JobSpec{CPUs: 1}, Candidate{RunsServices: true}, Candidate{}},
		{"cached image before spot instance for a latency-sensitive job", wire.JobSpec{CPUs: 1, Spot: true}, Candidate{Cached: true, LatencySensitive: true},
			Candidate{Site: Site{Spot: true}, LatencySensitive: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, candidate := range []*Candidate{&c.better, &c.worse} {
				candidate.Total = capacity
				if candidate.Free == (Resources{}) {
					candidate.Free = capacity
				}
			}
			if better, worse := Score(&c.spec, &c.better), Score(&c.spec, &c.worse); better <= worse {
				t.Errorf("score of the better candidate = %v, want more than %v", better, worse)
			}
		})
	}
}
