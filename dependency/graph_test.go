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

// plain is the slow model: it derives everything from all records each time.
type plain map[ids.JobID]Record

func (p plain) state(id ids.JobID) State {
	r, ok := p[id]
	switch {
	case !ok:
		return Unknown
	case r.Status == wire.JobDone:
		return Done
	case r.Status == wire.JobCancelled:
		return Cancelled
	}
	s := Ready
	for _, n := range r.DependsOn {
		switch p.state(n) {
		case Cancelled:
			return Cancelled
		case Unknown, Waiting, Ready:
			s = Waiting
		}
	}
	return s
}

func (p plain) priority(id ids.JobID) wire.Priority {
	most := p[id].Priority
	for other, r := range p {
		if slices.Contains(r.DependsOn, id) && p.state(other) == Waiting {
			most = max(most, p.priority(other))
		}
	}
	return most
}

func (p plain) readyMS(id ids.JobID) int64 {
	at := p[id].SubmittedMS
	for _, n := range p[id].DependsOn {
		at = max(at, p[n].DoneMS)
	}
	return at
}

// Random pipelines: jobs are submitted, cancelled and done in any order that can
// be, and their records come late, twice, and in any order. Whoever has seen the
// same records says the same as the model, and nobody takes back that a job is
// over or ready.
func TestGraphMatchesThePlainModel(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		real := plain{} // the state service
		var order []ids.JobID
		type copied struct {
			g    *Graph
			seen plain
			told map[ids.JobID]State
		}
		copies := []*copied{{New(), plain{}, map[ids.JobID]State{}}, {New(), plain{}, map[ids.JobID]State{}}}
		for step := range 80 {
			id := ids.JobID(fmt.Sprintf("job-%d", step))
			switch pick := rng.IntN(4); {
			case pick < 2 || len(order) == 0:
				r := Record{Status: wire.JobQueued, Priority: wire.Priority(rng.IntN(4)), SubmittedMS: int64(10 * step)}
				for range min(len(order), rng.IntN(4)) {
					r.DependsOn = append(r.DependsOn, order[len(order)-1-rng.IntN(min(len(order), 12))])
				}
				real[id] = r
				order = append(order, id)
			default:
				id = order[rng.IntN(len(order))]
				r := real[id]
				switch s := real.state(id); {
				case r.Status != wire.JobQueued:
				case pick == 2 && s == Ready: // only what is ready can run
					real[id] = Record{Status: wire.JobDone, DoneMS: int64(10*step + 5)}
				case pick == 3 || s == Cancelled: // a user's, or the leader's for an orphan
					real[id] = Record{Status: wire.JobCancelled}
				}
			}
			for _, c := range copies {
				for _, id := range order {
					if rng.IntN(3) > 0 && step < 79 {
						continue
					}
					before := map[ids.JobID]Readiness{}
					for other := range real {
						before[other] = c.g.ReadinessOf(other)
					}
					changed := c.g.Put(id, real[id])
					if r, ok := c.seen[id]; !ok || r.Status == wire.JobQueued {
						c.seen[id] = real[id]
					}
					for other := range real {
						got := c.g.ReadinessOf(other)
						if got.State != before[other].State && !slices.Contains(changed, other) {
							t.Fatalf("seed %d: %s went from %v to %v unsaid", seed, other, before[other], got)
						}
						if old := c.told[other]; old >= Ready && got.State < old {
							t.Fatalf("seed %d: %s went back from %d to %d", seed, other, old, got.State)
						}
						c.told[other] = got.State
					}
				}
				for id := range c.seen {
					got, state := c.g.ReadinessOf(id), c.seen.state(id)
					if got.State != state {
						t.Fatalf("seed %d step %d: %s is %d, the model says %d", seed, step, id, got.State, state)
					}
					if state == Waiting || state == Ready {
						if p := c.seen.priority(id); got.Priority != p {
							t.Fatalf("seed %d step %d: %s has priority %d, the model says %d", seed, step, id, got.Priority, p)
						}
					}
					if at := c.seen.readyMS(id); state == Ready && got.ReadyMS != at {
						t.Fatalf("seed %d step %d: %s was ready at %d, the model says %d", seed, step, id, got.ReadyMS, at)
					}
				}
			}
		}
	}
}

// The deadline of the last job reaches back over all that it needs, whenever they
// are heard of: each must start early enough for what comes after it.
func TestDeadlinesReachBack(t *testing.T) {
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

// A chain or a fan of a hundred thousand jobs takes neither the stack nor time
// beyond what changes.
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
			t.Errorf("%s: %d of %d jobs are withdrawn", kind, len(changed), n)
		}
	}
}
