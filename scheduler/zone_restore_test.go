package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Where operators want the spread restored, replicas move back one at a time and within the
// service's budget, and arrays stay where they are.
func TestSpreadOfServicesIsRestored(t *testing.T) {
	m := newZoneScenario(t, 14, 4)
	m.opt.ZoneRecovery.Restore = zonerecovery.RestorePolicy{MovesPerMinute: 6, After: 20 * second, Budget: 2}
	m.failOver()
	m.previousCore = nil
	m.fillZones()
	service := zoneArray(6)
	service.Service = true
	id := m.submitJob(service)
	m.run(20 * second)
	before := servicePlacement(m.core.cluster.Job(id)).Running["b"]
	m.causeZoneOutage("b", 40*second)
	m.awaitCondition("b", zonerecovery.Serving, 2*time.Minute)
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
	m.runToEnd()
}
