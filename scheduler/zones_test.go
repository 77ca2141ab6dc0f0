package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

// The fewer machines a zone has, the longer it may be silent by chance. While no machine is
// heard at all, it is rather the network of this controller.
func TestZonePartitioned(t *testing.T) {
	now := monotonic.Instant(time.Hour)
	for _, c := range []struct {
		name        string
		machines    int
		silent      time.Duration
		othersHeard time.Duration // ago
		partitioned bool
	}{
		{"many machines, a moment", 100, 2 * time.Second, 0, false},
		{"many machines, longer than by chance", 100, 3 * time.Second, 0, true},
		{"a few machines, the same time", 5, 3 * time.Second, 0, false},
		{"a few machines, longer", 5, 9 * time.Second, 0, true},
		{"too few to tell", 3, time.Minute, 0, false},
		{"no machine is heard", 100, 9 * time.Second, 9 * time.Second, false},
		{"for so long that the zone is tried again", 100, zoneOutageLimit, 0, false},
	} {
		b := newHarness(t, Options{})
		hm := b.c.health
		b.c.clock.Set(now)
		hm.lastHeard = now.Add(-c.othersHeard)
		hm.zoneStates["a"] = &zoneState{lastHeard: now.Add(-c.silent), machinesUp: c.machines}
		if got := hm.zonePartitioned("a"); got != c.partitioned {
			t.Errorf("%s: %v", c.name, got)
		}
		// A pause of this process does not count as silence.
		b.c.clock.Advance(now) // the first step after a long pause
		if hm.zonePartitioned("a") {
			t.Errorf("%s: just after a pause", c.name)
		}
	}
}
