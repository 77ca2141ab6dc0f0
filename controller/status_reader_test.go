package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// newJobStore returns a store that retains the last 40 changes, and lists seven jobs on a page.
func newJobStore() *kvtest.Store {
	store := kvtest.NewStore()
	store.SetRetention(40)
	store.SetPageSize(7)
	return store
}

// newJobStoreClient returns a client whose requests and responses take up to 30 ms each.
func newJobStoreClient(store *kvtest.Store) *kvtest.Client {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(1, 9))
	return store.NewClient(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(1+rng.IntN(30)) * time.Millisecond
	})
}

func newTestReader(store jobStore) *statusReader {
	return newStatusReader(store, 50*time.Millisecond, noProgress, new(jobCapacity), slog.New(slog.DiscardHandler))
}

// freshnessTest holds the readers of two controllers over one store, and the newest answers of both.
type freshnessTest struct {
	store   *kvtest.Store
	readers [2]*statusReader

	// mu guards the fields below.
	mu sync.Mutex
	// newest is the rank of the newest status in any answer about a job.
	newest            map[ids.JobID]int
	queries, failures int
}

// query asks a random controller for the status of a random job, and checks that the answer is not older
// than a previous answer.
func (f *freshnessTest) query(ctx context.Context, t *testing.T, rng *rand.Rand) {
	t.Helper()
	rank := map[wire.JobState]int{"": 0, wire.JobQueued: 1, wire.JobCancelled: 2, wire.JobDone: 2}
	id := ids.JobID(fmt.Sprintf("job-%d", rng.IntN(60)))
	f.mu.Lock()
	before := f.newest[id]
	f.queries++
	f.mu.Unlock()
	answer := f.readers[rng.IntN(2)].query(ctx, id, nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	if answer.err != nil {
		f.failures++
		return
	}
	now := rank[answer.job.Status]
	if now < before {
		t.Errorf("%s: status rank %d after rank %d", id, now, before)
	}
	f.newest[id] = max(f.newest[id], now)
}

// change submits and ends jobs like another controller. Periodically the store has an outage.
func (f *freshnessTest) change(rng *rand.Rand) {
	for n := range 60 {
		id := ids.JobID(fmt.Sprintf("job-%d", n))
		for i, status := range []wire.JobState{wire.JobQueued, []wire.JobState{wire.JobDone, wire.JobCancelled}[n%2]} {
			f.store.Put(records.JobKey(id), records.Job{Status: status, Tasks: 2})
			f.mu.Lock()
			f.newest[id] = max(f.newest[id], i+1)
			f.mu.Unlock()
			time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
		}
		if n%20 == 19 {
			f.store.StartOutage()
		} else {
			f.store.EndOutage()
		}
	}
	f.store.EndOutage()
}

// Status reads must be linearizable: once any controller has returned a status, no controller may return
// an older status to a later query. The number of requests to the store must not grow with the number of
// queries.
func TestStatusAnswersAreLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newJobStore()
		client := newJobStoreClient(store)
		f := &freshnessTest{store: store, readers: [2]*statusReader{newTestReader(client), newTestReader(client)}, newest: map[ids.JobID]int{}}
		ctx, cancel := context.WithCancel(t.Context())
		var running, users sync.WaitGroup
		for _, reader := range f.readers {
			running.Go(func() { _ = reader.run(ctx) })
		}
		for user := range 40 {
			users.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(user), 3))
				for range 100 {
					f.query(ctx, t, rng)
					time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				}
			})
		}
		users.Go(func() { f.change(rand.New(rand.NewPCG(77, 3))) })
		users.Wait()
		cancel()
		running.Wait()
		if f.failures == 0 || f.failures > f.queries/2 {
			t.Errorf("%d of %d queries failed", f.failures, f.queries)
		}
		if calls := store.RequestCount(); 4*calls > f.queries {
			t.Errorf("%d requests to the store for %d queries", calls, f.queries)
		}
	})
}

// A record that cannot be decoded belongs to an accepted job. The job must not be reported as unknown,
// and queries about it and about other jobs must be answered.
func TestUnreadableRecordCountsAsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newJobStore()
		store.Put(records.JobKey("job-1"), "nonsense")
		store.Put(records.JobKey("job-2"), records.Job{Status: wire.JobDone, Tasks: 2})
		p := newTestReader(newJobStoreClient(store))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.run(ctx) }()
		if a := p.query(ctx, "job-1", nil); a.err != nil || !a.found || a.job.Status != wire.JobQueued {
			t.Errorf("job with an unreadable record: %+v", a)
		}
		if a := p.query(ctx, "job-2", nil); a.err != nil || a.job.Status != wire.JobDone {
			t.Errorf("job with a readable record: %+v", a)
		}
		if a := p.query(ctx, "job-3", nil); a.err != nil || a.found {
			t.Errorf("job that was never submitted: %+v", a)
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// pausedContext is a context whose deadline has passed although its timer has not fired. This is the
// state of a context after a pause of the process during which the clocks continued.
type pausedContext struct{ context.Context }

func (pausedContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// An answer that was computed before the process was paused may be older than the answers that other
// controllers have returned in the meantime, so it must be discarded.
func TestAnswersFromBeforeAPauseAreDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newJobStore()
		store.Put(records.JobKey("job-1"), records.Job{Status: wire.JobQueued, Tasks: 2})
		p := newTestReader(newJobStoreClient(store))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.run(ctx) }()
		if a := p.query(ctx, "job-1", nil); a.err != nil {
			t.Errorf("before the deadline: %v", a.err)
		}
		if a := p.query(pausedContext{ctx}, "job-1", nil); a.err == nil {
			t.Errorf("after the deadline: %+v", a)
		}
		cancel()
		<-done
	})
}
