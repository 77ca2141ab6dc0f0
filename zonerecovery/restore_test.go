package zonerecovery

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// restorableFixture returns a fixture whose tested zone has displaced a service and recovered.
func restorableFixture(t *testing.T) *fixture {
	t.Helper()
	policy := testPolicy()
	policy.QuietPeriod = time.Hour
	policy.Restore = RestorePolicy{MovesPerMinute: 0.5, After: time.Minute, Budget: 2}
	f := newFixtureWith(t, policy)
	f.beginRecovery()
	f.manager.TaskDisplaced(testedZone, "job-1")
	f.runFor(90*time.Second, testMachines)
	return f
}

// restoreFor carries out the moves that are planned within a duration, and returns their number.
func (f *fixture) restoreFor(duration time.Duration, service ServicePlacement, capacity bool) (moves int) {
	f.t.Helper()
	hasCapacity := func(ids.JobID, ids.Zone) bool { return capacity }
	for end := f.at.Now.Add(duration); f.at.Now < end; {
		f.advance(time.Second)
		if len(f.manager.RestoreCandidates(f.at.Now)) != 1 {
			f.t.Fatal("no candidate")
		}
		move, ok := f.manager.PlanRestore(f.at, []ServicePlacement{service}, hasCapacity)
		if !ok {
			continue
		}
		moves++
		if move != (RestoreMove{Job: service.Job, From: healthyZone, To: testedZone}) {
			f.t.Errorf("move %+v", move)
		}
		service.Running[move.From]--
		service.Running[move.To]++
	}
	return moves
}

// Replicas are moved back one at a time, within the rate and the budgets, if a move spreads the
// service more evenly, the zone has capacity and no replica is down.
func TestRestorePlan(t *testing.T) {
	for _, c := range []struct {
		name                    string
		healthy, tested, wanted int // replicas
		capacity                bool
		duration                time.Duration
		moves                   int
	}{
		{"uneven: as many as the budget allows", 6, 0, 6, true, 20 * time.Minute, 2},
		{"limited by the rate", 6, 0, 6, true, time.Minute, 1},
		{"nearly even", 3, 2, 5, true, 20 * time.Minute, 0},
		{"no capacity", 6, 0, 6, false, 20 * time.Minute, 0},
		{"a replica is down", 5, 0, 6, true, 20 * time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := restorableFixture(t)
			service := ServicePlacement{Job: "job-1", Replicas: c.wanted, Running: map[ids.Zone]int{healthyZone: c.healthy, testedZone: c.tested}}
			if moves := f.restoreFor(c.duration, service, c.capacity); moves != c.moves {
				t.Errorf("%d moves, want %d", moves, c.moves)
			}
		})
	}
}
