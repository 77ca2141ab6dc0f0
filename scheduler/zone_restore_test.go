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
	simulation := newZoneScenario(t, 14, 4)
	simulation.opt.ZoneRecovery.Restore = zonerecovery.RestorePolicy{MovesPerMinute: 6, After: 20 * second, Budget: 2}
	simulation.failOver()
	simulation.previousCore = nil
	simulation.fillZones()
	service := zoneArray(6)
	service.Service = true
	id := simulation.submitJob(service)
	simulation.run(20 * second)
	before := servicePlacement(simulation.core.cluster.Job(id)).Running["b"]
	simulation.causeZoneOutage("b", 40*second)
	simulation.awaitCondition("b", zonerecovery.Serving, 2*time.Minute)
	down, moved := 0, 0
	for end := simulation.now.Add(2 * time.Minute); simulation.now < end; simulation.run(100 * time.Millisecond) {
		down = max(down, len(simulation.core.cluster.Job(id).Tasks())-len(simulation.core.cluster.Job(id).Active()))
		for _, incident := range simulation.statusOf("b").Incidents {
			moved = incident.RestoredReplicas
		}
	}
	if before == 0 || moved == 0 {
		t.Fatalf("%d replicas in the zone before, %d moved back, so the scenario does not test restores", before, moved)
	}
	if down > 1 {
		t.Errorf("%d replicas were down at the same time", down)
	}
	if entry := simulation.statusOf("b").Incidents; entry[len(entry)-1].RestoredReplicas > 2*4 {
		t.Errorf("%+v: more than two replicas of a service moved back", entry[len(entry)-1])
	}
	if stopped := simulation.core.lifecycle.lostWork[cluster.StopDrained].tasks; stopped > 0 {
		t.Errorf("%d tasks of arrays were moved", stopped)
	}
	simulation.runToEnd()
}
