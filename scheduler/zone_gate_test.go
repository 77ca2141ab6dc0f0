package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
)

// TestInvariantsDuringZoneRecovery runs random simulations with zone outages and recoveries among
// all other faults. Every invariant must hold, a recovery must not exceed the limits of its
// ramp-up, no job may return to a zone that displaced it more than once in an incident, and all
// jobs must end.
func TestInvariantsDuringZoneRecovery(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newZoneFaultSim(t, seed)
			jobs := s.runZoneFaults(30)
			s.zones.partitionedUntil = map[ids.Zone]monotonic.Instant{}
			s.runToCompletion(jobs, 20*time.Minute)
			s.checkCancelledDependents(jobs)
			if s.zones.maxFailbacks > s.opt.ZoneRecovery.FailbackBudget {
				t.Errorf("a job returned %d times to a zone that displaced it", s.zones.maxFailbacks)
			}
		})
	}
}

// The same events must give the same decisions with zone recovery on. They do not if the iteration
// order of a map affects a decision.
func TestZoneRecoveryIsDeterministic(t *testing.T) {
	for seed := range uint64(3) {
		var first string
		for run := range 3 {
			s := newZoneFaultSim(t, seed)
			s.runZoneFaults(15)
			if got := s.digest.String(); run == 0 {
				first = got
			} else if got != first {
				t.Errorf("seed %d, run %d: digest %s, the first run had %s", seed, run, got, first)
			}
		}
	}
}

// The gate is nil if zone recovery is off. A nil gate must permit everything.
func TestNilZoneGatePermitsEverything(t *testing.T) {
	var g *zoneGate
	g.begin()
	g.observe()
	g.restore()
	g.writeRecords()
	if class, ok := g.admissionClass(nil); !g.admits(nil, 0, nil) || class != (zoneAdmissionClass{}) || !ok {
		t.Error("a task is denied")
	}
	if g.blocksProvisioning("a") || g.limitProvisioning("a", 3) != 3 {
		t.Error("provisioning is limited")
	}
	if g.evacuating() || g.recovering("a") {
		t.Error("a zone is evacuating or recovering")
	}
	if g.applyResult(records.CommitResult{}) || g.takeTransitions() != nil {
		t.Error("the gate accepted a result or returned transitions")
	}
}
