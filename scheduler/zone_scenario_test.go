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

// newZoneFaultSim is a random day with zone outages among all other faults.
func newZoneFaultSim(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed)
	s.capacity = 4
	s.enableZoneRecovery()
	return s
}

// runZoneFaults plays rounds of a random day, with a zone partitioned in every other one.
func (s *sim) runZoneFaults(rounds int) []ids.JobID {
	s.t.Helper()
	var all []ids.JobID
	for round := range rounds {
		for range 1 + s.rng.IntN(3) {
			id := ids.JobID(fmt.Sprintf("job-%03d", len(all)))
			s.submit(id, s.waitingSpec(all))
			all = append(all, id)
		}
		if s.rng.IntN(2) == 0 {
			s.partitionZone([]ids.Zone{"a", "b", "c"}[s.rng.IntN(3)], time.Duration(5+s.rng.IntN(70))*time.Second)
		}
		if round%3 == 0 {
			s.injectFault(all)
		}
		s.run(time.Duration(4+s.rng.IntN(20)) * time.Second)
		s.requireNoViolations()
	}
	return all
}

// zoneArray is an ordinary array for the tests of zones.
func zoneArray(tasks int) *wire.JobSpec {
	return &wire.JobSpec{Class: "c", Team: "gold", Priority: wire.Normal, Tasks: tasks, CPUs: 2, MemoryGB: 2, Image: "i", ImageGB: 1, EstimateS: 10}
}

// newZoneScenario is a day without other faults: zones a, b and c with machines for all work.
func newZoneScenario(t *testing.T, seed uint64, capacity int) *scenario {
	m := &scenario{sim: newSim(t, seed)}
	m.faults, m.capacity = false, capacity
	for i := range m.opt.Teams {
		m.opt.Teams[i].Limit.CPUs, m.opt.Teams[i].Nominal.CPUs = 400, 400
	}
	m.opt.MaxMachines, m.opt.IdleTimeout = 60, 10*time.Minute
	m.enableZoneRecovery()
	return m
}

// submitJob submits one job.
func (m *scenario) submitJob(spec *wire.JobSpec) ids.JobID {
	id := ids.JobID(fmt.Sprintf("job-%03d", len(m.all)))
	m.submit(id, spec)
	m.all = append(m.all, id)
	return id
}

// fillZones submits services and long arrays for all zones, and waits until they run.
func (m *scenario) fillZones() (services, arrays []ids.JobID) {
	m.runFactor = 20
	for _, zone := range []ids.Zone{"a", "b", "c", ""} {
		spec := zoneArray(10)
		spec.Zone = zone
		arrays = append(arrays, m.submitJob(spec))
	}
	for range 3 {
		spec := zoneArray(4)
		spec.Service, spec.Spread = true, true
		services = append(services, m.submitJob(spec))
	}
	m.run(40 * second)
	for _, zone := range []ids.Zone{"a", "b"} {
		if m.machinesIn(zone) < 3 {
			m.t.Fatalf("zone %s has only %d machines", zone, m.machinesIn(zone))
		}
	}
	return services, arrays
}

// machinesIn counts the machines of a zone that the core knows.
func (m *scenario) machinesIn(zone ids.Zone) int {
	n := 0
	for _, w := range m.core.cluster.Machines() {
		if w.Zone() == zone && w.Agent.HeardThisTerm {
			n++
		}
	}
	return n
}

// awaitCondition runs until a zone has a condition.
func (m *scenario) awaitCondition(zone ids.Zone, want zonerecovery.Condition, within time.Duration) {
	m.t.Helper()
	for end := m.now.Add(within); m.condition(zone) != want; {
		if m.now >= end {
			m.t.Fatalf("zone %s is %s after %v, not %s: %v", zone, m.condition(zone), within, want, m.zones.conditions[zone])
		}
		m.run(100 * time.Millisecond)
	}
}

// causeZoneOutage partitions a zone, and runs until that counts as an outage.
func (m *scenario) causeZoneOutage(zone ids.Zone, partition time.Duration) {
	m.t.Helper()
	m.partitionZone(zone, partition)
	m.awaitCondition(zone, zonerecovery.Outage, 30*second)
}

// statusOf is the status of a zone that operators see.
func (m *scenario) statusOf(zone ids.Zone) zonerecovery.Status {
	m.t.Helper()
	for _, st := range m.core.ZoneStatus(m.now) {
		if st.Zone == zone {
			return st
		}
	}
	m.t.Fatalf("no status of zone %s", zone)
	return zonerecovery.Status{}
}

// runToEnd checks that every job ends with no rule broken, and that none returned to a zone
// that displaced it more than once.
func (m *scenario) runToEnd() {
	m.t.Helper()
	m.runFactor = 1
	m.zones.partitionedUntil = map[ids.Zone]monotonic.Instant{}
	m.runToCompletion(m.all, 30*time.Minute)
	if m.zones.maxFailbacks > 1 {
		m.t.Errorf("a job returned %d times to a zone that displaced it", m.zones.maxFailbacks)
	}
}

// countPlaced counts the tasks of jobs on machines of zones without an outage.
func (m *scenario) countPlaced(jobs []ids.JobID) (placed, wanted int) {
	for _, id := range jobs {
		j := m.core.cluster.Job(id)
		wanted += len(j.Tasks()) - j.Done()
		for _, a := range j.Active() {
			if a.StopReason() == cluster.StopNone && m.condition(a.Machine.Zone()) != zonerecovery.Outage {
				placed++
			}
		}
	}
	return placed, wanted
}

// latestAttempts lists the newest latestAttempts of jobs' tasks.
func (m *scenario) latestAttempts(jobs []ids.JobID) map[ids.TaskRef]ids.Attempt {
	out := map[ids.TaskRef]ids.Attempt{}
	for _, id := range jobs {
		for i := range m.core.cluster.Job(id).Tasks() {
			out[ids.TaskRef{Job: id, Index: i}] = m.core.cluster.Job(id).Task(i).Attempt()
		}
	}
	return out
}

// leasesExpiredIn tells whether all leases in a zone have expired, so that its tasks are pending.
func (m *scenario) leasesExpiredIn(zone ids.Zone) bool {
	for _, w := range m.core.cluster.Machines() {
		if w.Zone() == zone && len(w.Assignments()) > 0 {
			return false
		}
	}
	return true
}

// runningOutside lists the attempts of a job's tasks that run outside a zone.
func (m *scenario) runningOutside(id ids.JobID, zone ids.Zone) map[ids.TaskRef]ids.Attempt {
	out := map[ids.TaskRef]ids.Attempt{}
	for _, a := range m.core.cluster.Job(id).Active() {
		if a.Machine.Zone() != zone && a.Run.Phase == wire.TaskRunning {
			out[a.Ref()] = a.Attempt
		}
	}
	return out
}

// startsIn counts the run commands that were carried out in a zone.
func (m *scenario) startsIn(zone ids.Zone) int {
	n := 0
	for _, id := range m.all {
		for _, p := range m.placements[id] {
			if p.worker.zone == zone {
				n++
			}
		}
	}
	return n
}
