package fleet

import (
	"slices"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

var types = []wire.MachineType{
	{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, Zones: []ids.Zone{"a", "b"}},
	{Name: "large", CPUs: 32, MemoryGB: 128, Price: 7, SpotPrice: 2, Zones: []ids.Zone{"a"}},
}

func onDemand(name ids.MachineType, zone ids.Zone) placement.Site {
	return placement.Site{Type: name, Zone: zone}
}

func spot(name ids.MachineType, zone ids.Zone) placement.Site {
	return placement.Site{Type: name, Zone: zone, Spot: true}
}

func TestMachineRequests(t *testing.T) {
	const enough = 10 // machines
	for _, c := range []struct {
		name        string
		demand      Demand
		blocked     ids.Zone
		booting     []placement.Resources // free on small machines in zone a
		maxMachines int
		want        []MachineRequest
	}{
		{name: "one task uses the cheapest machine that fits it", demand: Demand{Spec: &wire.JobSpec{CPUs: 2, Spot: true}, Count: 1},
			maxMachines: enough, want: []MachineRequest{{spot("small", "a"), 1}}},
		{name: "many tasks use the machine with the lowest cost per task", demand: Demand{Spec: &wire.JobSpec{CPUs: 2, Spot: true}, Count: 16},
			maxMachines: enough, want: []MachineRequest{{spot("large", "a"), 1}}},
		{name: "job that may not use spot instances uses on-demand machines", demand: Demand{Spec: &wire.JobSpec{CPUs: 4}, Count: 1},
			maxMachines: enough, want: []MachineRequest{{onDemand("small", "a"), 1}}},
		{name: "large tasks fit only on large machines", demand: Demand{Spec: &wire.JobSpec{CPUs: 8}, Count: 5},
			maxMachines: enough, want: []MachineRequest{{onDemand("large", "a"), 2}}},
		{name: "booting machines are filled first", demand: Demand{Spec: &wire.JobSpec{CPUs: 2}, Count: 3},
			booting: []placement.Resources{{CPUs: 4, MemoryGB: 16}}, maxMachines: enough, want: []MachineRequest{{onDemand("small", "a"), 1}}},
		{name: "no machine beyond the maximum", demand: Demand{Spec: &wire.JobSpec{CPUs: 4}, Count: 5}},
		{name: "no machine at a blocked site", demand: Demand{Spec: &wire.JobSpec{CPUs: 4}, Count: 1}, blocked: "a",
			maxMachines: enough, want: []MachineRequest{{onDemand("small", "b"), 1}}},
		{name: "spread job uses two zones", demand: Demand{Spec: &wire.JobSpec{CPUs: 4, Spread: true, Tasks: 2}, Count: 2},
			maxMachines: enough, want: []MachineRequest{{onDemand("small", "a"), 1}, {onDemand("small", "b"), 1}}},
		{name: "no machine for a task that fits on no type", demand: Demand{Spec: &wire.JobSpec{CPUs: 64}, Count: 1}, maxMachines: enough},
	} {
		t.Run(c.name, func(t *testing.T) {
			blocked := func(s placement.Site) bool { return s.Zone == c.blocked }
			p := &Planner{Types: types, Blocked: blocked, MachinesBySite: map[placement.Site]int{}, MaxMachines: c.maxMachines}
			for _, free := range c.booting {
				p.AddCapacity(onDemand("small", "a"), free)
			}
			p.Add(c.demand)
			if got := p.MachineRequests(); !slices.Equal(got, c.want) {
				t.Errorf("MachineRequests = %v, want %v", got, c.want)
			}
		})
	}
}

// Each of thousands of equal jobs that cannot be placed must not examine all booting machines again.
func TestAddSkipsFullBins(t *testing.T) {
	const machines, jobs = 4000, 2000
	p := &Planner{Types: types, Blocked: func(placement.Site) bool { return true }, MachinesBySite: map[placement.Site]int{}, MaxMachines: machines}
	for range machines {
		p.AddCapacity(onDemand("small", "a"), placement.Resources{CPUs: 4, MemoryGB: 16})
	}
	spec := &wire.JobSpec{CPUs: 2, MemoryGB: 1}
	for range jobs {
		p.Add(Demand{Spec: spec, Count: 10})
	}
	if most := 3 * (machines + jobs); p.BinsExamined > most {
		t.Errorf("examined %d bins, want at most %d", p.BinsExamined, most)
	}
	if full := p.firstBin[requirementsOf(spec)]; full != machines {
		t.Errorf("%d bins are skipped as full, want all %d", full, machines)
	}
}
