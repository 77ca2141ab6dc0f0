package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/zonerecovery"
)

// An operator holds a zone: nothing new starts there, the next leaders hold it too, and it
// serves once it is released.
func TestZoneHoldSurvivesAFailover(t *testing.T) {
	m := newZoneScenario(t, 12, 4)
	m.fillZones()
	number, ok := m.core.OverrideZone(m.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideHold, Reason: "power works"})
	if !ok {
		t.Fatal("the override was rejected")
	}
	m.run(second)
	if !m.core.ZoneOverrideRecorded("b", number) {
		t.Fatal("the override was not recorded")
	}
	m.failOver()
	before := m.startsIn("b")
	m.runFactor = 1
	m.jobs(8, array)
	m.run(60 * second)
	if got := m.startsIn("b"); got != before {
		t.Errorf("%d tasks started in a zone on hold", got-before)
	}
	if st := m.statusOf("b"); st.Override != zonerecovery.OverrideHold {
		t.Errorf("after a failover: %+v", st)
	}
	m.core.OverrideZone(m.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideRelease})
	spec := zoneArray(2)
	spec.Zone = "b"
	m.submitJob(spec)
	m.run(30 * second)
	if m.startsIn("b") == before {
		t.Error("nothing started after the release")
	}
	m.runToEnd()
}

// recoveryPhase is a point of a zone's recovery.
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

// awaitPhase loses zone b, and runs until the phase has begun and is recorded.
func (m *scenario) awaitPhase(phase recoveryPhase) {
	m.t.Helper()
	m.causeZoneOutage("b", 40*second)
	if phase >= phaseHoldDown {
		m.run(m.zones.partitionedUntil["b"].Sub(m.now) + time.Second)
	}
	if phase >= phaseProbe {
		m.awaitCondition("b", zonerecovery.Recovering, 60*second)
		for m.condition("b") == zonerecovery.Recovering && m.statusOf("b").Step < int(phase) {
			m.run(100 * time.Millisecond)
		}
	}
	m.run(300 * time.Millisecond)
}

// leaderChanges are the ways in which a leader may end or go on.
var leaderChanges = []struct {
	name   string
	inject func(m *scenario)
}{
	{"failover", func(m *scenario) { m.failOver() }},
	{"two failovers", func(m *scenario) { m.failOver(); m.run(300 * time.Millisecond); m.failOver() }},
	{"the leader is paused", func(m *scenario) { m.pause(2500 * time.Millisecond) }},
	{"the leader is paused for longer than its lease", func(m *scenario) { m.pause(8 * second) }},
	{"the previous leader stays active in the zone", func(m *scenario) {
		m.failOverWithPreviousLeaderActive()
		m.isolatedZone, m.isolatedZoneUntil = "b", m.in(20*second)
	}},
}

// A change of the leader, in any phase of the recovery, keeps the outages, the step and the
// displaced jobs, and permits nothing that the previous leader did not permit.
func TestNextLeaderContinuesTheRecovery(t *testing.T) {
	for phase := phaseOutage; phase <= phaseProbe+2; phase++ {
		for _, c := range leaderChanges {
			t.Run(fmt.Sprintf("%s %s", c.name, phase), func(t *testing.T) {
				t.Parallel()
				m := newZoneScenario(t, 6, 4)
				m.fillZones()
				m.awaitPhase(phase)
				before := m.statusOf("b")
				c.inject(m)
				m.run(100 * time.Millisecond)
				after := m.statusOf("b")
				if after.Outages != before.Outages || after.DisplacedJobs < before.DisplacedJobs {
					t.Errorf("before %+v\nafter %+v", before, after)
				}
				if before.Condition == zonerecovery.Outage && after.Condition == zonerecovery.Serving || after.Step > before.Step+1 {
					t.Errorf("the next leader allows more: before %+v\nafter %+v", before, after)
				}
				m.awaitCondition("b", zonerecovery.Serving, 3*time.Minute)
				m.runToEnd()
			})
		}
	}
}
