package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/zonerecovery"
)

// If the policy restores the spread of services, replicas must move back one at a time and within
// the budget of the service, and tasks of arrays must not be moved.
func TestSpreadOfServicesIsRestored(t *testing.T) {
	s := newZoneScenario(t, 14, 4)
	s.opt.ZoneRecovery.Restore = zonerecovery.RestorePolicy{MovesPerMinute: 6, After: 20 * second, Budget: 2}
	s.failOver()
	s.previousCore = nil
	s.fillZones()
	service := zoneArray(6)
	service.Service = true
	id := s.submitJob(service)
	s.run(20 * second)
	before := servicePlacement(s.core.cluster.Job(id)).Running["b"]
	s.causeZoneOutage("b", 40*second)
	s.awaitCondition("b", zonerecovery.Serving, 2*time.Minute)
	down, moved := 0, 0
	for end := s.now.Add(2 * time.Minute); s.now < end; s.run(100 * time.Millisecond) {
		down = max(down, len(s.core.cluster.Job(id).Tasks())-len(s.core.cluster.Job(id).Active()))
		for _, incident := range s.statusOf("b").Incidents {
			moved = incident.RestoredReplicas
		}
	}
	if before == 0 || moved == 0 {
		t.Fatalf("%d replicas in the zone before, %d moved back, so the scenario does not test restores", before, moved)
	}
	if down > 1 {
		t.Errorf("%d replicas were down at the same time", down)
	}
	if entry := s.statusOf("b").Incidents; entry[len(entry)-1].RestoredReplicas > 2*4 {
		t.Errorf("%+v: more than two replicas of a service moved back", entry[len(entry)-1])
	}
	if stopped := s.core.lifecycle.lostWork[cluster.StopDrained].tasks; stopped > 0 {
		t.Errorf("%d tasks of arrays were moved", stopped)
	}
	s.runToEnd()
}
