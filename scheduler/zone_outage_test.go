package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/zonerecovery"
)

// The hold-down of a zone that flaps three times must grow with each outage up to its maximum, and
// no job may return to the zone more than once.
func TestFlappingZoneIsHeldDownLonger(t *testing.T) {
	simulation := newZoneScenario(t, 2, 4)
	simulation.fillZones()
	simulation.submitJob(zoneArray(300)) // more tasks than fit, so that some wait for any free resources
	simulation.run(30 * second)
	simulation.core.autoscaler.settings.maxMachines = len(simulation.core.cluster.Machines())
	var holdDowns []time.Duration
	for range 3 {
		simulation.causeZoneOutage("b", 45*second)
		simulation.run(simulation.zones.partitionedUntil["b"].Sub(simulation.now))
		partitionEndedAt := simulation.now
		simulation.awaitCondition("b", zonerecovery.Recovering, 60*second)
		holdDowns = append(holdDowns, simulation.now.Sub(partitionEndedAt))
		simulation.awaitCondition("b", zonerecovery.Serving, 60*second)
		simulation.run(30 * second)
	}
	if holdDowns[1] < 2*holdDowns[0] || holdDowns[2] < 2*holdDowns[1] {
		t.Errorf("held down for %v", holdDowns)
	}
	if holdDowns[2] > simulation.opt.ZoneRecovery.MaxHoldDown+5*second {
		t.Errorf("held down for %v, more than the maximum", holdDowns[2])
	}
	if got := simulation.statusOf("b").Outages; got != 3 {
		t.Errorf("%d outages counted", got)
	}
	if simulation.zones.displaced == 0 || simulation.zones.failbacks == 0 {
		t.Errorf("%d tasks displaced, %d jobs returned, so the scenario does not test failbacks", simulation.zones.displaced, simulation.zones.failbacks)
	}
	simulation.runToEnd()
}

// After another outage during a step of its recovery and a longer hold-down, a zone must begin its
// next recovery with the probe.
func TestZoneOutageDuringItsRecovery(t *testing.T) {
	simulation := newZoneScenario(t, 4, 4)
	simulation.fillZones()
	simulation.partitionZone("b", 40*second)
	simulation.awaitCondition("b", zonerecovery.Recovering, 90*second)
	simulation.jobs(6, array)
	for simulation.statusOf("b").Step < 1 {
		simulation.run(100 * time.Millisecond)
	}
	simulation.causeZoneOutage("b", 40*second)
	simulation.awaitCondition("b", zonerecovery.Recovering, 90*second)
	if st := simulation.statusOf("b"); st.Step != 0 || st.Outages != 2 {
		t.Errorf("the second recovery began at step %d after %d outages", st.Step, st.Outages)
	}
	simulation.runToEnd()
}

// Most machines of a zone remain partitioned after an outage. The zone must serve with the others,
// and the machines that remain partitioned must not make it suspect.
func TestZoneRecoversWithSomeOfItsMachines(t *testing.T) {
	simulation := newZoneScenario(t, 5, 4)
	simulation.fillZones()
	simulation.partitionZone("b", 35*second)
	index := 0
	for _, id := range simulation.sortedMachineIDs() {
		if worker := simulation.workers[id]; worker.zone == "b" {
			if index++; index%3 != 0 {
				worker.partitionedUntil = simulation.in(20 * time.Minute)
			}
		}
	}
	simulation.awaitCondition("b", zonerecovery.Outage, 30*second)
	simulation.awaitCondition("b", zonerecovery.Recovering, 60*second)
	simulation.awaitCondition("b", zonerecovery.Serving, 60*second)
	simulation.run(60 * second)
	if c := simulation.condition("b"); c != zonerecovery.Serving {
		t.Errorf("the zone is %s: %v", c, simulation.zones.conditions["b"])
	}
	simulation.runToEnd()
}

// The outages of two zones overlap. Each zone must recover on its own, and tasks that the second
// outage displaces must not wait for the recovery of the first zone.
func TestOverlappingOutagesOfTwoZones(t *testing.T) {
	simulation := newZoneScenario(t, 9, 4)
	simulation.fillZones()
	simulation.partitionZone("a", 60*second)
	simulation.run(25 * second)
	simulation.causeZoneOutage("b", 60*second)
	if c := simulation.condition("a"); c != zonerecovery.Outage {
		t.Fatalf("zone a is %s", c)
	}
	simulation.awaitCondition("a", zonerecovery.Serving, 2*time.Minute)
	simulation.awaitCondition("b", zonerecovery.Serving, 2*time.Minute)
	simulation.runToEnd()
}

// All zones but one have an outage, and a team's nominal quota does not fit into the last one.
// Services must get its capacity, no limit may be exceeded, and all jobs must continue after the
// zones recover.
func TestOutageOfAllZonesButOne(t *testing.T) {
	simulation := newZoneScenario(t, 10, 3)
	services, _ := simulation.fillZones()
	simulation.partitionZone("a", 90*second)
	simulation.partitionZone("b", 100*second)
	simulation.awaitCondition("a", zonerecovery.Outage, 30*second)
	simulation.awaitCondition("b", zonerecovery.Outage, 30*second)
	simulation.run(60 * second)
	if c := simulation.condition("c"); c != zonerecovery.Serving {
		t.Errorf("the last zone is %s", c)
	}
	// The spread of services permits half of the replicas in the remaining zone.
	if up, wanted := simulation.countPlaced(services); up < wanted/2 {
		t.Errorf("%d of %d replicas are placed", up, wanted)
	}
	simulation.awaitCondition("a", zonerecovery.Serving, 2*time.Minute)
	simulation.awaitCondition("b", zonerecovery.Serving, 2*time.Minute)
	simulation.runToEnd()
}
