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
	s := newZoneScenario(t, 12, 4)
	s.fillZones()
	number, ok := s.core.OverrideZone(s.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideHold, Reason: "power works"})
	if !ok {
		t.Fatal("the override was rejected")
	}
	s.run(second)
	if !s.core.ZoneOverrideRecorded("b", number) {
		t.Fatal("the override was not recorded")
	}
	s.failOver()
	before := s.startsIn("b")
	s.runTimeFactor = 1
	s.submitJobs(8, asArray)
	s.run(60 * second)
	if got := s.startsIn("b"); got != before {
		t.Errorf("%d tasks started in a zone on hold", got-before)
	}
	if st := s.statusOf("b"); st.Override != zonerecovery.OverrideHold {
		t.Errorf("the zone is not on hold after a failover: %+v", st)
	}
	s.core.OverrideZone(s.now, "b", zonerecovery.Override{Kind: zonerecovery.OverrideRelease})
	spec := zoneArray(2)
	spec.Zone = "b"
	s.submitJob(spec)
	s.run(30 * second)
	if s.startsIn("b") == before {
		t.Error("nothing started after the release")
	}
	s.runToEnd()
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
func (s *scenario) awaitPhase(phase recoveryPhase) {
	s.t.Helper()
	s.causeZoneOutage("b", 40*second)
	if phase >= phaseHoldDown {
		s.run(s.zones.partitionedUntil["b"].Sub(s.now) + time.Second)
	}
	if phase >= phaseProbe {
		s.awaitCondition("b", zonerecovery.Recovering, 60*second)
		for s.condition("b") == zonerecovery.Recovering && s.statusOf("b").Step < int(phase) {
			s.run(100 * time.Millisecond)
		}
	}
	s.run(300 * time.Millisecond)
}

// leaderChanges are failovers and pauses of the leader.
var leaderChanges = []struct {
	name   string
	inject func(s *scenario)
}{
	{"failover", func(s *scenario) { s.failOver() }},
	{"two failovers", func(s *scenario) {
		s.failOver()
		s.run(300 * time.Millisecond)
		s.failOver()
	}},
	{"the leader is paused", func(s *scenario) { s.pause(2500 * time.Millisecond) }},
	{"the leader is paused for longer than its lease", func(s *scenario) { s.pause(8 * second) }},
	{"the previous leader remains active in the zone", func(s *scenario) {
		s.failOverWithPreviousLeaderActive()
		s.isolatedZone, s.isolatedZoneUntil = "b", s.fromNow(20*second)
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
				s := newZoneScenario(t, 6, 4)
				s.fillZones()
				s.awaitPhase(phase)
				before := s.statusOf("b")
				c.inject(s)
				s.run(100 * time.Millisecond)
				after := s.statusOf("b")
				if after.Outages != before.Outages || after.DisplacedJobs < before.DisplacedJobs {
					t.Errorf("the next leader lost outages or displaced jobs: before %+v\nafter %+v", before, after)
				}
				if before.Condition == zonerecovery.Outage && after.Condition == zonerecovery.Serving || after.Step > before.Step+1 {
					t.Errorf("the next leader permits more: before %+v\nafter %+v", before, after)
				}
				s.awaitCondition("b", zonerecovery.Serving, 3*time.Minute)
				s.runToEnd()
			})
		}
	}
}
