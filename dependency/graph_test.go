package dependency

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// The deadline of a job bounds the starts of all jobs that it depends on, in any order of
// their records.
func TestDeadlinesPropagateToDependencies(t *testing.T) {
	records := map[ids.JobID]Record{
		"job-1": {Status: wire.JobQueued, ExpectedRun: 5 * time.Second},
		"job-2": {Status: wire.JobQueued, ExpectedRun: 20 * time.Second, DependsOn: []ids.JobID{"job-1"}},
		"job-3": {Status: wire.JobQueued, ExpectedRun: 10 * time.Second, DependsOn: []ids.JobID{"job-1"}},
		"job-4": {Status: wire.JobQueued, ExpectedRun: 2 * time.Second, DependsOn: []ids.JobID{"job-2", "job-3"}, DueMS: 100_000},
		"job-5": {Status: wire.JobQueued, ExpectedRun: time.Second, DependsOn: []ids.JobID{"job-3"}, DueMS: 80_000},
		"job-6": {Status: wire.JobQueued, ExpectedRun: time.Second},
	}
	want := map[ids.JobID]int64{"job-1": 64_000, "job-2": 78_000, "job-3": 69_000, "job-4": 98_000, "job-5": 79_000, "job-6": 0}
	for seed := range uint64(50) {
		g, rng := New(), rand.New(rand.NewPCG(seed, 5))
		order := slices.Sorted(maps.Keys(records))
		rng.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
		for _, id := range order {
			g.Put(id, records[id])
		}
		for id, by := range want {
			if got := g.ReadinessOf(id).StartByMS; got != by {
				t.Errorf("in order %v: %s must start by %d, want %d", order, id, got, by)
			}
		}
	}
}

// The graph handles a chain and a fan of a hundred thousand jobs without recursion, and
// in time proportional to the changes.
func TestLongChainsAndWideFans(t *testing.T) {
	const n = 100_000
	name := func(i int) ids.JobID { return ids.JobID(fmt.Sprintf("job-%d", i)) }
	chain, fan := New(), New()
	for i := range n {
		r := Record{Status: wire.JobQueued}
		if i == n-1 {
			r.Priority = wire.Critical
		}
		first := r
		if i > 0 {
			r.DependsOn, first.DependsOn = []ids.JobID{name(i - 1)}, []ids.JobID{name(0)}
		}
		chain.Put(name(i), r)
		fan.Put(name(i), first)
	}
	for kind, g := range map[string]*Graph{"chain": chain, "fan": fan} {
		if p := g.ReadinessOf(name(0)).Priority; p != wire.Critical {
			t.Errorf("%s: the first job has priority %d", kind, p)
		}
		if changed := g.Put(name(0), Record{Status: wire.JobCancelled}); len(changed) != n || g.ReadinessOf(name(n-1)).State != Cancelled {
			t.Errorf("%s: %d of %d jobs are cancelled", kind, len(changed), n)
		}
	}
}
