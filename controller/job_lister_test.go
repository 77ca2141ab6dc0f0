package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// slowListStore is a store whose pages take a while, and of which each third fails.
type slowListStore struct {
	*kvtest.Store
	mu    sync.Mutex
	reads map[string]int // successful reads of the page after each key
	tries int
}

// pageTime is how long a page of a slowListStore takes.
const pageTime = 100 * time.Millisecond

func (s *slowListStore) ListPage(ctx context.Context, prefix, after string) (kv.Page, error) {
	time.Sleep(pageTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tries++; s.tries%3 == 0 {
		return kv.Page{}, kv.ErrUnavailable
	}
	s.reads[after]++
	return s.Store.ListPage(ctx, prefix, after)
}

// slowListJobs is the number of jobs in a slowListStore. Reading all of them takes far longer than a query may.
const slowListJobs = 300

func listedJob(i int) ids.JobID { return ids.JobID(fmt.Sprintf("job-%03d", i)) }

// newSlowListStore returns a store with slowListJobs queued jobs on pages of ten. The last job depends on the
// one before it, which is cancelled; its own record does not say so yet.
func newSlowListStore() *slowListStore {
	s := &slowListStore{Store: kvtest.NewStore(), reads: map[string]int{}}
	s.SetPageSize(10)
	for i := range slowListJobs {
		s.Put(records.JobKey(listedJob(i)), records.Job{Status: wire.JobQueued, Tasks: 1})
	}
	s.Put(records.JobKey(listedJob(slowListJobs-2)), records.Job{Status: wire.JobCancelled, Tasks: 1})
	dependent := &wire.JobSpec{DependsOn: []ids.JobID{listedJob(slowListJobs - 2)}}
	s.Put(records.JobKey(listedJob(slowListJobs-1)), records.Job{Status: wire.JobQueued, Tasks: 1, Spec: dependent})
	return s
}

// withReader runs a status reader for a slowListStore during a test.
func withReader(t *testing.T, test func(t *testing.T, store *slowListStore, reader *statusReader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := newSlowListStore()
		reader := newTestReader(store)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = reader.run(ctx) })
		test(t, store, reader)
		cancel()
		running.Wait()
	})
}

// queryInTime asks for the status of a job as a user does, who waits for queryTimeout.
func queryInTime(t *testing.T, reader *statusReader, id ids.JobID) queryAnswer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), queryTimeout)
	defer cancel()
	answer := reader.query(ctx, id, nil)
	if answer.err != nil {
		t.Errorf("%s: %v", id, answer.err)
	}
	return answer
}

// A controller that is started has read no job. If queries waited for the list of all jobs, none would be
// answered for as long as it takes to read, which grows with every job that was ever submitted.
func TestQueriesAreAnsweredWhileTheListIsRead(t *testing.T) {
	withReader(t, func(t *testing.T, store *slowListStore, reader *statusReader) {
		if a := queryInTime(t, reader, listedJob(slowListJobs-3)); a.job.Status != wire.JobQueued {
			t.Errorf("a queued job at the end of the list: %+v", a)
		}
		if a := queryInTime(t, reader, "job-x"); a.found {
			t.Errorf("a job that was never submitted: %+v", a)
		}
		if a := queryInTime(t, reader, listedJob(slowListJobs-1)); a.job.Status != wire.JobCancelled {
			t.Errorf("a job whose dependency is cancelled: %+v", a)
		}
		store.Put(records.JobKey(listedJob(slowListJobs-3)), records.Job{Status: wire.JobDone, Tasks: 1})
		if a := queryInTime(t, reader, listedJob(slowListJobs-3)); a.job.Status != wire.JobDone {
			t.Errorf("a job that has ended since the last query: %+v", a)
		}
	})
}

// If a read that fails, or whose query has timed out, made the list begin again, a long list would never be
// read.
func TestEachPageOfTheListIsReadOnce(t *testing.T) {
	withReader(t, func(t *testing.T, store *slowListStore, reader *statusReader) {
		for range 20 {
			queryInTime(t, reader, listedJob(5))
			time.Sleep(time.Second)
		}
		store.mu.Lock()
		defer store.mu.Unlock()
		if len(store.reads) != slowListJobs/10 {
			t.Errorf("%d pages read, want %d", len(store.reads), slowListJobs/10)
		}
		for after, count := range store.reads {
			if count != 1 {
				t.Errorf("the page after %q was read %d times", after, count)
			}
		}
	})
}

// Reads of single jobs share the request rate with all else. Queries beyond the budget are refused, and answered
// once the list is read.
func TestReadsOfSingleJobsAreLimited(t *testing.T) {
	withReader(t, func(t *testing.T, store *slowListStore, reader *statusReader) {
		answered := func() int {
			var mu sync.Mutex
			var asking sync.WaitGroup
			count := 0
			for i := range 100 {
				asking.Go(func() {
					if reader.query(t.Context(), listedJob(slowListJobs-3-i), nil).err == nil {
						mu.Lock()
						count++
						mu.Unlock()
					}
				})
			}
			asking.Wait()
			return count
		}
		synctest.Wait()
		if got := answered(); got == 0 || got > 2*maxJobReads {
			t.Errorf("%d queries answered while the list is read, want 1 to %d", got, 2*maxJobReads)
		}
		time.Sleep(time.Minute)
		before := store.RequestCount()
		if got := answered(); got != 100 || store.RequestCount()-before > 10 {
			t.Errorf("%d of 100 queries answered with %d requests after the list is read", got, store.RequestCount()-before)
		}
	})
}
