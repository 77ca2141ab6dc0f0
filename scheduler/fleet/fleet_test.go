package fleet

import (
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

var types = []wire.MachineType{
	{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, Zones: []ids.Zone{"a", "b"}},
	{Name: "large", CPUs: 32, MemoryGB: 128, Price: 7, SpotPrice: 2, Zones: []ids.Zone{"a"}},
}

func TestPurchases(t *testing.T) {
	never := func(placement.Site) bool { return false }
	site := func(name ids.MachineType, zone ids.Zone, spot bool) placement.Site {
		return placement.Site{Type: name, Zone: zone, Spot: spot}
	}
	for _, c := range []struct {
		name    string
		demand  Demand
		blocked func(placement.Site) bool
		coming  []placement.Resources
		budget  int
		want    []MachineRequest
	}{
		{"a single task goes to the cheapest machine that holds it", Demand{Spec: &wire.JobSpec{CPUs: 2, Spot: true}, Count: 1}, never, nil, 10,
			[]MachineRequest{{site("small", "a", true), 1}}},
		{"many tasks go where each is cheapest", Demand{Spec: &wire.JobSpec{CPUs: 2, Spot: true}, Count: 16}, never, nil, 10,
			[]MachineRequest{{site("large", "a", true), 1}}},
		{"who may not use spot pays the price", Demand{Spec: &wire.JobSpec{CPUs: 4}, Count: 1}, never, nil, 10, []MachineRequest{{site("small", "a", false), 1}}},
		{"large tasks fit large machines alone", Demand{Spec: &wire.JobSpec{CPUs: 8}, Count: 5}, never, nil, 10, []MachineRequest{{site("large", "a", false), 2}}},
		{"what is coming is used first", Demand{Spec: &wire.JobSpec{CPUs: 2}, Count: 3}, never, []placement.Resources{{CPUs: 4, MemoryGB: 16}}, 10,
			[]MachineRequest{{site("small", "a", false), 1}}},
		{"nothing is bought beyond the budget", Demand{Spec: &wire.JobSpec{CPUs: 4}, Count: 5}, never, nil, 0, nil},
		{"nor where it is blocked", Demand{Spec: &wire.JobSpec{CPUs: 4}, Count: 1}, func(s placement.Site) bool { return s.Zone == "a" }, nil, 10,
			[]MachineRequest{{site("small", "b", false), 1}}},
		{"a spread job goes to two zones", Demand{Spec: &wire.JobSpec{CPUs: 4, Spread: true, Tasks: 2}, Count: 2}, never, nil, 10,
			[]MachineRequest{{site("small", "a", false), 1}, {site("small", "b", false), 1}}},
		{"what fits no machine buys none", Demand{Spec: &wire.JobSpec{CPUs: 64}, Count: 1}, never, nil, 10, nil},
	} {
		p := &Planner{Types: types, Blocked: c.blocked, MachinesBySite: map[placement.Site]int{}, MaxMachines: c.budget}
		for _, room := range c.coming {
			p.AddCapacity(site("small", "a", false), room)
		}
		p.Add(c.demand)
		if got := p.MachineRequests(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestBackoffGrowsAndEnds(t *testing.T) {
	b := NewBackoff(10 * time.Second)
	s := placement.Site{Type: "small", Zone: "a"}
	now := monotonic.Instant(time.Hour)
	if b.Active(s, now) || b.RecentlyRefused(s) {
		t.Error("blocked before it was refused")
	}
	for _, wait := range []time.Duration{10, 20, 40, 60, 60} {
		b.RecordRefusal(s, now)
		if !b.Active(s, now.Add(wait*time.Second-1)) || b.Active(s, now.Add(wait*time.Second)) {
			t.Errorf("not blocked for %d s", wait)
		}
		if b.Active(placement.Site{Type: "small", Zone: "b"}, now) {
			t.Error("another site is blocked too")
		}
	}
	b.RecordSuccess(s)
	if b.Active(s, now) || b.RecentlyRefused(s) {
		t.Error("blocked after it was granted")
	}
}

// Thousands of alike jobs that find nothing must not each look at all machines that are
// coming.
func TestFullMachinesAreSkipped(t *testing.T) {
	const machines, jobs = 4000, 2000
	p := &Planner{Types: types, Blocked: func(placement.Site) bool { return true }, MachinesBySite: map[placement.Site]int{}, MaxMachines: machines}
	for range machines {
		p.AddCapacity(placement.Site{Type: "small", Zone: "a"}, placement.Resources{CPUs: 4, MemoryGB: 16})
	}
	spec := &wire.JobSpec{CPUs: 2, MemoryGB: 1}
	for range jobs {
		p.Add(Demand{Spec: spec, Count: 10})
	}
	if most := 3 * (machines + jobs); p.BinsExamined > most {
		t.Errorf("looked at machines %d times, at most %d expected", p.BinsExamined, most)
	}
	if p.firstBin[requestOf(spec)] != machines {
		t.Errorf("%d machines are full, all %d should be", p.firstBin[requestOf(spec)], machines)
	}
}
