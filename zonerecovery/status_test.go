package zonerecovery

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// The status holds the restriction of a zone, whose texts must not change, and when it ends.
func TestRestriction(t *testing.T) {
	for _, c := range []struct {
		name, want string
		prepare    func(*fixture)
		// until is the longest duration of the restriction, 0 if that is not known.
		until time.Duration
	}{
		{"serving", "", func(f *fixture) { f.runFor(time.Second, 10) }, 0},
		{"held for a minute", "all new work, by an operator: works", func(f *fixture) {
			f.manager.Override(testedZone, Override{Kind: OverrideHold, Reason: "works", UntilMS: f.at.Wall.Add(time.Minute).UnixMilli()}, f.at)
		}, time.Minute},
		{"held until it is lifted", "all new work, by an operator: works", func(f *fixture) {
			f.manager.Override(testedZone, Override{Kind: OverrideHold, Reason: "works"}, f.at)
		}, 0},
		{"suspect", "all new work, until its machines are heard or it counts as dark", func(f *fixture) { f.runFor(time.Second, 0) }, 0},
		{"suspect, and the leader is cut off", "all new work; no verdict, since the state service or most controllers are not reached", func(f *fixture) {
			f.runFor(time.Second, 0)
			f.manager.Observe(f.at, Observation{Zones: map[ids.Zone]ZoneHealth{testedZone: healthOf(0), healthyZone: healthOf(10)}})
		}, 0},
		{"outage", "all new work, until its machines are heard", func(f *fixture) {
			f.runFor(time.Second, 0)
			f.runFor(testPolicy().OutageAfter-800*time.Millisecond, 0) // the zone has been suspect for 0.8 s
		}, testPolicy().RetryAfter},
		{"hold-down", "all new work, for the hold-down", func(f *fixture) {
			f.runFor(10*time.Second, 0)
			f.runFor(observationInterval, 10)
		}, testPolicy().HoldDown},
		{"probe", "all but critical work and probes", (*fixture).runUntilRecoveryBegins, testPolicy().MaxRecovery},
		{"limited step", "starts beyond step 1 of 3", func(f *fixture) {
			f.runUntilRecoveryBegins()
			f.zone().machine.enterStep(1, f.at.Now, "")
		}, testPolicy().MaxRecovery},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.prepare(f)
			status := f.status()
			if status.Restriction != c.want {
				t.Errorf("restriction %q, want %q", status.Restriction, c.want)
			}
			want := int64(0)
			if c.until != 0 {
				want = f.at.Wall.Add(c.until).UnixMilli()
			}
			if status.RestrictedUntilMS != want {
				t.Errorf("restricted until %v, want %v", time.UnixMilli(status.RestrictedUntilMS).UTC(), time.UnixMilli(want).UTC())
			}
		})
	}
}

// runUntilRecoveryBegins causes an outage of the tested zone, and returns at the first observation at
// which the zone is recovering.
func (f *fixture) runUntilRecoveryBegins() {
	f.t.Helper()
	f.runFor(10*time.Second, 0)
	for range 100 {
		f.runFor(observationInterval, testMachines)
		if f.manager.Condition(testedZone) == Recovering {
			return
		}
	}
	f.t.Fatal("no recovery begins")
}
