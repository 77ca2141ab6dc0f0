package dependency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// store holds the records of all jobs, and changes them at random as users and the leader
// may.
type store struct {
	rng     *rand.Rand
	records model
	order   []ids.JobID // in the order of submission
}

// change submits a job, or finishes or cancels one.
func (s *store) change(step int) {
	action := s.rng.IntN(4)
	if action < 2 || len(s.order) == 0 {
		s.submit(step)
		return
	}
	id := s.order[s.rng.IntN(len(s.order))]
	if s.records[id].Status != wire.JobQueued {
		return
	}
	switch state := s.records.state(id); {
	case action == 2 && state == Ready: // only a ready job can run
		s.records[id] = Record{Status: wire.JobDone, DoneMS: int64(10*step + 5)}
	case action == 3 || state == Cancelled: // by its user, or by the leader for a dependent
		s.records[id] = Record{Status: wire.JobCancelled}
	}
}

// submit adds a job that depends on up to 3 of the last 12 jobs.
func (s *store) submit(step int) {
	record := Record{Status: wire.JobQueued, Priority: wire.Priority(s.rng.IntN(4)), SubmittedMS: int64(10 * step)}
	for range min(len(s.order), s.rng.IntN(4)) {
		recent := s.rng.IntN(min(len(s.order), 12))
		record.DependsOn = append(record.DependsOn, s.order[len(s.order)-1-recent])
	}
	id := ids.JobID(fmt.Sprintf("job-%d", step))
	s.records[id] = record
	s.order = append(s.order, id)
}

// replica is a graph with the records that it was given.
type replica struct {
	graph  *Graph
	seen   model
	states map[ids.JobID]State // the last ones that the graph returned
}

func newReplica() *replica {
	return &replica{graph: New(), seen: model{}, states: map[ids.JobID]State{}}
}

// put gives the graph a record. It checks that the graph lists each job whose state
// changes, and that no job which is ready or has ended moves back.
func (r *replica) put(t *testing.T, all model, id ids.JobID) {
	t.Helper()
	before := map[ids.JobID]State{}
	for other := range all {
		before[other] = r.graph.ReadinessOf(other).State
	}
	changed := r.graph.Put(id, all[id])
	if record, known := r.seen[id]; !known || record.Status == wire.JobQueued {
		r.seen[id] = all[id]
	}
	for other := range all {
		state := r.graph.ReadinessOf(other).State
		if state != before[other] && !slices.Contains(changed, other) {
			t.Fatalf("%s went from %d to %d and is not listed", other, before[other], state)
		}
		if last := r.states[other]; last >= Ready && state < last {
			t.Fatalf("%s went back from %d to %d", other, last, state)
		}
		r.states[other] = state
	}
}

// check compares the graph with the model of the same records.
func (r *replica) check(t *testing.T) {
	t.Helper()
	for id := range r.seen {
		got, state := r.graph.ReadinessOf(id), r.seen.state(id)
		if got.State != state {
			t.Fatalf("%s is %d, the model says %d", id, got.State, state)
		}
		if state == Waiting || state == Ready {
			if priority := r.seen.priority(id); got.Priority != priority {
				t.Fatalf("%s has priority %d, the model says %d", id, got.Priority, priority)
			}
		}
		if at := r.seen.readyMS(id); state == Ready && got.ReadyMS != at {
			t.Fatalf("%s was ready at %d, the model says %d", id, got.ReadyMS, at)
		}
	}
}

// Records reach each replica late, repeated and in any order. Replicas that have the same
// records agree with the model, and so with each other.
func TestRandomRecordsMatchTheModel(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			testRandomRecords(t, rand.New(rand.NewPCG(seed, 3)))
		})
	}
}

func testRandomRecords(t *testing.T, rng *rand.Rand) {
	t.Helper()
	const steps = 80
	jobs := &store{rng: rng, records: model{}}
	replicas := []*replica{newReplica(), newReplica()}
	for step := range steps {
		jobs.change(step)
		last := step == steps-1 // then each replica gets all records
		for _, r := range replicas {
			for _, id := range jobs.order {
				if rng.IntN(3) == 0 || last {
					r.put(t, jobs.records, id)
				}
			}
			r.check(t)
		}
	}
}
