package quota

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

func cpus(n float64) Amount { return Amount{CPUs: n} }

// twoTeams is a cohort of two: red is guaranteed 8 of at most 16, blue 8 of at most 12.
func twoTeams(lend float64) *Tracker {
	return NewTracker([]Team{
		{Name: "red", Nominal: cpus(8), Limit: cpus(16), LendingLimit: cpus(lend)},
		{Name: "blue", Nominal: cpus(8), Limit: cpus(12), LendingLimit: cpus(lend)},
	})
}

func TestWhatFits(t *testing.T) {
	for _, c := range []struct {
		name             string
		lend, surplus    float64
		red, blue        float64 // used already
		more             float64 // for red
		nominal, borrows bool
	}{
		{"within the guarantee", 8, 0, 0, 0, 8, true, true},
		{"beyond it, from an idle team", 8, 0, 8, 0, 8, false, true},
		{"beyond what the other leaves idle", 8, 0, 8, 4, 5, false, false},
		{"as much as the other leaves idle", 8, 0, 8, 4, 4, false, true},
		{"beyond what the other lends", 2, 0, 8, 0, 3, false, false},
		{"from the cohort's own quota", 0, 4, 8, 8, 4, false, true},
		{"beyond the limit, whatever is idle", 8, 100, 8, 0, 9, false, false},
		{"its guarantee, of which the other has borrowed a part", 8, 0, 4, 12, 4, true, false},
		{"decimals that add up", 8, 0, 7.9, 0, 0.1, true, true},
	} {
		b := twoTeams(c.lend)
		b.SetCohortQuota(cpus(c.surplus))
		b.Charge("red", cpus(c.red))
		b.Charge("blue", cpus(c.blue))
		if got := b.FitsNominal("red", cpus(c.more)); got != c.nominal {
			t.Errorf("%s: fits the guarantee: %v", c.name, got)
		}
		if got := b.FitsBorrowing("red", cpus(c.more), 0); got != c.borrows {
			t.Errorf("%s: fits with what is lent: %v", c.name, got)
		}
	}
}

func TestLendingIsSuspendedForAWhile(t *testing.T) {
	b := twoTeams(8)
	until := monotonic.Instant(time.Hour)
	b.SuspendLending("blue", until)
	b.SuspendLending("blue", until.Add(-time.Minute)) // shortens nothing
	b.Charge("red", cpus(8))
	if b.FitsBorrowing("red", cpus(1), until.Add(-time.Second)) {
		t.Error("lent while it was suspended")
	}
	if !b.FitsBorrowing("red", cpus(1), until) {
		t.Error("not lent afterwards")
	}
}

func TestWhatIsUsed(t *testing.T) {
	b := twoTeams(8)
	b.Charge("red", cpus(11))
	if got := b.Borrowed("red"); got != cpus(3) || !b.IsBorrowing("red") || b.IsBorrowing("blue") {
		t.Errorf("borrowed %v", got)
	}
	b.Release("red", cpus(20)) // never below nothing
	if got := b.Used("red"); got != cpus(0) {
		t.Errorf("used %v", got)
	}
	b.Charge("green", cpus(5))
	if b.HasTeam("green") || b.Used("green") != cpus(0) || b.FitsBorrowing("green", cpus(0), 0) {
		t.Error("an unknown team has quota")
	}
	if got := b.Nominal(); got != cpus(16) {
		t.Errorf("guarantees of %v", got)
	}
}
