package preemption

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// A job may preempt exactly those tasks that are admitted after its own.
func TestMayPreemptAndReclaim(t *testing.T) {
	j := newFixture(t).addJob("job-1", wire.JobSpec{Team: "red", Priority: wire.High})
	for _, c := range []struct {
		name             string
		scope            preemptionScope
		team             ids.Team
		priority         wire.Priority
		preempt, reclaim bool
	}{
		{"at the limit, same team, lower priority", scopeOwnTeam, "red", wire.Normal, true, false},
		{"within nominal quota, same team, equal priority", scopeNominal, "red", wire.High, false, false},
		{"at the limit, other team, lower priority", scopeOwnTeam, "blue", wire.Normal, false, false},
		{"borrowing, other team, lower priority", scopeBorrowing, "blue", wire.Normal, false, true},
		{"borrowing, other team, equal priority", scopeBorrowing, "blue", wire.High, false, false},
		{"within nominal quota, other team, lower priority", scopeNominal, "blue", wire.Normal, true, true},
		{"within nominal quota, other team, higher priority", scopeNominal, "blue", wire.Critical, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			victim := cluster.Workload{Team: c.team, Priority: c.priority}
			preempt, reclaim := mayPreempt(j, c.scope, victim), mayReclaim(j, c.scope, victim)
			if preempt != c.preempt || reclaim != c.reclaim {
				t.Errorf("mayPreempt = %v, mayReclaim = %v", preempt, reclaim)
			}
		})
	}
}

func TestScopeOf(t *testing.T) {
	for _, c := range []struct {
		name string
		used float64 // CPUs that team red already uses
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
				t.Errorf("scopeOf = %d, want %d", got, c.want)
			}
		})
	}
}

// A job that may only borrow, because a job of its team with a higher priority must borrow, has the
// borrowing scope even if its team's nominal quota is not used up.
func TestScopeOfBorrowOnlyJob(t *testing.T) {
	f := newFixture(t)
	j := f.addJob("job-1", wire.JobSpec{})
	j.Queue.BorrowOnly = true
	if got := f.policy.newRound(nil).scopeOf(j); got != scopeBorrowing {
		t.Errorf("scopeOf = %d, want %d", got, scopeBorrowing)
	}
}
