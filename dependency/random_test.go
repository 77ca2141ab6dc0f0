package dependency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// randomJobs holds the records of all jobs. It makes random changes that users and the leader may make.
type randomJobs struct {
	rng     *rand.Rand
	records model
	order   []ids.JobID // in submission order
}

// change submits a job, or tries to finish or cancel one.
func (s *randomJobs) change(step int) {
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
	case action == 2 && state == Ready: // only a ready job can run and finish
		s.records[id] = Record{Status: wire.JobDone, DoneMS: int64(10*step + 5)}
	case action == 3 || state == Cancelled: // by its user, or by the leader because a dependency is cancelled
		s.records[id] = Record{Status: wire.JobCancelled}
	}
}

// submit adds a job that depends on up to three of the last 12 jobs.
func (s *randomJobs) submit(step int) {
	record := Record{Status: wire.JobQueued, Priority: wire.Priority(s.rng.IntN(4)), SubmittedMS: int64(10 * step)}
	for range min(len(s.order), s.rng.IntN(4)) {
		recent := s.rng.IntN(min(len(s.order), 12))
		record.DependsOn = append(record.DependsOn, s.order[len(s.order)-1-recent])
	}
	id := ids.JobID(fmt.Sprintf("job-%d", step))
	s.records[id] = record
	s.order = append(s.order, id)
}

// replica holds a graph and the records that the graph has received.
type replica struct {
	graph    *Graph
	received model
	states   map[ids.JobID]State // as last returned by the graph
}

func newReplica() *replica {
	return &replica{graph: New(), received: model{}, states: map[ids.JobID]State{}}
}

// put passes a job's record to the graph. It checks that the graph returns each job whose state
// changes, and that no ready or ended job moves back to an earlier state.
func (r *replica) put(t *testing.T, all model, id ids.JobID) {
	t.Helper()
	before := map[ids.JobID]State{}
	for other := range all {
		before[other] = r.graph.ReadinessOf(other).State
	}
	changed := r.graph.Put(id, all[id])
	if record, known := r.received[id]; !known || record.Status == wire.JobQueued {
		r.received[id] = all[id]
	}
	for other := range all {
		state := r.graph.ReadinessOf(other).State
		if state != before[other] && !slices.Contains(changed, other) {
			t.Fatalf("%s changed from state %d to %d and is not returned as changed", other, before[other], state)
		}
		if last := r.states[other]; last >= Ready && state < last {
			t.Fatalf("%s moved back from state %d to %d", other, last, state)
		}
		r.states[other] = state
	}
}

// check compares the graph with the model for the same records.
func (r *replica) check(t *testing.T) {
	t.Helper()
	for id := range r.received {
		got, state := r.graph.ReadinessOf(id), r.received.state(id)
		if got.State != state {
			t.Fatalf("%s has state %d, want %d as in the model", id, got.State, state)
		}
		if state == Waiting || state == Ready {
			if priority := r.received.priority(id); got.Priority != priority {
				t.Fatalf("%s has priority %d, want %d as in the model", id, got.Priority, priority)
			}
		}
		if at := r.received.readyMS(id); state == Ready && got.ReadyMS != at {
			t.Fatalf("%s became ready at %d, want %d as in the model", id, got.ReadyMS, at)
		}
	}
}

// Records reach each replica late, repeatedly and in any order. A graph that depended on the order would
// give controllers different states for the same jobs. Replicas with the same records must agree with the
// model, and therefore with each other.
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
	jobs := &randomJobs{rng: rng, records: model{}}
	replicas := []*replica{newReplica(), newReplica()}
	for step := range steps {
		jobs.change(step)
		last := step == steps-1 // every replica receives all records in the last step
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
