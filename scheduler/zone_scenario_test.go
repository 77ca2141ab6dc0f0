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
			s.submit(id, s.randomSpecWithDependencies(jobs))
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
	s := &scenario{sim: newSim(t, seed)}
	s.faults, s.capacity = false, capacity
	for i := range s.opt.Teams {
		s.opt.Teams[i].Limit.CPUs, s.opt.Teams[i].Nominal.CPUs = 400, 400
	}
	s.opt.MaxMachines, s.opt.IdleTimeout = 60, 10*time.Minute
	s.enableZoneRecovery()
	return s
}

// submitJob submits a job and returns its ID.
func (s *scenario) submitJob(spec *wire.JobSpec) ids.JobID {
	id := ids.JobID(fmt.Sprintf("job-%03d", len(s.jobs)))
	s.submit(id, spec)
	s.jobs = append(s.jobs, id)
	return id
}

// fillZones submits services and long arrays for all zones, and waits until they run.
func (s *scenario) fillZones() (services, arrays []ids.JobID) {
	s.runTimeFactor = 20
	for _, zone := range []ids.Zone{"a", "b", "c", ""} {
		spec := zoneArray(10)
		spec.Zone = zone
		arrays = append(arrays, s.submitJob(spec))
	}
	for range 3 {
		spec := zoneArray(4)
		spec.Service, spec.Spread = true, true
		services = append(services, s.submitJob(spec))
	}
	s.run(40 * second)
	for _, zone := range []ids.Zone{"a", "b"} {
		if s.machinesIn(zone) < 3 {
			s.t.Fatalf("zone %s has only %d machines", zone, s.machinesIn(zone))
		}
	}
	return services, arrays
}

// machinesIn returns the number of machines of a zone that have sent a heartbeat to the leader.
func (s *scenario) machinesIn(zone ids.Zone) int {
	n := 0
	for _, machine := range s.core.cluster.Machines() {
		if machine.Zone() == zone && machine.Agent.HeartbeatThisTerm {
			n++
		}
	}
	return n
}

// awaitCondition runs until a zone has a condition, and fails the test if that takes too long.
func (s *scenario) awaitCondition(zone ids.Zone, want zonerecovery.Condition, within time.Duration) {
	s.t.Helper()
	for end := s.now.Add(within); s.condition(zone) != want; {
		if s.now >= end {
			s.t.Fatalf("zone %s is %s after %v, want %s: %v", zone, s.condition(zone), within, want, s.zones.conditions[zone])
		}
		s.run(100 * time.Millisecond)
	}
}

// causeZoneOutage partitions a zone, and runs until the zone counts as in outage.
func (s *scenario) causeZoneOutage(zone ids.Zone, partition time.Duration) {
	s.t.Helper()
	s.partitionZone(zone, partition)
	s.awaitCondition(zone, zonerecovery.Outage, 30*second)
}

// statusOf returns the status of a zone as reported to operators.
func (s *scenario) statusOf(zone ids.Zone) zonerecovery.Status {
	s.t.Helper()
	for _, st := range s.core.ZoneStatus(s.now) {
		if st.Zone == zone {
			return st
		}
	}
	s.t.Fatalf("no status of zone %s", zone)
	return zonerecovery.Status{}
}

// runToEnd checks that every job ends without a violation of an invariant, and that none returned
// more than once to a zone that displaced it.
func (s *scenario) runToEnd() {
	s.t.Helper()
	s.runTimeFactor = 1
	s.zones.partitionedUntil = map[ids.Zone]monotonic.Instant{}
	s.runToCompletion(s.jobs, 30*time.Minute)
	if s.zones.maxFailbacks > 1 {
		s.t.Errorf("a job returned %d times to a zone that displaced it", s.zones.maxFailbacks)
	}
}

// countPlaced returns the number of tasks of jobs on machines in zones without an outage, and the
// number of their tasks that have not completed.
func (s *scenario) countPlaced(jobs []ids.JobID) (placed, wanted int) {
	for _, id := range jobs {
		j := s.core.cluster.Job(id)
		wanted += len(j.Tasks()) - j.Done()
		for _, a := range j.Active() {
			if a.StopReason() == cluster.StopNone && s.condition(a.Machine.Zone()) != zonerecovery.Outage {
				placed++
			}
		}
	}
	return placed, wanted
}

// latestAttempts returns the latest attempt of each task of some jobs.
func (s *scenario) latestAttempts(jobs []ids.JobID) map[ids.TaskRef]ids.Attempt {
	attempts := map[ids.TaskRef]ids.Attempt{}
	for _, id := range jobs {
		for i := range s.core.cluster.Job(id).Tasks() {
			attempts[ids.TaskRef{Job: id, Index: i}] = s.core.cluster.Job(id).Task(i).Attempt()
		}
	}
	return attempts
}

// leasesExpiredIn reports whether all leases in a zone have expired, so that its tasks are pending.
func (s *scenario) leasesExpiredIn(zone ids.Zone) bool {
	for _, machine := range s.core.cluster.Machines() {
		if machine.Zone() == zone && len(machine.Assignments()) > 0 {
			return false
		}
	}
	return true
}

// runningOutside returns the attempts of the tasks of a job that run outside a zone.
func (s *scenario) runningOutside(id ids.JobID, zone ids.Zone) map[ids.TaskRef]ids.Attempt {
	attempts := map[ids.TaskRef]ids.Attempt{}
	for _, a := range s.core.cluster.Job(id).Active() {
		if a.Machine.Zone() != zone && a.Run.Phase == wire.TaskRunning {
			attempts[a.Ref()] = a.Attempt
		}
	}
	return attempts
}

// startsIn returns the number of run commands that were executed in a zone.
func (s *scenario) startsIn(zone ids.Zone) int {
	n := 0
	for _, id := range s.jobs {
		for _, p := range s.placements[id] {
			if p.worker.zone == zone {
				n++
			}
		}
	}
	return n
}
