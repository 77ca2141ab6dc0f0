package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/zonerecovery"
)

// The hold-down of a zone that flaps three times must grow with each outage up to its maximum, and
// no job may return to the zone more than once.
func TestFlappingZoneIsHeldDownLonger(t *testing.T) {
	s := newZoneScenario(t, 2, 4)
	s.fillZones()
	s.submitJob(zoneArray(300)) // more tasks than fit, so that some wait for any free resources
	s.run(30 * second)
	s.core.autoscaler.settings.maxMachines = len(s.core.cluster.Machines())
	var holdDowns []time.Duration
	for range 3 {
		s.causeZoneOutage("b", 45*second)
		s.run(s.zones.partitionedUntil["b"].Sub(s.now))
		partitionEndedAt := s.now
		s.awaitCondition("b", zonerecovery.Recovering, 60*second)
		holdDowns = append(holdDowns, s.now.Sub(partitionEndedAt))
		s.awaitCondition("b", zonerecovery.Serving, 60*second)
		s.run(30 * second)
	}
	if holdDowns[1] < 2*holdDowns[0] || holdDowns[2] < 2*holdDowns[1] {
		t.Errorf("held down for %v", holdDowns)
	}
	if holdDowns[2] > s.opt.ZoneRecovery.MaxHoldDown+5*second {
		t.Errorf("held down for %v, more than the maximum", holdDowns[2])
	}
	if got := s.statusOf("b").Outages; got != 3 {
		t.Errorf("%d outages counted", got)
	}
	if s.zones.displaced == 0 || s.zones.failbacks == 0 {
		t.Errorf("%d tasks displaced, %d jobs returned, so the scenario does not test failbacks", s.zones.displaced, s.zones.failbacks)
	}
	s.runToEnd()
}

// After another outage during a step of its recovery and a longer hold-down, a zone must begin its
// next recovery with the probe.
func TestZoneOutageDuringItsRecovery(t *testing.T) {
	s := newZoneScenario(t, 4, 4)
	s.fillZones()
	s.partitionZone("b", 40*second)
	s.awaitCondition("b", zonerecovery.Recovering, 90*second)
	s.submitJobs(6, asArray)
	for s.statusOf("b").Step < 1 {
		s.run(100 * time.Millisecond)
	}
	s.causeZoneOutage("b", 40*second)
	s.awaitCondition("b", zonerecovery.Recovering, 90*second)
	if st := s.statusOf("b"); st.Step != 0 || st.Outages != 2 {
		t.Errorf("the second recovery began at step %d after %d outages", st.Step, st.Outages)
	}
	s.runToEnd()
}

// Most machines of a zone remain partitioned after an outage. The zone must serve with the others,
// and the machines that remain partitioned must not make it suspect.
func TestZoneRecoversWithSomeOfItsMachines(t *testing.T) {
	s := newZoneScenario(t, 5, 4)
	s.fillZones()
	s.partitionZone("b", 35*second)
	index := 0
	for _, id := range s.sortedMachineIDs() {
		if worker := s.workers[id]; worker.zone == "b" {
			if index++; index%3 != 0 {
				worker.partitionedUntil = s.fromNow(20 * time.Minute)
			}
		}
	}
	s.awaitCondition("b", zonerecovery.Outage, 30*second)
	s.awaitCondition("b", zonerecovery.Recovering, 60*second)
	s.awaitCondition("b", zonerecovery.Serving, 60*second)
	s.run(60 * second)
	if c := s.condition("b"); c != zonerecovery.Serving {
		t.Errorf("the zone is %s: %v", c, s.zones.conditions["b"])
	}
	s.runToEnd()
}

// The outages of two zones overlap. Each zone must recover on its own, and tasks that the second
// outage displaces must not wait for the recovery of the first zone.
func TestOverlappingOutagesOfTwoZones(t *testing.T) {
	s := newZoneScenario(t, 9, 4)
	s.fillZones()
	s.partitionZone("a", 60*second)
	s.run(25 * second)
	s.causeZoneOutage("b", 60*second)
	if c := s.condition("a"); c != zonerecovery.Outage {
		t.Fatalf("zone a is %s", c)
	}
	s.awaitCondition("a", zonerecovery.Serving, 2*time.Minute)
	s.awaitCondition("b", zonerecovery.Serving, 2*time.Minute)
	s.runToEnd()
}

// All zones but one have an outage, and a team's nominal quota does not fit into the last one.
// Services must get its capacity, no limit may be exceeded, and all jobs must continue after the
// zones recover.
func TestOutageOfAllZonesButOne(t *testing.T) {
	s := newZoneScenario(t, 10, 3)
	services, _ := s.fillZones()
	s.partitionZone("a", 90*second)
	s.partitionZone("b", 100*second)
	s.awaitCondition("a", zonerecovery.Outage, 30*second)
	s.awaitCondition("b", zonerecovery.Outage, 30*second)
	s.run(60 * second)
	if c := s.condition("c"); c != zonerecovery.Serving {
		t.Errorf("the last zone is %s", c)
	}
	// The spread of services permits half of the replicas in the remaining zone.
	if up, wanted := s.countPlaced(services); up < wanted/2 {
		t.Errorf("%d of %d replicas are placed", up, wanted)
	}
	s.awaitCondition("a", zonerecovery.Serving, 2*time.Minute)
	s.awaitCondition("b", zonerecovery.Serving, 2*time.Minute)
	s.runToEnd()
}
