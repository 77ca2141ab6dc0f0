package zonerecovery

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// The condition follows the fraction of unreachable machines, with hysteresis.
func TestConditionFollowsMachines(t *testing.T) {
	for _, c := range []struct {
		name      string
		reachable []int // of ten, each for 8 s
		want      Condition
	}{
		{"all are reachable", []int{10, 10}, Serving},
		{"a few are unreachable", []int{10, 6, 6}, Serving},
		{"half are unreachable: suspect, no outage", []int{10, 5, 5, 5, 5}, Suspect},
		{"around the threshold: still suspect", []int{10, 5, 6, 5, 6}, Suspect},
		{"most are reachable again", []int{10, 5, 9}, Serving},
		{"all are unreachable", []int{10, 0}, Outage},
		{"one reachable machine is too few", []int{10, 0, 1}, Outage},
		{"a quarter is enough", []int{10, 0, 3}, Recovering},
		{"unreachable again in the recovery", []int{10, 0, 10, 0}, Outage},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			for _, reachable := range c.reachable {
				f.runFor(8*time.Second, reachable)
			}
			f.wantCondition("at the end", c.want)
		})
	}
}

// No zone becomes suspect if half of the machines of all zones are unreachable at once: after a
// controller fails, its machines need seconds to connect to another.
func TestNoZoneIsSuspectIfAllLoseMachines(t *testing.T) {
	f := newFixture(t)
	f.runFor(time.Second, testMachines)
	for _, c := range []struct {
		name      string
		elsewhere int // reachable of ten
		want      Condition
	}{
		{"half unreachable elsewhere", 5, Serving},
		{"all reachable elsewhere", 10, Suspect},
	} {
		for range 20 {
			f.advance(observationInterval)
			f.manager.Observe(f.at, Observation{
				Connectivity: Connectivity{LeaseConfirmed: true},
				Zones:        map[ids.Zone]ZoneHealth{testedZone: healthOf(5), healthyZone: healthOf(c.elsewhere)},
			})
		}
		f.wantCondition(c.name, c.want)
	}
}

// After a pause of the leader's process no heartbeat counts as missed until the heartbeats that
// arrived during the pause are read.
func TestNoSuspicionAfterProcessPause(t *testing.T) {
	f := newFixture(t)
	f.runFor(time.Second, testMachines)
	for _, c := range []struct {
		name    string
		resumed bool
		want    Condition
	}{
		{"just resumed", true, Serving},
		{"heartbeats are read", false, Suspect},
	} {
		f.at.Now = f.at.Now.Add(20 * time.Second)
		f.manager.Observe(f.at, Observation{
			Connectivity: Connectivity{LeaseConfirmed: true, ProcessResumed: c.resumed},
			Zones:        map[ids.Zone]ZoneHealth{testedZone: healthOf(0), healthyZone: healthOf(testMachines)},
		})
		f.wantCondition(c.name, c.want)
	}
}
