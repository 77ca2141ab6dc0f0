package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
)

// TestInvariantsDuringZoneRecovery plays random days with zone outages and recoveries among all other
// faults: every rule holds, the recovery stays within its ramp-up, no job returns to a zone
// that displaced it more than once in an incident, and in the end nothing waits.
func TestInvariantsDuringZoneRecovery(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newZoneFaultSim(t, seed)
			all := s.runZoneFaults(30)
			s.zones.partitionedUntil = map[ids.Zone]monotonic.Instant{}
			s.runToCompletion(all, 20*time.Minute)
			s.checkCancelledDependents(all)
			if s.zones.maxFailbacks > s.opt.ZoneRecovery.FailbackBudget {
				t.Errorf("a job returned %d times to a zone that displaced it", s.zones.maxFailbacks)
			}
		})
	}
}

// Zone recovery iterates in fixed orders: the same events give the same decisions.
func TestZoneRecoveryIsDeterministic(t *testing.T) {
	for seed := range uint64(3) {
		var first string
		for play := range 3 {
			s := newZoneFaultSim(t, seed)
			s.runZoneFaults(15)
			if got := s.digest.String(); play == 0 {
				first = got
			} else if got != first {
				t.Errorf("seed %d, play %d: %s, the first one %s", seed, play, got, first)
			}
		}
	}
}

// Where zone recovery is off the gate is nil, and permits everything.
func TestNilZoneGatePermitsEverything(t *testing.T) {
	var g *zoneGate
	g.begin()
	g.observe()
	g.restore()
	g.writeRecords()
	if part, ok := g.admissionClass(nil); !g.admits(nil, 0, nil) || part != (zoneAdmissionClass{}) || !ok {
		t.Error("a task is denied")
	}
	if g.blocksProvisioning("a") || g.limitProvisioning("a", 3) != 3 {
		t.Error("provisioning is limited")
	}
	if g.evacuating() || g.recovering("a") {
		t.Error("a zone does not serve")
	}
	if g.applyResult(records.CommitResult{}) || g.takeTransitions() != nil {
		t.Error("the gate has results")
	}
}
