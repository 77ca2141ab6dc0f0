package controller

import (
	"context"
	"errors"
	"fmt"
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

// newJobStore makes a store that keeps the last 40 changes.
func newJobStore() *kvtest.Store {
	store := kvtest.NewStore()
	store.SetRetention(40)
	return store
}

// newJobStoreClient returns a client of a store whose requests and responses take up to 30 ms each.
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
	return newStatusReader(store, 50*time.Millisecond, noProgress)
}

// freshnessTest has two controllers' readers of one store, and the answers of both.
type freshnessTest struct {
	store   *kvtest.Store
	readers [2]*statusReader

	// mu guards the fields below.
	mu sync.Mutex
	// newest is the rank of the newest status in any answer about a job.
	newest          map[ids.JobID]int
	asked, failures int
}

// query asks a random controller about a job, and checks that the answer is not older than an
// earlier answer.
func (f *freshnessTest) query(ctx context.Context, t *testing.T, rng *rand.Rand) {
	t.Helper()
	rank := map[wire.JobState]int{"": 0, wire.JobQueued: 1, wire.JobCancelled: 2, wire.JobDone: 2}
	id := ids.JobID(fmt.Sprintf("job-%d", rng.IntN(60)))
	f.mu.Lock()
	before := f.newest[id]
	f.asked++
	f.mu.Unlock()
	answer := f.readers[rng.IntN(2)].ask(ctx, id, nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	if answer.err != nil {
		f.failures++
		return
	}
	now := rank[answer.job.Status]
	if now < before {
		t.Errorf("%s: status %d after %d", id, now, before)
	}
	f.newest[id] = max(f.newest[id], now)
}

// change submits and ends jobs as another controller would. From time to time the store fails.
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

// Status reads are linearizable: once any controller has returned a status, no controller returns
// an older one to a later query. The reads of the store do not grow with the queries.
func TestAnswersOfTwoControllersNeverGoBack(t *testing.T) {
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
		if f.failures == 0 || f.failures > f.asked/2 {
			t.Errorf("%d of %d questions failed", f.failures, f.asked)
		}
		if calls := store.RequestCount(); 4*calls > f.asked {
			t.Errorf("%d calls for %d questions", calls, f.asked)
		}
	})
}

// A record that cannot be decoded is still that of an accepted job. The job must not be reported
// as unknown, and queries about it and about other jobs must be answered.
func TestUnreadableRecordIsNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newJobStore()
		store.Put(records.JobKey("job-1"), "nonsense")
		store.Put(records.JobKey("job-2"), records.Job{Status: wire.JobDone, Tasks: 2})
		p := newTestReader(newJobStoreClient(store))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.run(ctx) }()
		if a := p.ask(ctx, "job-1", nil); a.err != nil || !a.found || a.job.Status != wire.JobQueued {
			t.Errorf("unreadable: %+v", a)
		}
		if a := p.ask(ctx, "job-2", nil); a.err != nil || a.job.Status != wire.JobDone {
			t.Errorf("its neighbour: %+v", a)
		}
		if a := p.ask(ctx, "job-3", nil); a.err != nil || a.found {
			t.Errorf("never submitted: %+v", a)
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// stoodStill is a context whose deadline has passed although its timer has not fired, as a process
// finds it that was paused while its clocks ran on.
type stoodStill struct{ context.Context }

func (stoodStill) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// An answer that was ready before a process was paused may be older than what other controllers
// have returned since, so it is not given.
func TestAnswersFromBeforeAPauseAreNotGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newJobStore()
		store.Put(records.JobKey("job-1"), records.Job{Status: wire.JobQueued, Tasks: 2})
		p := newTestReader(newJobStoreClient(store))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.run(ctx) }()
		if a := p.ask(ctx, "job-1", nil); a.err != nil {
			t.Errorf("in time: %v", a.err)
		}
		if a := p.ask(stoodStill{ctx}, "job-1", nil); a.err == nil {
			t.Errorf("too late: %+v", a)
		}
		cancel()
		<-done
	})
}
