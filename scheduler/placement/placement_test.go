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
		{"spot for a spot job", wire.JobSpec{Spot: true}, true},
		{"spot for another job", wire.JobSpec{}, false},
		{"the job's zone", wire.JobSpec{Spot: true, Zone: "a"}, true},
		{"not the job's zone", wire.JobSpec{Spot: true, Zone: "b"}, false},
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

// A task that may still run counts in its zone; if its zone is not known, in each.
func TestTasksByZoneAllows(t *testing.T) {
	for _, c := range []struct {
		name  string
		spec  wire.JobSpec
		tasks TasksByZone
		want  bool // for one more in zone a
	}{
		{"one zone, the first task", wire.JobSpec{OneZone: true}, TasksByZone{}, true},
		{"one zone, the others are there", wire.JobSpec{OneZone: true}, TasksByZone{"a": 3}, true},
		{"one zone, the others are elsewhere", wire.JobSpec{OneZone: true}, TasksByZone{"b": 1}, false},
		{"one zone, the zone of one is not known", wire.JobSpec{OneZone: true}, TasksByZone{"": 1}, false},
		{"spread, the first of 9", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{}, true},
		{"spread, the fifth of 9 in one zone", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{"a": 4}, true},
		{"spread, the sixth of 9 in one zone", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{"a": 5}, false},
		{"spread, the zone of one is not known", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{"a": 4, "": 1}, false},
		{"spread, a single task", wire.JobSpec{Spread: true, Tasks: 1}, TasksByZone{}, true},
		{"neither", wire.JobSpec{Tasks: 2}, TasksByZone{"a": 7, "b": 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.tasks.Allows(&c.spec, "a"); got != c.want {
				t.Errorf("Allows = %v, want %v", got, c.want)
			}
		})
	}
}

// Each pair of candidates differs in one respect.
func TestScoreRanks(t *testing.T) {
	capacity := Resources{CPUs: 8, MemoryGB: 32}
	for _, c := range []struct {
		name          string
		spec          wire.JobSpec
		better, worse Candidate // all have the same resources unless they are given
	}{
		{"a cached image first", wire.JobSpec{CPUs: 1}, Candidate{Cached: true}, Candidate{}},
		{"an image that is being fetched first", wire.JobSpec{CPUs: 1}, Candidate{Fetching: true}, Candidate{}},
		{"spot first for a spot job", wire.JobSpec{CPUs: 1, Spot: true}, Candidate{Site: Site{Spot: true}}, Candidate{}},
		{"but not where it is likely to be reclaimed", wire.JobSpec{CPUs: 1, Spot: true}, Candidate{}, Candidate{Site: Site{Spot: true}, SpotRisk: 0.2}},
		{"a suspect machine last", wire.JobSpec{CPUs: 1}, Candidate{}, Candidate{Suspect: true, Cached: true}},
		{"replicas of a service on different machines", wire.JobSpec{CPUs: 1, Service: true}, Candidate{}, Candidate{SameJob: 1}},
		{"the fuller machine of two", wire.JobSpec{CPUs: 1}, Candidate{Free: Resources{CPUs: 2, MemoryGB: 32}}, Candidate{}},
		{"a machine that services keep", wire.JobSpec{CPUs: 1}, Candidate{RunsServices: true}, Candidate{}},
		{"the image before spot if latency counts", wire.JobSpec{CPUs: 1, Spot: true}, Candidate{Cached: true, LatencySensitive: true},
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
				t.Errorf("scores %v, want more than %v", better, worse)
			}
		})
	}
}
