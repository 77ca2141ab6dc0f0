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

// The deadline of a job limits the latest starts of all jobs on which it depends. The limits must be the
// same for every order in which the records arrive.
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

// A chain or a fan-out of a hundred thousand jobs must neither exhaust the stack by recursion nor take
// time out of proportion to the number of changes.
func TestLongChainsAndWideFanOuts(t *testing.T) {
	const n = 100_000
	name := func(i int) ids.JobID { return ids.JobID(fmt.Sprintf("job-%d", i)) }
	chain, fanOut := New(), New()
	for i := range n {
		r := Record{Status: wire.JobQueued}
		if i == n-1 {
			r.Priority = wire.Critical
		}
		fanOutRecord := r
		if i > 0 {
			r.DependsOn, fanOutRecord.DependsOn = []ids.JobID{name(i - 1)}, []ids.JobID{name(0)}
		}
		chain.Put(name(i), r)
		fanOut.Put(name(i), fanOutRecord)
	}
	for kind, g := range map[string]*Graph{"chain": chain, "fan-out": fanOut} {
		if p := g.ReadinessOf(name(0)).Priority; p != wire.Critical {
			t.Errorf("%s: the first job has effective priority %d, want critical", kind, p)
		}
		if changed := g.Put(name(0), Record{Status: wire.JobCancelled}); len(changed) != n || g.ReadinessOf(name(n-1)).State != Cancelled {
			t.Errorf("%s: cancelling the first job changed %d of %d jobs", kind, len(changed), n)
		}
	}
}
