package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// When a zone has an outage and the other zones are full, freed capacity must go to displaced
// services before arrays of the same priority, even if the arrays were submitted first.
func TestDisplacedServicesArePlacedBeforeArrays(t *testing.T) {
	simulation := newZoneScenario(t, 1, 3)
	services, arrays := simulation.fillZones()
	for range 24 { // one replica each, because a service that lost all replicas starts them together
		spec := zoneArray(1)
		spec.Service = true
		services = append(services, simulation.submitJob(spec))
	}
	simulation.run(60 * second)
	if placed, wanted := simulation.countPlaced(services); placed != wanted {
		t.Fatalf("%d of %d replicas are placed", placed, wanted)
	}
	services = services[3:] // without the spread services, which may not use every machine
	arrays = append(arrays, simulation.submitJob(zoneArray(200)))
	simulation.run(60 * second)
	simulation.core.autoscaler.settings.maxMachines = len(simulation.core.cluster.Machines())
	simulation.causeZoneOutage("b", 10*time.Minute)
	for !simulation.leasesExpiredIn("b") {
		simulation.run(100 * time.Millisecond)
	}
	simulation.run(second)
	attemptsBefore := simulation.latestAttempts(arrays)
	maxUnplaced := 0
	for end := simulation.now.Add(7 * time.Minute); ; simulation.run(100 * time.Millisecond) {
		placed, wanted := simulation.countPlaced(services)
		maxUnplaced = max(maxUnplaced, wanted-placed)
		if placed == wanted {
			break
		}
		if simulation.now >= end {
			t.Fatalf("only %d of %d replicas are placed", placed, wanted)
		}
		for ref, attempt := range simulation.latestAttempts(arrays) {
			if attemptsBefore[ref] < attempt {
				t.Fatalf("%s was placed while only %d of %d replicas are placed", ref, placed, wanted)
			}
		}
	}
	if maxUnplaced == 0 {
		t.Error("no replica had to wait, so the scenario does not test the order")
	}
	simulation.runToEnd()
}

// A zone recovers after part of an array that it displaced has completed in other zones. Completed
// tasks must not run again, and running tasks must not be moved back.
func TestPartlyCompletedArrayContinuesInOtherZones(t *testing.T) {
	simulation := newZoneScenario(t, 3, 4)
	simulation.runFactor = 3
	id := simulation.submitJob(zoneArray(60))
	simulation.run(30 * second)
	simulation.partitionZone("b", 60*second)
	simulation.run(60 * second)
	done := map[ids.TaskRef]bool{}
	for ref := range simulation.completed {
		done[ref] = true
	}
	starts := map[ids.TaskRef]int{}
	for _, p := range simulation.placements[id] {
		starts[p.task.ref]++
	}
	running := simulation.runningOutside(id, "b")
	if len(done) == 0 || len(done) == 60 || len(running) == 0 {
		t.Fatalf("%d tasks are done and %d run in other zones, want some of both", len(done), len(running))
	}
	simulation.awaitCondition("b", zonerecovery.Serving, 3*time.Minute)
	for ref, attempt := range running {
		if current := simulation.core.cluster.Job(id).Task(ref.Index).Assignment(); current != nil && current.Attempt != attempt {
			t.Errorf("%s was moved although it ran in another zone", ref)
		}
	}
	simulation.runToEnd()
	for _, p := range simulation.placements[id] {
		starts[p.task.ref]--
	}
	for ref := range done {
		if starts[ref] != 0 {
			t.Errorf("%s was started again although it had completed", ref)
		}
	}
}

// No task must be preempted in a zone that is on hold, because the preemptor may not start there.
func TestNothingIsPreemptedForAZoneOnHold(t *testing.T) {
	simulation := newZoneScenario(t, 13, 3)
	simulation.runFactor = 30
	lowPriority := zoneArray(300)
	lowPriority.Priority = wire.BestEffort
	simulation.submitJob(lowPriority)
	simulation.run(60 * second)
	simulation.core.autoscaler.settings.maxMachines = len(simulation.core.cluster.Machines())
	simulation.core.OverrideZone(simulation.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideHold})
	simulation.run(second)
	highPriority := zoneArray(4)
	highPriority.Zone, highPriority.Priority = "b", wire.High
	simulation.submitJob(highPriority)
	simulation.run(20 * second)
	if stopped := simulation.core.lifecycle.lostWork[cluster.StopPreempted].tasks; stopped > 0 {
		t.Errorf("%d tasks were preempted for a zone on hold", stopped)
	}
	simulation.core.OverrideZone(simulation.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideRelease})
	simulation.run(10 * second)
	if simulation.core.lifecycle.lostWork[cluster.StopPreempted].tasks == 0 {
		t.Error("no task was preempted after the release")
	}
	simulation.runToEnd()
}

// A job that may not use a zone because its failback budget is used up must not exclude similar
// jobs from the zone, even after the zone serves again. The search for machines reuses a failed
// result for equal requests, so the result for such a job must not be reused.
func TestFailbackDenialDoesNotExcludeSimilarJobs(t *testing.T) {
	simulation := newZoneScenario(t, 15, 3)
	simulation.fillZones()
	denied, similar := zoneArray(300), zoneArray(2)
	simulation.submitJob(denied)
	simulation.run(30 * second)
	simulation.core.autoscaler.settings.maxMachines = len(simulation.core.cluster.Machines())
	for range 2 {
		simulation.causeZoneOutage("b", 40*second)
		simulation.awaitCondition("b", zonerecovery.Serving, 3*time.Minute)
	}
	j := simulation.core.cluster.Job(simulation.all[len(simulation.all)-1])
	if len(j.Pending()) == 0 || !simulation.core.zones.manager.FailbackDenied(j.ID) {
		t.Fatal("the scenario does not deny the failback of the job")
	}
	id := simulation.submitJob(similar)
	before := len(simulation.placements[id])
	simulation.run(5 * second)
	if len(simulation.placements[id]) == before {
		t.Error("a similar job was not placed although it may use the zone")
	}
	simulation.runToEnd()
}
