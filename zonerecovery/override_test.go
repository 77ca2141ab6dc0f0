package zonerecovery

import (
	"strings"
	"testing"
	"time"
)

// hold lets an operator hold the tested zone until it is lifted or, if limit is not 0, for so long.
func (f *fixture) hold(limit time.Duration) {
	f.t.Helper()
	override := Override{Kind: OverrideHold, Reason: "works"}
	if limit != 0 {
		override.UntilMS = f.at.Wall.Add(limit).UnixMilli()
	}
	f.manager.Override(testedZone, override, f.at)
}

// A hold counts at once, also for critical work, until it is lifted.
func TestHoldDeniesUntilLifted(t *testing.T) {
	f := newFixture(t)
	f.runFor(time.Second, testMachines)
	f.hold(0)
	f.runFor(time.Hour, testMachines)
	f.wantAdmission("while the zone is held", criticalRequest("job-1"), DeniedByOperator)
	f.manager.Override(testedZone, Override{}, f.at)
	f.wantAdmission("once the hold is lifted", criticalRequest("job-1"), Admitted)
}

// A hold with a limit expires.
func TestHoldExpires(t *testing.T) {
	f := newFixture(t)
	f.runFor(time.Second, testMachines)
	f.hold(time.Minute)
	f.runFor(time.Minute-observationInterval, testMachines)
	f.wantAdmission("before the limit", taskRequest("job-1"), DeniedByOperator)
	f.runFor(observationInterval, testMachines)
	f.wantAdmission("at the limit", taskRequest("job-1"), Admitted)
}

// A release lets the zone serve, but counts only once it is recorded.
func TestReleaseTakesEffectOnceRecorded(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	number := f.manager.Override(testedZone, Override{Kind: OverrideRelease}, f.at)
	f.wantCondition("after the release", Serving)
	f.wantAdmission("before it is recorded", taskRequest("job-1"), DeniedUnrecorded)
	if recorded := f.manager.RecordedOverride(testedZone); recorded >= number {
		t.Errorf("decision %d counts as recorded", recorded)
	}
	f.commitWrites()
	f.wantAdmission("once it is recorded", taskRequest("job-1"), Admitted)
	if recorded := f.manager.RecordedOverride(testedZone); recorded != number {
		t.Errorf("decision %d is recorded, want %d", recorded, number)
	}
}

// A released zone does not become suspect by the machines that were unreachable at the release.
func TestReleaseAcceptsUnreachableMachines(t *testing.T) {
	f := newFixture(t)
	f.runFor(time.Second, testMachines)
	f.runFor(10*time.Second, 0)
	f.wantCondition("before the release", Outage)
	f.manager.Override(testedZone, Override{Kind: OverrideRelease}, f.at)
	f.runFor(time.Minute, 0)
	f.wantCondition("after the release", Serving)
}

// The reason of an override is cut off.
func TestOverrideReasonIsLimited(t *testing.T) {
	f := newFixture(t)
	f.manager.Override(testedZone, Override{Kind: OverrideHold, Reason: strings.Repeat("x", 3*maxReasonBytes)}, f.at)
	if got := len(f.zone().override.current.Reason); got != maxReasonBytes {
		t.Errorf("%d bytes, want %d", got, maxReasonBytes)
	}
}
