package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// newZoneFaultSim returns a random simulation for zone outages among all other faults.
func newZoneFaultSim(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed)
	s.capacity = 4
	s.enableZoneRecovery()
	return s
}

// runZoneFaults runs rounds of random jobs and faults, and partitions a zone in about every other
// round. It returns the submitted jobs.
func (s *sim) runZoneFaults(rounds int) []ids.JobID {
	s.t.Helper()
	var jobs []ids.JobID
	for round := range rounds {
		for range 1 + s.rng.IntN(3) {
			id := ids.JobID(fmt.Sprintf("job-%03d", len(jobs)))
			s.submit(id, s.waitingSpec(jobs))
			jobs = append(jobs, id)
		}
		if s.rng.IntN(2) == 0 {
			s.partitionZone([]ids.Zone{"a", "b", "c"}[s.rng.IntN(3)], time.Duration(5+s.rng.IntN(70))*time.Second)
		}
		if round%3 == 0 {
			s.injectFault(jobs)
		}
		s.run(time.Duration(4+s.rng.IntN(20)) * time.Second)
		s.requireNoViolations()
	}
	return jobs
}

// zoneArray returns the spec of an array with ordinary settings.
func zoneArray(tasks int) *wire.JobSpec {
	return &wire.JobSpec{Class: "c", Team: "gold", Priority: wire.Normal, Tasks: tasks, CPUs: 2, MemoryGB: 2, Image: "i", ImageGB: 1, EstimateS: 10}
}

// newZoneScenario returns a scenario without random faults. Zones a, b and c have machines for all
// jobs.
func newZoneScenario(t *testing.T, seed uint64, capacity int) *scenario {
	simulation := &scenario{sim: newSim(t, seed)}
	simulation.faults, simulation.capacity = false, capacity
	for i := range simulation.opt.Teams {
		simulation.opt.Teams[i].Limit.CPUs, simulation.opt.Teams[i].Nominal.CPUs = 400, 400
	}
	simulation.opt.MaxMachines, simulation.opt.IdleTimeout = 60, 10*time.Minute
	simulation.enableZoneRecovery()
	return simulation
}

// submitJob submits a job and returns its ID.
func (simulation *scenario) submitJob(spec *wire.JobSpec) ids.JobID {
	id := ids.JobID(fmt.Sprintf("job-%03d", len(simulation.all)))
	simulation.submit(id, spec)
	simulation.all = append(simulation.all, id)
	return id
}

// fillZones submits services and long arrays for all zones, and waits until they run.
func (simulation *scenario) fillZones() (services, arrays []ids.JobID) {
	simulation.runFactor = 20
	for _, zone := range []ids.Zone{"a", "b", "c", ""} {
		spec := zoneArray(10)
		spec.Zone = zone
		arrays = append(arrays, simulation.submitJob(spec))
	}
	for range 3 {
		spec := zoneArray(4)
		spec.Service, spec.Spread = true, true
		services = append(services, simulation.submitJob(spec))
	}
	simulation.run(40 * second)
	for _, zone := range []ids.Zone{"a", "b"} {
		if simulation.machinesIn(zone) < 3 {
			simulation.t.Fatalf("zone %s has only %d machines", zone, simulation.machinesIn(zone))
		}
	}
	return services, arrays
}

// machinesIn returns the number of machines of a zone that have sent a heartbeat to the leader.
func (simulation *scenario) machinesIn(zone ids.Zone) int {
	n := 0
	for _, machine := range simulation.core.cluster.Machines() {
		if machine.Zone() == zone && machine.Agent.HeartbeatThisTerm {
			n++
		}
	}
	return n
}

// awaitCondition runs until a zone has a condition, and fails the test if that takes too long.
func (simulation *scenario) awaitCondition(zone ids.Zone, want zonerecovery.Condition, within time.Duration) {
	simulation.t.Helper()
	for end := simulation.now.Add(within); simulation.condition(zone) != want; {
		if simulation.now >= end {
			simulation.t.Fatalf("zone %s is %s after %v, want %s: %v", zone, simulation.condition(zone), within, want, simulation.zones.conditions[zone])
		}
		simulation.run(100 * time.Millisecond)
	}
}

// causeZoneOutage partitions a zone, and runs until the zone counts as in outage.
func (simulation *scenario) causeZoneOutage(zone ids.Zone, partition time.Duration) {
	simulation.t.Helper()
	simulation.partitionZone(zone, partition)
	simulation.awaitCondition(zone, zonerecovery.Outage, 30*second)
}

// statusOf returns the status of a zone as reported to operators.
func (simulation *scenario) statusOf(zone ids.Zone) zonerecovery.Status {
	simulation.t.Helper()
	for _, st := range simulation.core.ZoneStatus(simulation.now) {
		if st.Zone == zone {
			return st
		}
	}
	simulation.t.Fatalf("no status of zone %s", zone)
	return zonerecovery.Status{}
}

// runToEnd checks that every job ends without a violation of an invariant, and that none returned
// more than once to a zone that displaced it.
func (simulation *scenario) runToEnd() {
	simulation.t.Helper()
	simulation.runFactor = 1
	simulation.zones.partitionedUntil = map[ids.Zone]monotonic.Instant{}
	simulation.runToCompletion(simulation.all, 30*time.Minute)
	if simulation.zones.maxFailbacks > 1 {
		simulation.t.Errorf("a job returned %d times to a zone that displaced it", simulation.zones.maxFailbacks)
	}
}

// countPlaced returns the number of tasks of jobs on machines in zones without an outage, and the
// number of their tasks that have not completed.
func (simulation *scenario) countPlaced(jobs []ids.JobID) (placed, wanted int) {
	for _, id := range jobs {
		j := simulation.core.cluster.Job(id)
		wanted += len(j.Tasks()) - j.Done()
		for _, a := range j.Active() {
			if a.StopReason() == cluster.StopNone && simulation.condition(a.Machine.Zone()) != zonerecovery.Outage {
				placed++
			}
		}
	}
	return placed, wanted
}

// latestAttempts returns the latest attempt of each task of some jobs.
func (simulation *scenario) latestAttempts(jobs []ids.JobID) map[ids.TaskRef]ids.Attempt {
	attempts := map[ids.TaskRef]ids.Attempt{}
	for _, id := range jobs {
		for i := range simulation.core.cluster.Job(id).Tasks() {
			attempts[ids.TaskRef{Job: id, Index: i}] = simulation.core.cluster.Job(id).Task(i).Attempt()
		}
	}
	return attempts
}

// leasesExpiredIn reports whether all leases in a zone have expired, so that its tasks are pending.
func (simulation *scenario) leasesExpiredIn(zone ids.Zone) bool {
	for _, machine := range simulation.core.cluster.Machines() {
		if machine.Zone() == zone && len(machine.Assignments()) > 0 {
			return false
		}
	}
	return true
}

// runningOutside returns the attempts of the tasks of a job that run outside a zone.
func (simulation *scenario) runningOutside(id ids.JobID, zone ids.Zone) map[ids.TaskRef]ids.Attempt {
	attempts := map[ids.TaskRef]ids.Attempt{}
	for _, a := range simulation.core.cluster.Job(id).Active() {
		if a.Machine.Zone() != zone && a.Run.Phase == wire.TaskRunning {
			attempts[a.Ref()] = a.Attempt
		}
	}
	return attempts
}

// startsIn returns the number of run commands that were executed in a zone.
func (simulation *scenario) startsIn(zone ids.Zone) int {
	n := 0
	for _, id := range simulation.all {
		for _, p := range simulation.placements[id] {
			if p.worker.zone == zone {
				n++
			}
		}
	}
	return n
}
