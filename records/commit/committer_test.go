package commit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
)

// Lost responses must not lead to wrong results. A change reported as applied must be in the store at
// the reported revision. A change reported as a conflict must never be applied.
func TestIndeterminateResultsAreResolved(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { commitWithRandomFaults(t, seed) })
		})
	}
}

func commitWithRandomFaults(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	store := kvtest.NewStore()
	fence := setLeader(store, "a")
	faults := []kvtest.Fault{kvtest.NoFault, kvtest.LoseResponse, kvtest.ApplyLate, kvtest.ReturnUnavailable}
	log := recordCommits(store, func(kv.Txn) kvtest.Fault { return faults[rng.IntN(len(faults))] })
	c := newTestCommitter(newTestClient(store), fence)
	stop := startCommitter(t, c)
	conflicts := func(n int) bool { return n%7 == 3 }
	results := make([]records.CommitResult, 30)
	for n := range results {
		change := createTestJob(n)
		if conflicts(n) {
			change.Preconditions[0].Revision = 99
		}
		c.Submit(change, time.Time{}, func(result records.CommitResult) { results[n] = result })
	}
	time.Sleep(10 * time.Minute)
	synctest.Wait()
	stop()
	for n, result := range results {
		entry, found := store.Entry(records.JobKey(testJobID(n)))
		want := !conflicts(n)
		if !result.Resolved() || (result.Err == nil) != want || found != want {
			t.Errorf("change %d: reported %+v; in the store: %v", n, result, found)
		}
		if result.Err == nil && result.Revision != entry.Revision {
			t.Errorf("change %d: reported revision %d, the store has %d", n, result.Revision, entry.Revision)
		}
	}
	for _, txn := range log.sent {
		if txn.operations > 4 {
			t.Errorf("a transaction had %d operations", txn.operations)
		}
	}
}

// The limits of the store may be lowered at any time, so that it rejects a batch. The changes of the
// batch must then be sent individually. Only a change that is itself too large must fail. It must be
// reported as rejected, and not be sent again. A change of an indeterminate batch must not be reported
// as rejected if it was applied.
func TestRejectionFailsOnlyItsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewStore()
		limits := storeLimits{operations: 3, tooLarge: map[string]int{records.JobKey("job-4"): 0}}
		store.SetCommitFault(limits.rejectExceeding(faultsInOrder(kvtest.LoseResponse)))
		c := New(newTestClient(store), Limits{Operations: 8, Bytes: 48 << 10}, nil, discardLogger())
		results := map[ids.JobID]records.CommitResult{}
		submit := func(n int) {
			id := testJobID(n)
			c.Submit(createTestJob(n), time.Time{}, func(result records.CommitResult) {
				if _, alreadyReported := results[id]; alreadyReported || !result.Resolved() {
					t.Errorf("%s: reported twice: %v, error %v", id, alreadyReported, result.Err)
				}
				results[id] = result
			})
		}
		submit(0) // applied, but the response is lost and the retry is rejected
		stop := startCommitter(t, c)
		time.Sleep(2 * storeLatency) // until the store has applied the first attempt
		synctest.Wait()
		limits.markTooLarge(records.JobKey("job-0"))
		for n := 1; n < 8; n++ {
			submit(n)
		}
		time.Sleep(time.Minute)
		stop()
		for n := range 8 {
			result, reported := results[testJobID(n)]
			tooLarge := n == 4
			if !reported || (result.Err == nil) == tooLarge || errors.Is(result.Err, records.ErrRejected) != tooLarge {
				t.Errorf("job-%d: reported %v, %+v", n, reported, result)
			}
		}
		if sent := limits.tooLarge[records.JobKey("job-4")]; sent != 2 {
			t.Errorf("the change that is too large was sent %d times, want once in the batch and once alone", sent)
		}
	})
}

// After a lost response, the store may hold a record of another writer under the same key. Its nonce
// differs, so the change must be reported as a conflict, not as applied.
func TestRecordOfAnotherWriterIsNotTakenForOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewStore()
		stored := createTestJob(1).Operations[0]
		store.Put(stored.PutKey, stored.Value)
		store.SetCommitFault(faultsInOrder(kvtest.ApplyLate))
		change := records.CreateJobChange(testJobID(1), records.Job{Nonce: 77})
		c := newTestCommitter(newTestClient(store), nil)
		var got error
		c.Submit(change, time.Time{}, func(result records.CommitResult) { got = result.Err })
		stop := startCommitter(t, c)
		time.Sleep(time.Minute)
		stop()
		if _, conflict := errors.AsType[*records.ConflictError](got); !conflict {
			t.Errorf("reported %v, want a conflict", got)
		}
	})
}

// The response to a batch is lost and its retry is rejected. The store applies the first attempt while
// the changes are being sent individually. They must be reported as applied, not as conflicts with
// themselves.
func TestLateBatchResolvesItsIndividualChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewStore()
		// The store is unavailable until the late batch is applied.
		faults := []kvtest.Fault{kvtest.ApplyLate, kvtest.ReturnRejected}
		faults = append(faults, slices.Repeat([]kvtest.Fault{kvtest.ReturnUnavailable}, 20)...)
		store.SetCommitFault(faultsInOrder(faults...))
		c := newTestCommitter(newTestClient(store), nil)
		results := make([]records.CommitResult, 2)
		for n := range results {
			results[n].Err = errors.New("not reported")
			c.Submit(createTestJob(n), time.Time{}, func(result records.CommitResult) { results[n] = result })
		}
		stop := startCommitter(t, c)
		time.Sleep(time.Minute)
		stop()
		revision := storeRevision(t, store)
		for n, result := range results {
			if result.Err != nil || result.Revision != revision {
				t.Errorf("change %d: reported %+v", n, result)
			}
		}
	})
}

// After a failover, the previous leader may still send changes. They must not be applied, and the
// committer of that leader must stop.
func TestFencedCommitterStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewStore()
		c := newTestCommitter(newTestClient(store), setLeader(store, "a"))
		setLeader(store, "b")
		var got error
		c.Submit(createTestJob(1), time.Time{}, func(result records.CommitResult) { got = result.Err })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := c.Run(ctx); !errors.Is(err, records.ErrFenced) || !errors.Is(got, records.ErrFenced) {
			t.Fatalf("Run returned %v, reported %v, want ErrFenced", err, got)
		}
		if _, found := store.Entry(records.JobKey("job-1")); found {
			t.Fatal("the change was applied")
		}
	})
}

// During a store outage, a change with a deadline must fail immediately, so that its client does not
// wait until the deadline and can retry elsewhere.
func TestChangeWithDeadlineFailsImmediatelyInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewStore()
		store.SetCommitFault(func(kv.Txn) kvtest.Fault { return kvtest.ReturnUnavailable })
		c := newTestCommitter(newTestClient(store), nil)
		startCommitter(t, c)
		start := time.Now()
		results := make(chan records.CommitResult, 1)
		c.Submit(createTestJob(1), time.Now().Add(4*time.Second), func(result records.CommitResult) { results <- result })
		if result := <-results; !errors.Is(result.Err, kv.ErrUnavailable) {
			t.Fatalf("reported %v", result.Err)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Fatalf("reported after %v", took)
		}
	})
}

// A wrong classification of a response would report an unapplied change as applied, or the reverse, or
// would retry a transaction that must not be sent again.
func TestResultsFollowFromResponses(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   []kvtest.Fault
		deadline time.Duration // 0: none
		want     error         // nil: applied
		resolved bool
		sent     int
	}{
		{name: "applied", want: nil, resolved: true, sent: 1},
		{name: "unavailable twice", faults: []kvtest.Fault{kvtest.ReturnUnavailable, kvtest.ReturnUnavailable}, resolved: true, sent: 3},
		{name: "unavailable, with a deadline", faults: []kvtest.Fault{kvtest.ReturnUnavailable}, deadline: time.Minute, want: kv.ErrUnavailable, sent: 1},
		{name: "response lost after the change was applied", faults: []kvtest.Fault{kvtest.LoseResponse}, resolved: true, sent: 2},
		{name: "response lost, with a deadline", faults: []kvtest.Fault{kvtest.LoseResponse}, deadline: time.Minute, resolved: true, sent: 2},
		{name: "response lost, then unavailable", faults: []kvtest.Fault{kvtest.LoseResponse, kvtest.ReturnUnavailable, kvtest.ReturnUnavailable}, resolved: true, sent: 4},
		{name: "response lost, deadline passed", faults: []kvtest.Fault{kvtest.ApplyLate}, deadline: time.Second, want: records.ErrIndeterminate, sent: 1},
		{name: "response lost, unavailable until the deadline", faults: []kvtest.Fault{kvtest.ApplyLate, kvtest.ReturnUnavailable, kvtest.ReturnUnavailable}, deadline: 1100 * time.Millisecond,
			want: records.ErrIndeterminate, sent: 3},
		{name: "response lost, then rejected, applied", faults: []kvtest.Fault{kvtest.LoseResponse, kvtest.ReturnRejected}, resolved: true, sent: 2},
		{name: "response lost, then rejected, not applied", faults: []kvtest.Fault{kvtest.ApplyLate, kvtest.ReturnRejected}, want: records.ErrRejected, resolved: true, sent: 2},
		{name: "rejected", faults: []kvtest.Fault{kvtest.ReturnRejected}, want: records.ErrRejected, resolved: true, sent: 1},
		{name: "malformed response", faults: []kvtest.Fault{kvtest.CorruptResponse}, want: records.ErrIndeterminate, sent: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kvtest.NewStore()
				log := recordCommits(store, faultsInOrder(c.faults...))
				committer := newTestCommitter(newTestClient(store), nil)
				stop := startCommitter(t, committer)
				var deadline time.Time
				if c.deadline > 0 {
					deadline = time.Now().Add(c.deadline)
				}
				var results []records.CommitResult
				committer.Submit(createTestJob(1), deadline, func(result records.CommitResult) { results = append(results, result) })
				time.Sleep(time.Minute)
				stop()
				if len(results) != 1 || !errors.Is(results[0].Err, c.want) || results[0].Resolved() != c.resolved {
					t.Errorf("reported %+v, want %v, resolved %v", results, c.want, c.resolved)
				}
				if len(log.sent) != c.sent {
					t.Errorf("sent %d times, want %d", len(log.sent), c.sent)
				}
			})
		})
	}
}

// One change with a failed precondition makes its whole batch fail. The conflict must name only the
// keys of that change, and the other changes of the batch must be applied.
func TestConflictFailsOnlyItsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewStore()
		log := recordCommits(store, faultsInOrder())
		c := newTestCommitter(newTestClient(store), setLeader(store, "a"))
		results := make([]records.CommitResult, 3)
		for n := range results {
			change := createTestJob(n)
			change.Preconditions[0].Revision = []ids.Revision{0, 99, 0}[n]
			c.Submit(change, time.Time{}, func(result records.CommitResult) { results[n] = result })
		}
		stop := startCommitter(t, c)
		time.Sleep(time.Minute)
		stop()
		conflict, ok := errors.AsType[*records.ConflictError](results[1].Err)
		if !ok || len(conflict.Keys) != 1 || conflict.Keys[0] != "jobs/job-1" {
			t.Errorf("reported %v, want a conflict on jobs/job-1", results[1].Err)
		}
		if results[0].Err != nil || results[2].Err != nil || len(log.sent) != 2 {
			t.Errorf("the other changes: %v, %v, after %d transactions", results[0].Err, results[2].Err, len(log.sent))
		}
	})
}

// Without backoff, retries would overload an unavailable store. The delay before a retry must start at
// 50 ms and double up to 500 ms.
func TestRetriesBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewStore()
		log := recordCommits(store, faultsInOrder(slices.Repeat([]kvtest.Fault{kvtest.ReturnUnavailable}, 6)...))
		c := newTestCommitter(newTestClient(store), nil)
		stop := startCommitter(t, c)
		c.Submit(createTestJob(1), time.Time{}, func(records.CommitResult) {})
		time.Sleep(time.Minute)
		stop()
		waits := []time.Duration{50, 100, 200, 400, 500, 500}
		if len(log.sent) != len(waits)+1 {
			t.Fatalf("sent %d times, want %d", len(log.sent), len(waits)+1)
		}
		for i, wait := range waits {
			want := wait*time.Millisecond + 2*storeLatency
			if took := log.sent[i+1].receivedAt.Sub(log.sent[i].receivedAt); took != want {
				t.Errorf("retry %d came after %v, want %v", i+1, took, want)
			}
		}
	})
}
