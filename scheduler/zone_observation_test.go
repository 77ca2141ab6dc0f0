package scheduler

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Heartbeats that were sent before a partition and arrive during it must not end the outage.
func TestDelayedHeartbeatsDoNotEndAZoneOutage(t *testing.T) {
	simulation := newZoneScenario(t, 8, 4)
	simulation.fillZones()
	var delayed []*wire.Heartbeat
	for _, id := range simulation.sortedMachineIDs() {
		if worker := simulation.workers[id]; worker.zone == "b" {
			heartbeat := worker.nextHeartbeat()
			worker.sequence++ // a newer message of the worker arrives before it
			delayed = append(delayed, heartbeat)
		}
	}
	simulation.run(5 * second)
	simulation.causeZoneOutage("b", 60*second)
	for range 10 {
		for _, heartbeat := range delayed {
			simulation.core.Heartbeat(simulation.now, heartbeat)
		}
		simulation.run(second)
		if c := simulation.condition("b"); c != zonerecovery.Outage {
			t.Fatalf("delayed heartbeats made the zone %s", c)
		}
		if st := simulation.statusOf("b"); st.Reachable != 0 {
			t.Fatalf("%d machines count as reachable", st.Reachable)
		}
	}
	simulation.runToEnd()
}

// A leader that can reach neither the key-value store nor its peers must not declare a zone outage:
// the missed heartbeats are then more likely caused by its own network.
func TestIsolatedLeaderDeclaresNoOutage(t *testing.T) {
	simulation := newZoneScenario(t, 11, 4)
	simulation.fillZones()
	simulation.zones.isolatedView = true
	simulation.partitionZone("a", 20*second)
	simulation.partitionZone("b", 20*second)
	simulation.run(18 * second)
	for _, zone := range []ids.Zone{"a", "b"} {
		if c := simulation.condition(zone); c != zonerecovery.Suspect {
			t.Errorf("zone %s is %s", zone, c)
		}
	}
	simulation.zones.isolatedView = false
	simulation.awaitCondition("a", zonerecovery.Serving, 30*second)
	if got := simulation.statusOf("a").Outages; got != 0 {
		t.Errorf("%d outages counted", got)
	}
	simulation.runToEnd()
}
