package scheduler

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Heartbeats from before a partition that come late do not end the outage.
func TestDelayedHeartbeatsDoNotEndAZoneOutage(t *testing.T) {
	m := newZoneScenario(t, 8, 4)
	m.fillZones()
	var late []*wire.Heartbeat
	for _, h := range m.sortedMachineIDs() {
		if w := m.workers[h]; w.zone == "b" {
			rep := w.nextHeartbeat()
			w.sequence++ // the newest of its messages has come before it
			late = append(late, rep)
		}
	}
	m.run(5 * second)
	m.causeZoneOutage("b", 60*second)
	for range 10 {
		for _, rep := range late {
			m.core.Heartbeat(m.now, rep)
		}
		m.run(second)
		if c := m.condition("b"); c != zonerecovery.Outage {
			t.Fatalf("delayed heartbeats made the zone %s", c)
		}
		if st := m.statusOf("b"); st.Reachable != 0 {
			t.Fatalf("%d machines count as reachable", st.Reachable)
		}
	}
	m.runToEnd()
}

// A leader that reaches neither the store nor its peers declares no zone outage.
func TestIsolatedLeaderDeclaresNoOutage(t *testing.T) {
	m := newZoneScenario(t, 11, 4)
	m.fillZones()
	m.zones.isolatedView = true
	m.partitionZone("a", 20*second)
	m.partitionZone("b", 20*second)
	m.run(18 * second)
	for _, zone := range []ids.Zone{"a", "b"} {
		if c := m.condition(zone); c != zonerecovery.Suspect {
			t.Errorf("zone %s is %s", zone, c)
		}
	}
	m.zones.isolatedView = false
	m.awaitCondition("a", zonerecovery.Serving, 30*second)
	if got := m.statusOf("a").Outages; got != 0 {
		t.Errorf("%d outages counted", got)
	}
	m.runToEnd()
}
