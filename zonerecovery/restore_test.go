package zonerecovery

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
)

// Replicas are moved back one at a time, by rate and budgets, only where that makes a service
// more even and none of it is down.
func TestRestorePlan(t *testing.T) {
	at := func(s ...int) map[ids.Zone]int { return map[ids.Zone]int{"other": s[0], "z": s[1]} }
	for _, c := range []struct {
		name    string
		running map[ids.Zone]int
		room    bool
		minutes int
		moves   int
	}{
		{"uneven: as many as the budget allows", at(6, 0), true, 20, 2},
		{"by rate", at(6, 0), true, 1, 1},
		{"nearly even", at(3, 2), true, 20, 0},
		{"no room", at(6, 0), false, 20, 0},
		{"a replica is down", at(5, 0), true, 20, 0},
	} {
		b := newBench(t)
		b.m.policy.QuietPeriod = time.Hour
		b.m.policy.Restore = RestorePolicy{MovesPerMinute: 0.5, After: time.Minute, Budget: 2}
		b.m.restorer = newRestorer(b.m.policy.Restore)
		b.returning()
		b.m.TaskDisplaced("z", "job-1")
		b.pass(90*time.Second, 10)
		wanted := 6
		if c.name == "nearly even" {
			wanted = 5
		}
		moves := 0
		for range c.minutes * 60 {
			b.at = ClockReading{b.at.Now.Add(time.Second), b.at.Wall.Add(time.Second)}
			if len(b.m.RestoreCandidates(b.at.Now)) != 1 {
				t.Fatalf("%s: no candidate", c.name)
			}
			services := []ServicePlacement{{Job: "job-1", Running: c.running, Replicas: wanted}}
			if move, ok := b.m.PlanRestore(b.at, services, func(ids.JobID, ids.Zone) bool { return c.room }); ok {
				moves++
				if move.From != "other" || move.To != "z" {
					t.Errorf("%s: %+v", c.name, move)
				}
				c.running["other"]--
				c.running["z"]++
			}
		}
		if moves != c.moves {
			t.Errorf("%s: %d moves, want %d", c.name, moves, c.moves)
		}
	}
}
