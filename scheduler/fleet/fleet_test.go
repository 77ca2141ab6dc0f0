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

// smallMachine is the capacity of an empty machine of the small type.
var smallMachine = placement.Resources{CPUs: 4, MemoryGB: 16, HeartbeatBytes: wire.MaxHeartbeatTasksBytes}

// demandOf returns a demand for tasks of a job.
func demandOf(spec wire.JobSpec, count int) Demand {
	return Demand{Spec: &spec, Need: placement.TaskResources("job-000001", &spec), Count: count}
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
		{name: "one task uses the cheapest machine that fits it", demand: demandOf(wire.JobSpec{CPUs: 2, Spot: true}, 1),
			maxMachines: enough, want: []MachineRequest{{spot("small", "a"), 1}}},
		{name: "many tasks use the machine with the lowest cost per task", demand: demandOf(wire.JobSpec{CPUs: 2, Spot: true}, 16),
			maxMachines: enough, want: []MachineRequest{{spot("large", "a"), 1}}},
		{name: "job that may not use spot instances uses on-demand machines", demand: demandOf(wire.JobSpec{CPUs: 4}, 1),
			maxMachines: enough, want: []MachineRequest{{onDemand("small", "a"), 1}}},
		{name: "large tasks fit only on large machines", demand: demandOf(wire.JobSpec{CPUs: 8}, 5),
			maxMachines: enough, want: []MachineRequest{{onDemand("large", "a"), 2}}},
		{name: "booting machines are filled first", demand: demandOf(wire.JobSpec{CPUs: 2}, 3),
			booting: []placement.Resources{smallMachine}, maxMachines: enough, want: []MachineRequest{{onDemand("small", "a"), 1}}},
		{name: "no machine beyond the maximum", demand: demandOf(wire.JobSpec{CPUs: 4}, 5)},
		{name: "no machine at a blocked site", demand: demandOf(wire.JobSpec{CPUs: 4}, 1), blocked: "a",
			maxMachines: enough, want: []MachineRequest{{onDemand("small", "b"), 1}}},
		{name: "spread job uses two zones", demand: demandOf(wire.JobSpec{CPUs: 4, Spread: true, Tasks: 2}, 2),
			maxMachines: enough, want: []MachineRequest{{onDemand("small", "a"), 1}, {onDemand("small", "b"), 1}}},
		{name: "tasks that fill the heartbeats of a machine need another one", demand: demandOf(wire.JobSpec{CPUs: 0.001}, 1000),
			maxMachines: enough, want: []MachineRequest{{onDemand("small", "a"), 1}, {onDemand("small", "b"), 1}}},
		{name: "no machine for a task that fits on no type", demand: demandOf(wire.JobSpec{CPUs: 64}, 1), maxMachines: enough},
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
		p.AddCapacity(onDemand("small", "a"), smallMachine)
	}
	demand := demandOf(wire.JobSpec{CPUs: 2, MemoryGB: 1}, 10)
	for range jobs {
		p.Add(demand)
	}
	if most := 3 * (machines + jobs); p.BinsExamined > most {
		t.Errorf("examined %d bins, want at most %d", p.BinsExamined, most)
	}
	if full := p.firstBin[requirementsOf(demand)]; full != machines {
		t.Errorf("%d bins are skipped as full, want all %d", full, machines)
	}
}
