package zonerecovery

import (
	"strings"
	"testing"
	"time"
)

// hold applies an operator's hold to the tested zone. The hold expires after limit, or lasts until it
// is lifted if limit is 0.
func (f *fixture) hold(limit time.Duration) {
	f.t.Helper()
	override := Override{Kind: OverrideHold, Reason: "works"}
	if limit != 0 {
		override.UntilMS = f.at.Wall.Add(limit).UnixMilli()
	}
	f.manager.Override(testedZone, override, f.at)
}

// A hold takes effect immediately, also for critical tasks, and lasts until it is lifted.
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

// A release changes the condition to serving, but admits tasks only once it is recorded: the next
// leader may have read an older record.
func TestReleaseTakesEffectOnceRecorded(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	number := f.manager.Override(testedZone, Override{Kind: OverrideRelease}, f.at)
	f.wantCondition("after the release", Serving)
	f.wantAdmission("before it is recorded", taskRequest("job-1"), DeniedUnrecorded)
	if recorded := f.manager.RecordedOverride(testedZone); recorded >= number {
		t.Errorf("decision %d is recorded before the write", recorded)
	}
	f.commitWrites()
	f.wantAdmission("once it is recorded", taskRequest("job-1"), Admitted)
	if recorded := f.manager.RecordedOverride(testedZone); recorded != number {
		t.Errorf("decision %d is recorded, want %d", recorded, number)
	}
}

// Machines that were unreachable at a release do not make the released zone suspect again.
func TestReleaseAcceptsUnreachableMachines(t *testing.T) {
	f := newFixture(t)
	f.runFor(time.Second, testMachines)
	f.runFor(10*time.Second, 0)
	f.wantCondition("before the release", Outage)
	f.manager.Override(testedZone, Override{Kind: OverrideRelease}, f.at)
	f.runFor(time.Minute, 0)
	f.wantCondition("after the release", Serving)
}

// The reason of an override is truncated.
func TestOverrideReasonIsLimited(t *testing.T) {
	f := newFixture(t)
	f.manager.Override(testedZone, Override{Kind: OverrideHold, Reason: strings.Repeat("x", 3*maxReasonBytes)}, f.at)
	if got := len(f.zone().override.current.Reason); got != maxReasonBytes {
		t.Errorf("reason of %d bytes, want %d", got, maxReasonBytes)
	}
}
