package scheduler

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// A job may preempt exactly the work that is admitted after it.
func TestMayPreempt(t *testing.T) {
	j := newHarness(t, Options{}).c.cluster.AddJob("job-1", &records.Job{Spec: &wire.JobSpec{Team: "red", Priority: wire.High}}, 1)
	for _, c := range []struct {
		name             string
		by               claim
		team             ids.Team
		priority         wire.Priority
		free, asBorrower bool
	}{
		{"own lower work, at the team's limit", claimOwn, "red", wire.Normal, true, false},
		{"own equal work", claimNominal, "red", wire.High, false, false},
		{"others' work, at the team's limit", claimOwn, "blue", wire.Normal, false, false},
		{"others' lower work, borrowing", claimBorrow, "blue", wire.Normal, false, true},
		{"others' equal work, borrowing", claimBorrow, "blue", wire.High, false, false},
		{"others' lower work, within nominal quota", claimNominal, "blue", wire.Normal, true, true},
		{"others' higher work, within nominal quota", claimNominal, "blue", wire.Critical, false, true},
	} {
		free, asBorrower := mayStop(j, c.by, c.team, c.priority)
		if free != c.free || asBorrower != c.asBorrower {
			t.Errorf("%s: freely %v, as a borrower %v", c.name, free, asBorrower)
		}
	}
}
