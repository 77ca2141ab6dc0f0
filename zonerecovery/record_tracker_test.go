package zonerecovery

import (
	"testing"
)

// A step forward takes effect only once it is recorded: the next leader may have read an older record,
// and its starts would add to those of this leader.
func TestStepForwardTakesEffectOnceRecorded(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.zone().machine.enterStep(2, f.at.Now, "")
	if n := len(f.startAll(probeRequest("job-1"))); n != testPolicy().ProbeTasks {
		t.Errorf("%d starts in a step that is not recorded", n)
	}
	f.commitWrites()
	if n := len(f.startAll(probeRequest("job-1"))); n != 5-testPolicy().ProbeTasks {
		t.Errorf("%d more starts once the step is recorded", n)
	}
}

// A step back takes effect immediately, before it is recorded.
func TestStepBackTakesEffectImmediately(t *testing.T) {
	f := newFixture(t)
	f.beginRecovery()
	f.zone().machine.enterStep(2, f.at.Now, "")
	f.commitWrites()
	f.startAll(probeRequest("job-1"))
	f.zone().machine.enterStep(1, f.at.Now, "")
	if n := len(f.startAll(probeRequest("job-1"))); n != 0 {
		t.Errorf("%d starts after a step back", n)
	}
}
