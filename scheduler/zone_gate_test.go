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

// TestRulesWhileZonesRecover plays random days with zone outages and recoveries among all other
// faults: every rule holds, the recovery stays within its ramp-up, no job comes back to a zone
// that displaced it more than once in an incident, and in the end nothing waits.
func TestRulesWhileZonesRecover(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := zoneDay(t, seed)
			all := s.playZoneDay(30)
			s.zones.partitionedUntil = map[ids.Zone]monotonic.Instant{}
			s.runToCompletion(all, 20*time.Minute)
			s.checkCancelledDependents(all)
			if s.zones.bounces > s.opt.ZoneRecovery.FailbackBudget {
				t.Errorf("a job came back %d times to a zone that displaced it", s.zones.bounces)
			}
		})
	}
}

// Zone recovery iterates in fixed orders: the same events give the same decisions.
func TestZoneRecoveryIsDeterministic(t *testing.T) {
	for seed := range uint64(3) {
		var first string
		for play := range 3 {
			s := zoneDay(t, seed)
			s.playZoneDay(15)
			if got := s.digest.String(); play == 0 {
				first = got
			} else if got != first {
				t.Errorf("seed %d, play %d: %s, the first one %s", seed, play, got, first)
			}
		}
	}
}

// When a zone has an outage and the others are full, capacity that becomes free goes to services
// before arrays of their priority, although those were submitted first.
func TestServicesMoveBeforeArrays(t *testing.T) {
	m := calmZones(t, 1, 3)
	services, arrays := m.fillZones()
	for range 24 { // of one replica each: a service that lost all replicas starts them together
		spec := zoneArray(1)
		spec.Service = true
		services = append(services, m.submitJob(spec))
	}
	m.run(60 * second)
	if up, wanted := m.placed(services); up != wanted {
		t.Fatalf("%d of %d replicas are placed", up, wanted)
	}
	services = services[3:] // spread services may not use every machine
	arrays = append(arrays, m.submitJob(zoneArray(200)))
	m.run(60 * second)
	m.core.opt.MaxMachines = len(m.core.cluster.Machines())
	m.partitionZone("b", 10*time.Minute)
	m.await("b", zonerecovery.Outage, 30*second)
	for !m.leasesExpiredIn("b") {
		m.run(100 * time.Millisecond)
	}
	m.run(second)
	known := m.attempts(arrays)
	lost := 0
	for end := m.now.Add(7 * time.Minute); ; m.run(100 * time.Millisecond) {
		up, wanted := m.placed(services)
		lost = max(lost, wanted-up)
		if up == wanted {
			break
		}
		if m.now >= end {
			t.Fatalf("only %d of %d replicas are placed", up, wanted)
		}
		for ref, attempt := range m.attempts(arrays) {
			if known[ref] < attempt {
				t.Fatalf("%s was placed while %d of %d replicas are", ref, up, wanted)
			}
		}
	}
	if lost == 0 {
		t.Error("no replica had to wait: the day shows nothing")
	}
	m.endOfDay()
}

// A zone recovers while an array that it displaced is half done elsewhere: tasks that are done
// do not run again, and the others stay where they are.
func TestHalfDoneArrayGoesOnElsewhere(t *testing.T) {
	m := calmZones(t, 3, 4)
	m.runFactor = 3
	id := m.submitJob(zoneArray(60))
	m.run(30 * second)
	m.partitionZone("b", 60*second)
	m.run(60 * second)
	done := map[ids.TaskRef]bool{}
	for ref := range m.completed {
		done[ref] = true
	}
	starts := map[ids.TaskRef]int{}
	for _, p := range m.placements[id] {
		starts[p.task.ref]++
	}
	running := m.runningOutside(id, "b")
	if len(done) == 0 || len(done) == 60 || len(running) == 0 {
		t.Fatalf("%d tasks done, %d running elsewhere: not half done", len(done), len(running))
	}
	m.await("b", zonerecovery.Serving, 3*time.Minute)
	for ref, a := range running {
		if now := m.core.cluster.Job(id).Task(ref.Index).Assignment(); now != nil && now.Attempt != a {
			t.Errorf("%s was moved although it ran elsewhere", ref)
		}
	}
	m.endOfDay()
	for _, p := range m.placements[id] {
		starts[p.task.ref]--
	}
	for ref := range done {
		if starts[ref] != 0 {
			t.Errorf("%s was started again although it was done", ref)
		}
	}
}

// An operator holds a zone: nothing new starts there, the next leaders hold it too, and it
// serves once it is released.
func TestZoneHoldSurvivesAFailover(t *testing.T) {
	m := calmZones(t, 12, 4)
	m.fillZones()
	number, ok := m.core.OverrideZone(m.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideHold, Reason: "power works"})
	if !ok {
		t.Fatal("the override was rejected")
	}
	m.run(second)
	if !m.core.ZoneOverrideRecorded("b", number) {
		t.Fatal("the override was not recorded")
	}
	m.failOver()
	before := m.startsIn("b")
	m.runFactor = 1
	m.jobs(8, array)
	m.run(60 * second)
	if got := m.startsIn("b"); got != before {
		t.Errorf("%d tasks started in a zone on hold", got-before)
	}
	if st := m.statusOf("b"); st.Override != zonerecovery.OverrideHold {
		t.Errorf("after a failover: %+v", st)
	}
	m.core.OverrideZone(m.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideRelease})
	spec := zoneArray(2)
	spec.Zone = "b"
	m.submitJob(spec)
	m.run(30 * second)
	if m.startsIn("b") == before {
		t.Error("nothing started after the release")
	}
	m.endOfDay()
}

// No task is preempted in a zone where nothing may start.
func TestNothingIsPreemptedForAClosedZone(t *testing.T) {
	m := calmZones(t, 13, 3)
	m.runFactor = 30
	low := zoneArray(300)
	low.Priority = wire.BestEffort
	m.submitJob(low)
	m.run(60 * second)
	m.core.opt.MaxMachines = len(m.core.cluster.Machines())
	m.core.OverrideZone(m.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideHold})
	m.run(second)
	high := zoneArray(4)
	high.Zone, high.Priority = "b", wire.High
	m.submitJob(high)
	m.run(20 * second)
	if stopped := m.core.lifecycle.lostWork[cluster.StopPreempted].tasks; stopped > 0 {
		t.Errorf("%d tasks were preempted for a zone on hold", stopped)
	}
	m.core.OverrideZone(m.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideRelease})
	m.run(10 * second)
	if m.core.lifecycle.lostWork[cluster.StopPreempted].tasks == 0 {
		t.Error("none was preempted after the release")
	}
	m.endOfDay()
}

// Where operators want the spread restored, replicas move back one at a time and within the
// service's budget, and arrays stay where they are.
func TestSpreadOfServicesIsRestored(t *testing.T) {
	m := calmZones(t, 14, 4)
	m.opt.ZoneRecovery.Restore = zonerecovery.RestorePolicy{MovesPerMinute: 6, After: 20 * second, Budget: 2}
	m.failOver()
	m.previousCore = nil
	m.fillZones()
	service := zoneArray(6)
	service.Service = true
	id := m.submitJob(service)
	m.run(20 * second)
	before := servicePlacement(m.core.cluster.Job(id)).Running["b"]
	m.partitionZone("b", 40*second)
	m.await("b", zonerecovery.Outage, 30*second)
	m.await("b", zonerecovery.Serving, 2*time.Minute)
	down, moved := 0, 0
	for end := m.now.Add(2 * time.Minute); m.now < end; m.run(100 * time.Millisecond) {
		down = max(down, len(m.core.cluster.Job(id).Tasks())-len(m.core.cluster.Job(id).Active()))
		for _, incident := range m.statusOf("b").Incidents {
			moved = incident.RestoredReplicas
		}
	}
	if before == 0 || moved == 0 {
		t.Fatalf("%d replicas in the zone before, %d moved back: the day shows nothing", before, moved)
	}
	if down > 1 {
		t.Errorf("%d replicas were down at once", down)
	}
	if entry := m.statusOf("b").Incidents; entry[len(entry)-1].RestoredReplicas > 2*4 {
		t.Errorf("%+v: more than two replicas of a service", entry[len(entry)-1])
	}
	if stopped := m.core.lifecycle.lostWork[cluster.StopDrained].tasks; stopped > 0 {
		t.Errorf("%d tasks of arrays were moved", stopped)
	}
	m.endOfDay()
}
