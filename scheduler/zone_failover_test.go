package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/zonerecovery"
)

// An operator puts a zone on hold. No task may start there, including under the next leaders, until
// the operator releases the zone. Tasks must start there after the release.
func TestZoneHoldSurvivesAFailover(t *testing.T) {
	simulation := newZoneScenario(t, 12, 4)
	simulation.fillZones()
	number, ok := simulation.core.OverrideZone(simulation.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideHold, Reason: "power works"})
	if !ok {
		t.Fatal("the override was rejected")
	}
	simulation.run(second)
	if !simulation.core.ZoneOverrideRecorded("b", number) {
		t.Fatal("the override was not recorded")
	}
	simulation.failOver()
	before := simulation.startsIn("b")
	simulation.runFactor = 1
	simulation.jobs(8, array)
	simulation.run(60 * second)
	if got := simulation.startsIn("b"); got != before {
		t.Errorf("%d tasks started in a zone on hold", got-before)
	}
	if st := simulation.statusOf("b"); st.Override != zonerecovery.OverrideHold {
		t.Errorf("the zone is not on hold after a failover: %+v", st)
	}
	simulation.core.OverrideZone(simulation.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideRelease})
	spec := zoneArray(2)
	spec.Zone = "b"
	simulation.submitJob(spec)
	simulation.run(30 * second)
	if simulation.startsIn("b") == before {
		t.Error("nothing started after the release")
	}
	simulation.runToEnd()
}

// recoveryPhase is a phase of the outage and the recovery of a zone.
type recoveryPhase int

const (
	phaseOutage   recoveryPhase = iota - 2
	phaseHoldDown               // after the partition, before the recovery
	phaseProbe                  // step 0 of the recovery; later phases are later steps
)

func (p recoveryPhase) String() string {
	switch p {
	case phaseOutage:
		return "in the outage"
	case phaseHoldDown:
		return "in the hold-down"
	default:
		return fmt.Sprintf("at step %d", int(p))
	}
}

// awaitPhase causes an outage of zone b, and runs until the phase has begun and is recorded.
func (simulation *scenario) awaitPhase(phase recoveryPhase) {
	simulation.t.Helper()
	simulation.causeZoneOutage("b", 40*second)
	if phase >= phaseHoldDown {
		simulation.run(simulation.zones.partitionedUntil["b"].Sub(simulation.now) + time.Second)
	}
	if phase >= phaseProbe {
		simulation.awaitCondition("b", zonerecovery.Recovering, 60*second)
		for simulation.condition("b") == zonerecovery.Recovering && simulation.statusOf("b").Step < int(phase) {
			simulation.run(100 * time.Millisecond)
		}
	}
	simulation.run(300 * time.Millisecond)
}

// leaderChanges are failovers and pauses of the leader.
var leaderChanges = []struct {
	name   string
	inject func(simulation *scenario)
}{
	{"failover", func(simulation *scenario) { simulation.failOver() }},
	{"two failovers", func(simulation *scenario) {
		simulation.failOver()
		simulation.run(300 * time.Millisecond)
		simulation.failOver()
	}},
	{"the leader is paused", func(simulation *scenario) { simulation.pause(2500 * time.Millisecond) }},
	{"the leader is paused for longer than its lease", func(simulation *scenario) { simulation.pause(8 * second) }},
	{"the previous leader remains active in the zone", func(simulation *scenario) {
		simulation.failOverWithPreviousLeaderActive()
		simulation.isolatedZone, simulation.isolatedZoneUntil = "b", simulation.in(20*second)
	}},
}

// After a failover or a pause of the leader in any phase of the recovery, the leader must keep the
// number of outages, the step and the displaced jobs, and must not permit more than the previous
// leader did. It would if it lost the state of the zone or skipped steps of the recovery.
func TestNextLeaderContinuesTheRecovery(t *testing.T) {
	for phase := phaseOutage; phase <= phaseProbe+2; phase++ {
		for _, c := range leaderChanges {
			t.Run(fmt.Sprintf("%s %s", c.name, phase), func(t *testing.T) {
				t.Parallel()
				simulation := newZoneScenario(t, 6, 4)
				simulation.fillZones()
				simulation.awaitPhase(phase)
				before := simulation.statusOf("b")
				c.inject(simulation)
				simulation.run(100 * time.Millisecond)
				after := simulation.statusOf("b")
				if after.Outages != before.Outages || after.DisplacedJobs < before.DisplacedJobs {
					t.Errorf("the next leader lost outages or displaced jobs: before %+v\nafter %+v", before, after)
				}
				if before.Condition == zonerecovery.Outage && after.Condition == zonerecovery.Serving || after.Step > before.Step+1 {
					t.Errorf("the next leader permits more: before %+v\nafter %+v", before, after)
				}
				simulation.awaitCondition("b", zonerecovery.Serving, 3*time.Minute)
				simulation.runToEnd()
			})
		}
	}
}
