package scheduler

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Heartbeats that were sent before a partition and arrive during it must not end the outage.
func TestDelayedHeartbeatsDoNotEndAZoneOutage(t *testing.T) {
	s := newZoneScenario(t, 8, 4)
	s.fillZones()
	var delayed []*wire.Heartbeat
	for _, id := range s.sortedMachineIDs() {
		if worker := s.workers[id]; worker.zone == "b" {
			heartbeat := worker.nextHeartbeat()
			worker.sequence++ // a newer message of the worker arrives before it
			delayed = append(delayed, heartbeat)
		}
	}
	s.run(5 * second)
	s.causeZoneOutage("b", 60*second)
	for range 10 {
		for _, heartbeat := range delayed {
			s.core.Heartbeat(s.now, heartbeat)
		}
		s.run(second)
		if c := s.condition("b"); c != zonerecovery.Outage {
			t.Fatalf("delayed heartbeats made the zone %s", c)
		}
		if st := s.statusOf("b"); st.Reachable != 0 {
			t.Fatalf("%d machines count as reachable", st.Reachable)
		}
	}
	s.runToEnd()
}

// A leader that can reach neither the key-value store nor its peers must not declare a zone outage:
// the missed heartbeats are then more likely caused by its own network.
func TestIsolatedLeaderDeclaresNoOutage(t *testing.T) {
	s := newZoneScenario(t, 11, 4)
	s.fillZones()
	s.zones.leaderIsolated = true
	s.partitionZone("a", 20*second)
	s.partitionZone("b", 20*second)
	s.run(18 * second)
	for _, zone := range []ids.Zone{"a", "b"} {
		if c := s.condition(zone); c != zonerecovery.Suspect {
			t.Errorf("zone %s is %s", zone, c)
		}
	}
	s.zones.leaderIsolated = false
	s.awaitCondition("a", zonerecovery.Serving, 30*second)
	if got := s.statusOf("a").Outages; got != 0 {
		t.Errorf("%d outages counted", got)
	}
	s.runToEnd()
}
