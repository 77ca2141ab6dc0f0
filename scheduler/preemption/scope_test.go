package preemption

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// A job may preempt exactly the work that is admitted after it.
func TestMayPreempt(t *testing.T) {
	j := newFixture(t).addJob("job-1", wire.JobSpec{Team: "red", Priority: wire.High})
	for _, c := range []struct {
		name             string
		scope            preemptionScope
		team             ids.Team
		priority         wire.Priority
		preempt, reclaim bool
	}{
		{"own lower work, at the team's limit", scopeOwnTeam, "red", wire.Normal, true, false},
		{"own equal work", scopeNominal, "red", wire.High, false, false},
		{"others' work, at the team's limit", scopeOwnTeam, "blue", wire.Normal, false, false},
		{"others' lower work, borrowing", scopeBorrowing, "blue", wire.Normal, false, true},
		{"others' equal work, borrowing", scopeBorrowing, "blue", wire.High, false, false},
		{"others' lower work, within nominal quota", scopeNominal, "blue", wire.Normal, true, true},
		{"others' higher work, within nominal quota", scopeNominal, "blue", wire.Critical, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			victim := cluster.Workload{Team: c.team, Priority: c.priority}
			preempt, reclaim := mayPreempt(j, c.scope, victim), mayReclaim(j, c.scope, victim)
			if preempt != c.preempt || reclaim != c.reclaim {
				t.Errorf("freely %v, as a borrower %v", preempt, reclaim)
			}
		})
	}
}

func TestClaimOf(t *testing.T) {
	for _, c := range []struct {
		name string
		used float64 // CPUs of team red, of its nominal quota and its limit
		job  wire.JobSpec
		want preemptionScope
	}{
		{"within nominal quota", 0, wire.JobSpec{}, scopeNominal},
		{"beyond nominal quota", machineCPUs, wire.JobSpec{}, scopeBorrowing},
		{"at the limit, best effort", 2 * machineCPUs, wire.JobSpec{}, scopeNone},
		{"at the limit, higher priority", 2 * machineCPUs, wire.JobSpec{Priority: wire.Normal}, scopeOwnTeam},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.quotas.Charge("red", quota.Amount{CPUs: c.used})
			j := f.addJob("job-1", c.job)
			if got := f.policy.newRound(nil).scopeOf(j); got != c.want {
				t.Errorf("claim %d, want %d", got, c.want)
			}
		})
	}
}

// A job that admission put behind higher work of its team has no claim to nominal quota.
func TestDeferredJobBorrows(t *testing.T) {
	f := newFixture(t)
	j := f.addJob("job-1", wire.JobSpec{})
	j.Queue.BorrowOnly = true
	if got := f.policy.newRound(nil).scopeOf(j); got != scopeBorrowing {
		t.Errorf("claim %d, want %d", got, scopeBorrowing)
	}
}
