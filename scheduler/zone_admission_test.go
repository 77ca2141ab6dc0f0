package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// When a zone has an outage and the others are full, capacity that becomes free goes to services
// before arrays of their priority, although those were submitted first.
func TestDisplacedServicesArePlacedBeforeArrays(t *testing.T) {
	m := newZoneScenario(t, 1, 3)
	services, arrays := m.fillZones()
	for range 24 { // of one replica each: a service that lost all replicas starts them together
		spec := zoneArray(1)
		spec.Service = true
		services = append(services, m.submitJob(spec))
	}
	m.run(60 * second)
	if up, wanted := m.countPlaced(services); up != wanted {
		t.Fatalf("%d of %d replicas are placed", up, wanted)
	}
	services = services[3:] // spread services may not use every machine
	arrays = append(arrays, m.submitJob(zoneArray(200)))
	m.run(60 * second)
	m.core.autoscaler.settings.maxMachines = len(m.core.cluster.Machines())
	m.causeZoneOutage("b", 10*time.Minute)
	for !m.leasesExpiredIn("b") {
		m.run(100 * time.Millisecond)
	}
	m.run(second)
	known := m.latestAttempts(arrays)
	lost := 0
	for end := m.now.Add(7 * time.Minute); ; m.run(100 * time.Millisecond) {
		up, wanted := m.countPlaced(services)
		lost = max(lost, wanted-up)
		if up == wanted {
			break
		}
		if m.now >= end {
			t.Fatalf("only %d of %d replicas are placed", up, wanted)
		}
		for ref, attempt := range m.latestAttempts(arrays) {
			if known[ref] < attempt {
				t.Fatalf("%s was placed while %d of %d replicas are", ref, up, wanted)
			}
		}
	}
	if lost == 0 {
		t.Error("no replica had to wait: the day shows nothing")
	}
	m.runToEnd()
}

// A zone recovers while an array that it displaced is half done elsewhere: tasks that are done
// do not run again, and the others stay where they are.
func TestPartlyCompletedArrayContinuesInOtherZones(t *testing.T) {
	m := newZoneScenario(t, 3, 4)
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
	m.awaitCondition("b", zonerecovery.Serving, 3*time.Minute)
	for ref, a := range running {
		if now := m.core.cluster.Job(id).Task(ref.Index).Assignment(); now != nil && now.Attempt != a {
			t.Errorf("%s was moved although it ran elsewhere", ref)
		}
	}
	m.runToEnd()
	for _, p := range m.placements[id] {
		starts[p.task.ref]--
	}
	for ref := range done {
		if starts[ref] != 0 {
			t.Errorf("%s was started again although it was done", ref)
		}
	}
}

// No task is preempted in a zone where nothing may start.
func TestNothingIsPreemptedForAZoneOnHold(t *testing.T) {
	m := newZoneScenario(t, 13, 3)
	m.runFactor = 30
	low := zoneArray(300)
	low.Priority = wire.BestEffort
	m.submitJob(low)
	m.run(60 * second)
	m.core.autoscaler.settings.maxMachines = len(m.core.cluster.Machines())
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
	m.runToEnd()
}

// A job that may not use a zone because of its earlier moves does not exclude others like it,
// also once the zone serves again.
func TestFailbackDenialDoesNotExcludeSimilarJobs(t *testing.T) {
	m := newZoneScenario(t, 15, 3)
	m.fillZones()
	restricted, free := zoneArray(300), zoneArray(2)
	m.submitJob(restricted)
	m.run(30 * second)
	m.core.autoscaler.settings.maxMachines = len(m.core.cluster.Machines())
	for range 2 {
		m.causeZoneOutage("b", 40*second)
		m.awaitCondition("b", zonerecovery.Serving, 3*time.Minute)
	}
	j := m.core.cluster.Job(m.all[len(m.all)-1])
	if len(j.Pending()) == 0 || !m.core.zones.manager.FailbackDenied(j.ID) {
		t.Fatal("the day does not restrict the job")
	}
	id := m.submitJob(free)
	before := len(m.placements[id])
	m.run(5 * second)
	if len(m.placements[id]) == before {
		t.Error("a job like it was not placed although the zone is open to it")
	}
	m.runToEnd()
}
