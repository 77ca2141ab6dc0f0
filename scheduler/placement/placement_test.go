package placement

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

func TestAllowedSites(t *testing.T) {
	at := Site{Type: "big", Zone: "a", Spot: true}
	for _, c := range []struct {
		name    string
		spec    wire.JobSpec
		allowed bool
	}{
		{"spot for who may use it", wire.JobSpec{Spot: true}, true},
		{"spot for who may not", wire.JobSpec{}, false},
		{"its zone", wire.JobSpec{Spot: true, Zone: "a"}, true},
		{"another zone", wire.JobSpec{Spot: true, Zone: "b"}, false},
		{"its type among others", wire.JobSpec{Spot: true, Types: []ids.MachineType{"small", "big"}}, true},
		{"another type", wire.JobSpec{Spot: true, Types: []ids.MachineType{"small"}}, false},
	} {
		if got := Allowed(&c.spec, at); got != c.allowed {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// What may still be on a machine counts in its zone; with no zone known, in each.
func TestZonesAdmit(t *testing.T) {
	for _, c := range []struct {
		name  string
		spec  wire.JobSpec
		there TasksByZone
		admit bool // one more in zone a
	}{
		{"one zone, the first task", wire.JobSpec{OneZone: true}, TasksByZone{}, true},
		{"one zone, the others are there", wire.JobSpec{OneZone: true}, TasksByZone{"a": 3}, true},
		{"one zone, the others are elsewhere", wire.JobSpec{OneZone: true}, TasksByZone{"b": 1}, false},
		{"one zone, one is not known where", wire.JobSpec{OneZone: true}, TasksByZone{"": 1}, false},
		{"spread, the first of 9", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{}, true},
		{"spread, the fifth of 9 in one zone", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{"a": 4}, true},
		{"spread, the sixth of 9 in one zone", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{"a": 5}, false},
		{"spread, one is not known where", wire.JobSpec{Spread: true, Tasks: 9}, TasksByZone{"a": 4, "": 1}, false},
		{"spread, a single task", wire.JobSpec{Spread: true, Tasks: 1}, TasksByZone{}, true},
		{"neither", wire.JobSpec{Tasks: 2}, TasksByZone{"a": 7, "b": 1}, true},
	} {
		if got := c.there.Allows(&c.spec, "a"); got != c.admit {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Each pair differs in one respect; the first offer must rank higher.
func TestScoreRanks(t *testing.T) {
	room := Resources{CPUs: 8, MemoryGB: 32}
	offer := func(change func(*Candidate)) *Candidate {
		o := &Candidate{Free: room, Total: room}
		change(o)
		return o
	}
	plain := func(*Candidate) {}
	for _, c := range []struct {
		name          string
		spec          wire.JobSpec
		better, worse func(*Candidate)
	}{
		{"the image is there", wire.JobSpec{CPUs: 1}, func(o *Candidate) { o.Cached = true }, plain},
		{"the image is on its way", wire.JobSpec{CPUs: 1}, func(o *Candidate) { o.Fetching = true }, plain},
		{"spot for who may use it", wire.JobSpec{CPUs: 1, Spot: true}, func(o *Candidate) { o.Spot = true }, plain},
		{"but not where it is likely to be taken", wire.JobSpec{CPUs: 1, Spot: true}, plain, func(o *Candidate) { o.Spot, o.SpotRisk = true, 0.2 }},
		{"a machine that failed goes last", wire.JobSpec{CPUs: 1}, plain, func(o *Candidate) { o.Suspect, o.Cached = true, true }},
		{"replicas of a service stand apart", wire.JobSpec{CPUs: 1, Service: true}, plain, func(o *Candidate) { o.SameJob = 1 }},
		{"the fuller machine of two", wire.JobSpec{CPUs: 1}, func(o *Candidate) { o.Free.CPUs = 2 }, plain},
		{"where services stay already", wire.JobSpec{CPUs: 1}, func(o *Candidate) { o.RunsServices = true }, plain},
		{"the image before the kind, in a hurry", wire.JobSpec{CPUs: 1, Spot: true}, func(o *Candidate) { o.Cached, o.LatencySensitive = true, true },
			func(o *Candidate) { o.Spot, o.LatencySensitive = true, true }},
	} {
		if better, worse := Score(&c.spec, offer(c.better)), Score(&c.spec, offer(c.worse)); better <= worse {
			t.Errorf("%s: %v and %v", c.name, better, worse)
		}
	}
}
