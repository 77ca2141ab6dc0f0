package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/zonerecovery"
)

// A zone that flaps three times is held down longer each time, and no job returns to it
// more than once.
func TestFlappingZoneIsHeldDownLonger(t *testing.T) {
	m := newZoneScenario(t, 2, 4)
	m.fillZones()
	m.submitJob(zoneArray(300)) // waits for every place
	m.run(30 * second)
	m.core.autoscaler.settings.maxMachines = len(m.core.cluster.Machines())
	var held []time.Duration
	for range 3 {
		m.causeZoneOutage("b", 45*second)
		m.run(m.zones.partitionedUntil["b"].Sub(m.now))
		back := m.now
		m.awaitCondition("b", zonerecovery.Recovering, 60*second)
		held = append(held, m.now.Sub(back))
		m.awaitCondition("b", zonerecovery.Serving, 60*second)
		m.run(30 * second)
	}
	if held[1] < 2*held[0] || held[2] < 2*held[1] {
		t.Errorf("held down for %v", held)
	}
	if held[2] > m.opt.ZoneRecovery.MaxHoldDown+5*second {
		t.Errorf("held down for %v, more than the longest", held[2])
	}
	if got := m.statusOf("b").Outages; got != 3 {
		t.Errorf("%d outages counted", got)
	}
	if m.zones.displaced == 0 || m.zones.failbacks == 0 {
		t.Errorf("%d tasks displaced, %d jobs returned: the day shows nothing", m.zones.displaced, m.zones.failbacks)
	}
	m.runToEnd()
}

// A zone with another outage in the middle of a step begins its next recovery with the probe,
// after a longer hold-down.
func TestZoneOutageDuringItsRecovery(t *testing.T) {
	m := newZoneScenario(t, 4, 4)
	m.fillZones()
	m.partitionZone("b", 40*second)
	m.awaitCondition("b", zonerecovery.Recovering, 90*second)
	m.jobs(6, array)
	for m.statusOf("b").Step < 1 {
		m.run(100 * time.Millisecond)
	}
	m.causeZoneOutage("b", 40*second)
	m.awaitCondition("b", zonerecovery.Recovering, 90*second)
	if st := m.statusOf("b"); st.Step != 0 || st.Outages != 2 {
		t.Errorf("the second recovery began at step %d after %d outages", st.Step, st.Outages)
	}
	m.runToEnd()
}

// Most machines of a zone stay partitioned: it serves with those that come back, and the others
// do not make it suspect.
func TestZoneRecoversWithSomeOfItsMachines(t *testing.T) {
	m := newZoneScenario(t, 5, 4)
	m.fillZones()
	m.partitionZone("b", 35*second)
	kept := 0
	for _, h := range m.sortedMachineIDs() {
		if w := m.workers[h]; w.zone == "b" {
			if kept++; kept%3 != 0 {
				w.partitionedUntil = m.in(20 * time.Minute)
			}
		}
	}
	m.awaitCondition("b", zonerecovery.Outage, 30*second)
	m.awaitCondition("b", zonerecovery.Recovering, 60*second)
	m.awaitCondition("b", zonerecovery.Serving, 60*second)
	m.run(60 * second)
	if c := m.condition("b"); c != zonerecovery.Serving {
		t.Errorf("the zone is %s: %v", c, m.zones.conditions["b"])
	}
	m.runToEnd()
}

// Two zones have outages in turn: each has its own recovery, and tasks that the second displaces
// do not wait for the first.
func TestOverlappingOutagesOfTwoZones(t *testing.T) {
	m := newZoneScenario(t, 9, 4)
	m.fillZones()
	m.partitionZone("a", 60*second)
	m.run(25 * second)
	m.causeZoneOutage("b", 60*second)
	if c := m.condition("a"); c != zonerecovery.Outage {
		t.Fatalf("zone a is %s", c)
	}
	m.awaitCondition("a", zonerecovery.Serving, 2*time.Minute)
	m.awaitCondition("b", zonerecovery.Serving, 2*time.Minute)
	m.runToEnd()
}

// All zones but one have an outage, and a team's nominal quota does not fit into the last one:
// services get its capacity, no limit is exceeded, and all goes on once zones recover.
func TestOutageOfAllZonesButOne(t *testing.T) {
	m := newZoneScenario(t, 10, 3)
	services, _ := m.fillZones()
	m.partitionZone("a", 90*second)
	m.partitionZone("b", 100*second)
	m.awaitCondition("a", zonerecovery.Outage, 30*second)
	m.awaitCondition("b", zonerecovery.Outage, 30*second)
	m.run(60 * second)
	if c := m.condition("c"); c != zonerecovery.Serving {
		t.Errorf("the last zone is %s", c)
	}
	// By spread, half of the replicas may be in the zone that is left.
	if up, wanted := m.countPlaced(services); up < wanted/2 {
		t.Errorf("%d of %d replicas are placed", up, wanted)
	}
	m.awaitCondition("a", zonerecovery.Serving, 2*time.Minute)
	m.awaitCondition("b", zonerecovery.Serving, 2*time.Minute)
	m.runToEnd()
}
