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
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
)

// Whatever happens to answers, results are true: a change reported as applied is in the
// store at the revision reported, and one reported as a conflict never gets there.
func TestIndeterminateResultsAreResolved(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { commitWithRandomFates(t, seed) })
		})
	}
}

func commitWithRandomFates(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	store := newFakeStore()
	fence := store.setLeader("a")
	store.nextFate = func() fate { return fate(rng.IntN(4)) }
	c := newTestCommitter(store, fence)
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
		entry, found := store.entries[records.JobKey(testJobID(n))]
		want := !conflicts(n)
		if !result.Resolved() || (result.Err == nil) != want || found != want {
			t.Errorf("change %d: reported %+v; in the store: %v", n, result, found)
		}
		if result.Err == nil && result.Revision != entry.Revision {
			t.Errorf("change %d: reported revision %d, the store has %d", n, result.Revision, entry.Revision)
		}
	}
	for _, txn := range store.sent {
		if txn.operations > 4 {
			t.Errorf("a transaction had %d operations", txn.operations)
		}
	}
}

// The store's limits fall without notice. A batch that it rejects goes again one by one; a
// change that is too large by itself fails alone, is reported as rejected, and is not sent
// for ever. A change of an indeterminate batch is not reported as rejected if it was applied.
func TestRejectedChangeFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.mostOperations = 3
		store.rejectedKeys = map[string]int{records.JobKey("job-4"): 0}
		store.nextFate = fates(answerLost)
		c := New(store, Limits{Operations: 8, Bytes: 48 << 10}, nil, quietLogger())
		results := map[ids.JobID]records.CommitResult{}
		submit := func(n int) {
			id := testJobID(n)
			c.Submit(createTestJob(n), time.Time{}, func(result records.CommitResult) {
				if _, twice := results[id]; twice || !result.Resolved() {
					t.Errorf("%s: reported twice: %v, error %v", id, twice, result.Err)
				}
				results[id] = result
			})
		}
		submit(0) // its answer is lost, and the same again is rejected once it was applied
		stop := startCommitter(t, c)
		synctest.Wait()
		store.mu.Lock()
		store.rejectedKeys[records.JobKey("job-0")] = 0
		store.mu.Unlock()
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
		if sent := store.rejectedKeys[records.JobKey("job-4")]; sent != 2 {
			t.Errorf("the change that is too large was sent %d times, want once in the batch and once alone", sent)
		}
	})
}

// After a lost answer, a record with another nonce is another's: the change was not applied.
func TestRecordOfAnotherIsNotTakenForOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.apply(kv.Txn{Operations: createTestJob(1).Operations})
		store.nextFate = fates(appliedLate)
		change := records.CreateJobChange(testJobID(1), records.Job{Nonce: 77})
		c := newTestCommitter(store, nil)
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

// A batch whose answer was lost is rejected, and the first sending of it is applied while its
// changes go one by one: they must be reported as applied, not as conflicts with themselves.
func TestLateBatchResolvesItsSingleChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		// Unavailable until the late batch was applied.
		store.nextFate = fates(append([]fate{appliedLate, rejected}, slices.Repeat([]fate{unavailable}, 20)...)...)
		c := newTestCommitter(store, nil)
		results := make([]records.CommitResult, 2)
		for n := range results {
			results[n].Err = errors.New("not reported")
			c.Submit(createTestJob(n), time.Time{}, func(result records.CommitResult) { results[n] = result })
		}
		stop := startCommitter(t, c)
		time.Sleep(time.Minute)
		stop()
		for n, result := range results {
			if result.Err != nil || result.Revision != store.revision {
				t.Errorf("change %d: reported %+v", n, result)
			}
		}
	})
}

// A deposed leader's change must not get through, and ends its committer.
func TestFenceEndsTheCommitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		c := newTestCommitter(store, store.setLeader("a"))
		store.setLeader("b")
		var got error
		c.Submit(createTestJob(1), time.Time{}, func(result records.CommitResult) { got = result.Err })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := c.Run(ctx); !errors.Is(err, records.ErrFenced) || !errors.Is(got, records.ErrFenced) {
			t.Fatalf("ended with %v, reported %v", err, got)
		}
		if _, found := store.entries[records.JobKey("job-1")]; found {
			t.Fatal("the change got through")
		}
	})
}

// A user's submission is not held during an outage of the store: a client that waits is
// told at once.
func TestOutageIsReportedAtOnceToClientsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.nextFate = func() fate { return unavailable }
		c := newTestCommitter(store, nil)
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

// What a change is reported as follows from the answers to its transaction.
func TestResultsFollowFromAnswers(t *testing.T) {
	for _, c := range []struct {
		name     string
		fates    []fate
		deadline time.Duration // 0: none
		want     error         // nil: applied
		resolved bool
		sent     int
	}{
		{name: "answered", want: nil, resolved: true, sent: 1},
		{name: "unavailable twice", fates: []fate{unavailable, unavailable}, resolved: true, sent: 3},
		{name: "unavailable, with a deadline", fates: []fate{unavailable}, deadline: time.Minute, want: kv.ErrUnavailable, sent: 1},
		{name: "answer lost after it was applied", fates: []fate{answerLost}, resolved: true, sent: 2},
		{name: "answer lost, with a deadline", fates: []fate{answerLost}, deadline: time.Minute, resolved: true, sent: 2},
		{name: "answer lost, then unavailable", fates: []fate{answerLost, unavailable, unavailable}, resolved: true, sent: 4},
		{name: "answer lost, deadline passed", fates: []fate{appliedLate}, deadline: time.Second, want: records.ErrIndeterminate, sent: 1},
		{name: "answer lost, unavailable until the deadline", fates: []fate{appliedLate, unavailable, unavailable}, deadline: 1100 * time.Millisecond,
			want: records.ErrIndeterminate, sent: 3},
		{name: "answer lost, then rejected, applied", fates: []fate{answerLost, rejected}, resolved: true, sent: 2},
		{name: "answer lost, then rejected, not applied", fates: []fate{appliedLate, rejected}, want: records.ErrRejected, resolved: true, sent: 2},
		{name: "rejected", fates: []fate{rejected}, want: records.ErrRejected, resolved: true, sent: 1},
		{name: "malformed answer", fates: []fate{malformed}, want: records.ErrIndeterminate, sent: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.nextFate = fates(c.fates...)
				committer := newTestCommitter(store, nil)
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
				if len(store.sent) != c.sent {
					t.Errorf("sent %d times, want %d", len(store.sent), c.sent)
				}
			})
		})
	}
}

// A conflict names the keys of the change, and the other changes of the batch are applied.
func TestConflictFailsItsChangeAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		c := newTestCommitter(store, store.setLeader("a"))
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
			t.Errorf("the conflict was reported as %v", results[1].Err)
		}
		if results[0].Err != nil || results[2].Err != nil || len(store.sent) != 2 {
			t.Errorf("the other changes: %v, %v, after %d transactions", results[0].Err, results[2].Err, len(store.sent))
		}
	})
}

// Retries come after 50 ms, and then later and later, but never later than 500 ms.
func TestRetriesBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.nextFate = fates(unavailable, unavailable, unavailable, unavailable, unavailable, unavailable)
		c := newTestCommitter(store, nil)
		stop := startCommitter(t, c)
		c.Submit(createTestJob(1), time.Time{}, func(records.CommitResult) {})
		time.Sleep(time.Minute)
		stop()
		waits := []time.Duration{50, 100, 200, 400, 500, 500}
		if len(store.sent) != len(waits)+1 {
			t.Fatalf("sent %d times, want %d", len(store.sent), len(waits)+1)
		}
		for i, wait := range waits {
			want := wait*time.Millisecond + 5*time.Millisecond // with the store's own time
			if took := store.sent[i+1].at.Sub(store.sent[i].at); took != want {
				t.Errorf("retry %d came after %v, want %v", i+1, took, want)
			}
		}
	})
}
