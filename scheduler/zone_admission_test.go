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
	s := newZoneScenario(t, 1, 3)
	services, arrays := s.fillZones()
	for range 24 { // one replica each, because a service that lost all replicas starts them together
		spec := zoneArray(1)
		spec.Service = true
		services = append(services, s.submitJob(spec))
	}
	s.run(60 * second)
	if placed, wanted := s.countPlaced(services); placed != wanted {
		t.Fatalf("%d of %d replicas are placed", placed, wanted)
	}
	services = services[3:] // without the spread services, which may not use every machine
	arrays = append(arrays, s.submitJob(zoneArray(200)))
	s.run(60 * second)
	s.core.autoscaler.settings.maxMachines = len(s.core.cluster.Machines())
	s.causeZoneOutage("b", 10*time.Minute)
	for !s.leasesExpiredIn("b") {
		s.run(100 * time.Millisecond)
	}
	s.run(second)
	attemptsBefore := s.latestAttempts(arrays)
	maxUnplaced := 0
	for end := s.now.Add(7 * time.Minute); ; s.run(100 * time.Millisecond) {
		placed, wanted := s.countPlaced(services)
		maxUnplaced = max(maxUnplaced, wanted-placed)
		if placed == wanted {
			break
		}
		if s.now >= end {
			t.Fatalf("only %d of %d replicas are placed", placed, wanted)
		}
		for ref, attempt := range s.latestAttempts(arrays) {
			if attemptsBefore[ref] < attempt {
				t.Fatalf("%s was placed while only %d of %d replicas are placed", ref, placed, wanted)
			}
		}
	}
	if maxUnplaced == 0 {
		t.Error("no replica had to wait, so the scenario does not test the order")
	}
	s.runToEnd()
}

// A zone recovers after part of an array that it displaced has completed in other zones. Completed
// tasks must not run again, and running tasks must not be moved back.
func TestPartlyCompletedArrayContinuesInOtherZones(t *testing.T) {
	s := newZoneScenario(t, 3, 4)
	s.runTimeFactor = 3
	id := s.submitJob(zoneArray(60))
	s.run(30 * second)
	s.partitionZone("b", 60*second)
	s.run(60 * second)
	done := map[ids.TaskRef]bool{}
	for ref := range s.completed {
		done[ref] = true
	}
	starts := map[ids.TaskRef]int{}
	for _, p := range s.placements[id] {
		starts[p.task.ref]++
	}
	running := s.runningOutside(id, "b")
	if len(done) == 0 || len(done) == 60 || len(running) == 0 {
		t.Fatalf("%d tasks are done and %d run in other zones, want some of both", len(done), len(running))
	}
	s.awaitCondition("b", zonerecovery.Serving, 3*time.Minute)
	for ref, attempt := range running {
		if current := s.core.cluster.Job(id).Task(ref.Index).Assignment(); current != nil && current.Attempt != attempt {
			t.Errorf("%s was moved although it ran in another zone", ref)
		}
	}
	s.runToEnd()
	for _, p := range s.placements[id] {
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
	s := newZoneScenario(t, 13, 3)
	s.runTimeFactor = 30
	lowPriority := zoneArray(300)
	lowPriority.Priority = wire.BestEffort
	s.submitJob(lowPriority)
	s.run(60 * second)
	s.core.autoscaler.settings.maxMachines = len(s.core.cluster.Machines())
	s.core.OverrideZone(s.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideHold})
	s.run(second)
	highPriority := zoneArray(4)
	highPriority.Zone, highPriority.Priority = "b", wire.High
	s.submitJob(highPriority)
	s.run(20 * second)
	if stopped := s.core.lifecycle.lostWork[cluster.StopPreempted].tasks; stopped > 0 {
		t.Errorf("%d tasks were preempted for a zone on hold", stopped)
	}
	s.core.OverrideZone(s.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideRelease})
	s.run(10 * second)
	if s.core.lifecycle.lostWork[cluster.StopPreempted].tasks == 0 {
		t.Error("no task was preempted after the release")
	}
	s.runToEnd()
}

// A job that may not use a zone because its failback budget is used up must not exclude similar
// jobs from the zone, even after the zone serves again. The search for machines reuses a failed
// result for equal requests, so the result for such a job must not be reused.
func TestFailbackDenialDoesNotExcludeSimilarJobs(t *testing.T) {
	s := newZoneScenario(t, 15, 3)
	s.fillZones()
	denied, similar := zoneArray(300), zoneArray(2)
	s.submitJob(denied)
	s.run(30 * second)
	s.core.autoscaler.settings.maxMachines = len(s.core.cluster.Machines())
	for range 2 {
		s.causeZoneOutage("b", 40*second)
		s.awaitCondition("b", zonerecovery.Serving, 3*time.Minute)
	}
	j := s.core.cluster.Job(s.jobs[len(s.jobs)-1])
	if len(j.Pending()) == 0 || !s.core.zones.manager.FailbackDenied(j.ID) {
		t.Fatal("the scenario does not deny the failback of the job")
	}
	id := s.submitJob(similar)
	before := len(s.placements[id])
	s.run(5 * second)
	if len(s.placements[id]) == before {
		t.Error("a similar job was not placed although it may use the zone")
	}
	s.runToEnd()
}
