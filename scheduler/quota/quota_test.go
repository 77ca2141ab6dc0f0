package quota

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/monotonic"
)

func cpus(n float64) Amount { return Amount{CPUs: n} }

// twoTeams returns a tracker for two teams with the same lending limit. Team red has a nominal quota
// of 8 CPUs and a limit of 16, team blue a nominal quota of 8 CPUs and a limit of 12.
func twoTeams(lendingLimit float64) *Tracker {
	return NewTracker([]Team{
		{Name: "red", Nominal: cpus(8), Limit: cpus(16), LendingLimit: cpus(lendingLimit)},
		{Name: "blue", Nominal: cpus(8), Limit: cpus(12), LendingLimit: cpus(lendingLimit)},
	})
}

func TestFits(t *testing.T) {
	for _, c := range []struct {
		name                      string
		lendingLimit, cohortQuota float64
		red, blue                 float64 // CPUs already in use
		more                      float64 // CPUs requested for red
		nominal, borrowing        bool
	}{
		{"within nominal quota", 8, 0, 0, 0, 8, true, true},
		{"borrowing from an idle team", 8, 0, 8, 0, 8, false, true},
		{"more than the other team's idle quota", 8, 0, 8, 4, 5, false, false},
		{"exactly the other team's idle quota", 8, 0, 8, 4, 4, false, true},
		{"more than the other team's lending limit", 2, 0, 8, 0, 3, false, false},
		{"borrowing from the cohort quota", 0, 4, 8, 8, 4, false, true},
		{"beyond the limit despite idle quota", 8, 100, 8, 0, 9, false, false},
		{"nominal quota partly borrowed by the other team", 8, 0, 4, 12, 4, true, false},
		{"rounded sum equal to the quota", 8, 0, 7.9, 0, 0.1, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := twoTeams(c.lendingLimit)
			q.SetCohortQuota(cpus(c.cohortQuota))
			q.Charge("red", cpus(c.red))
			q.Charge("blue", cpus(c.blue))
			if got := q.FitsNominal("red", cpus(c.more)); got != c.nominal {
				t.Errorf("FitsNominal = %v, want %v", got, c.nominal)
			}
			if got := q.FitsBorrowing("red", cpus(c.more), 0); got != c.borrowing {
				t.Errorf("FitsBorrowing = %v, want %v", got, c.borrowing)
			}
		})
	}
}

func TestSuspendLending(t *testing.T) {
	q := twoTeams(8)
	until := monotonic.Instant(time.Hour)
	q.SuspendLending("blue", until)
	q.SuspendLending("blue", until.Add(-time.Minute)) // must not shorten the suspension
	q.Charge("red", cpus(8))
	if q.FitsBorrowing("red", cpus(1), until.Add(-time.Second)) {
		t.Error("quota is lent while lending is suspended")
	}
	if !q.FitsBorrowing("red", cpus(1), until) {
		t.Error("quota is not lent after the suspension")
	}
}

func TestBorrowed(t *testing.T) {
	q := twoTeams(8)
	q.Charge("red", cpus(11))
	if got := q.Borrowed("red"); got != cpus(3) {
		t.Errorf("Borrowed = %v, want 3 CPUs", got)
	}
	if got := q.Borrowed("blue"); got != cpus(0) {
		t.Errorf("Borrowed = %v for a team without usage, want 0", got)
	}
}

func TestReleaseNeverGoesBelowZero(t *testing.T) {
	q := twoTeams(8)
	q.Charge("red", cpus(11))
	q.Release("red", cpus(20))
	if got := q.Used("red"); got != cpus(0) {
		t.Errorf("Used = %v, want 0", got)
	}
}

func TestUnknownTeamHasNoQuota(t *testing.T) {
	q := twoTeams(8)
	q.Charge("green", cpus(5))
	if q.accounts["green"] != nil || q.Used("green") != cpus(0) || q.FitsBorrowing("green", cpus(0), 0) {
		t.Error("an unknown team has quota")
	}
}

func TestNominalIsTheSumOfAllTeams(t *testing.T) {
	if got := twoTeams(8).Nominal(); got != cpus(16) {
		t.Errorf("Nominal = %v, want 16 CPUs", got)
	}
}
