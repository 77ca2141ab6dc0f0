package records

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
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// fakeStore is a stand-in for the state service. Its answers can be lost, and
// transactions whose answer was lost can be applied late.
type fakeStore struct {
	mu    sync.Mutex
	epoch ids.Revision
	keys  map[string]kv.Entry
	// fate decides about the next transaction.
	fate func() fate
	txns int
	most int
	// mostOps is the service's limit; 0: none. tooBig are keys whose values are
	// beyond the limit, with how often they were sent.
	mostOps int
	tooBig  map[string]int
}

type fate int

const (
	answered   fate = iota
	answerLost      // applied, but not answered
	late            // not answered, applied after a while
	refused503
	// tooLarge: refused for good, as is everything with more than mostOps changes.
	tooLarge
)

func (s *fakeStore) apply(t kv.Txn) kv.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, g := range t.Preconditions {
		if s.keys[g.Key].Revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return kv.TxnResult{Revision: s.epoch, FailedKeys: failed}
	}
	s.epoch++
	for _, op := range t.Operations {
		if op.PutKey == "" {
			delete(s.keys, op.DeleteKey)
			continue
		}
		s.keys[op.PutKey] = kv.Entry{Key: op.PutKey, Value: wire.Encode(op.Value), Revision: s.epoch}
	}
	return kv.TxnResult{Applied: true, Revision: s.epoch}
}

func (s *fakeStore) Commit(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	s.mu.Lock()
	s.txns++
	s.most = max(s.most, len(t.Operations))
	f := answered
	if s.fate != nil {
		f = s.fate()
	}
	if s.mostOps > 0 && len(t.Operations) > s.mostOps {
		f = tooLarge
	}
	for _, op := range t.Operations {
		if _, is := s.tooBig[op.PutKey]; is {
			s.tooBig[op.PutKey]++
			f = tooLarge
		}
	}
	s.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	switch f {
	case tooLarge:
		return kv.TxnResult{}, kv.ErrRejected
	case answerLost:
		s.apply(t)
		time.Sleep(time.Second)
		return kv.TxnResult{}, kv.ErrIndeterminate
	case late:
		time.AfterFunc(7*time.Second, func() { s.apply(t) })
		time.Sleep(time.Second)
		return kv.TxnResult{}, kv.ErrIndeterminate
	case refused503:
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	return s.apply(t), nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (kv.Entry, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	return e, ok, nil
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// Whatever happens to answers, the outcome told must be the truth: a change
// told as applied is in the store with the revision told, and one told as refused
// never gets there.
func TestUnknownOutcomesAreSettled(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			store := &fakeStore{keys: map[string]kv.Entry{}}
			store.apply(kv.Txn{Operations: []kv.Operation{{PutKey: LeaderKey, Value: "a"}}})
			store.fate = func() fate { return fate(rng.IntN(4)) }
			c := NewCommitter(store, Limits{Operations: 4, Bytes: 4096}, &kv.Precondition{Key: LeaderKey, Revision: store.epoch}, quiet())
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- c.Run(ctx) }()
			results := make([]CommitResult, 30)
			for i := range results {
				revision := ids.Revision(0)
				if i%7 == 3 {
					revision = 99 // a guard that fails
				}
				ch := CreateJobChange(ids.JobID(fmt.Sprintf("job-%d", i)), Job{Nonce: uint64(i + 1), Status: wire.JobQueued, Tasks: 1})
				ch.Preconditions[0].Revision = revision
				ch.ID = uint64(i)
				c.Submit(ch, time.Time{}, func(o CommitResult) { results[i] = o })
			}
			time.Sleep(10 * time.Minute)
			synctest.Wait()
			cancel()
			<-done
			for i, r := range results {
				e, found := store.keys[JobKey(ids.JobID(fmt.Sprintf("job-%d", i)))]
				if want := i%7 != 3; !r.Resolved() || (r.Err == nil) != want || found != want {
					t.Errorf("seed %d change %d: told %+v; in the store: %v", seed, i, r, found)
				}
				if r.Err == nil && r.Revision != e.Revision {
					t.Errorf("seed %d change %d: told stamp %d, the store has %d", seed, i, r.Revision, e.Revision)
				}
			}
			if store.most > 4 {
				t.Errorf("a transaction had %d writes", store.most)
			}
		})
	}
}

// A deposed leader's change must not get through, and ends its committer.
// The service's limits fall without notice. A batch that it will not take goes
// again one by one; a change that is too large by itself fails alone, is told so,
// and is not sent for ever.
func TestRefusedChangeFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{keys: map[string]kv.Entry{}, mostOps: 3, tooBig: map[string]int{JobKey("job-4"): 0}}
		fates := []fate{answerLost}
		store.fate = func() (f fate) {
			if len(fates) > 0 {
				f, fates = fates[0], fates[1:]
			}
			return f
		}
		c := NewCommitter(store, Limits{Operations: 8, Bytes: 48 << 10}, nil, quiet())
		outcomes := map[ids.JobID]CommitResult{}
		submit := func(n int) {
			id := ids.JobID(fmt.Sprintf("job-%d", n))
			c.Submit(CreateJobChange(id, Job{Nonce: uint64(n)}), time.Time{}, func(o CommitResult) {
				if _, twice := outcomes[id]; twice || !o.Resolved() {
					t.Errorf("%s: told again: %v, error %v", id, twice, o.Err)
				}
				outcomes[id] = o
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		submit(0) // its answer is lost, and the same again refused once it was applied
		go func() { done <- c.Run(ctx) }()
		synctest.Wait()
		store.mu.Lock()
		store.tooBig[JobKey("job-0")] = 0
		store.mu.Unlock()
		for n := 1; n < 8; n++ {
			submit(n)
		}
		time.Sleep(time.Minute)
		cancel()
		<-done
		for n := range 8 {
			id := ids.JobID(fmt.Sprintf("job-%d", n))
			if o, told := outcomes[id]; !told || (o.Err == nil) == (n == 4) || errors.Is(o.Err, ErrRejected) != (n == 4) {
				t.Errorf("%s: told %v, %+v", id, told, o)
			}
		}
		if sent := store.tooBig[JobKey("job-4")]; sent != 2 {
			t.Errorf("the change that is too large was sent %d times, want once in the batch and once alone", sent)
		}
	})
}

func TestFenceEndsTheCommitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{keys: map[string]kv.Entry{}}
		store.apply(kv.Txn{Operations: []kv.Operation{{PutKey: LeaderKey, Value: "a"}}})
		c := NewCommitter(store, Limits{Operations: 4, Bytes: 4096}, &kv.Precondition{Key: LeaderKey, Revision: store.epoch}, quiet())
		store.apply(kv.Txn{Operations: []kv.Operation{{PutKey: LeaderKey, Value: "b"}}})
		var got error
		c.Submit(CreateJobChange("job-1", Job{Nonce: 1}), time.Time{}, func(o CommitResult) { got = o.Err })
		if err := c.Run(t.Context()); !errors.Is(err, ErrFenced) || !errors.Is(got, ErrFenced) {
			t.Fatalf("ended with %v, told %v", err, got)
		}
		if _, found := store.keys[JobKey("job-1")]; found {
			t.Fatal("the change got through")
		}
	})
}

// A user's submission is not held while the state service is away: whoever
// waits is told at once.
func TestUsersAreToldAtOnceOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{keys: map[string]kv.Entry{}, fate: func() fate { return refused503 }}
		c := NewCommitter(store, Limits{Operations: 4, Bytes: 4096}, nil, quiet())
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx) //nolint:errcheck // ended by cancel
		start := time.Now()
		done := make(chan error, 1)
		c.Submit(CreateJobChange("job-1", Job{Nonce: 1}), time.Now().Add(4*time.Second), func(o CommitResult) { done <- o.Err })
		if err := <-done; !errors.Is(err, kv.ErrUnavailable) {
			t.Fatalf("told %v", err)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Fatalf("told after %v", took)
		}
		cancel()
		synctest.Wait()
	})
}

func TestAdmissionKeys(t *testing.T) {
	id, n, ok := ParseAdmissionKey(AdmissionKey("job-a/b", 12))
	if !ok || id != "job-a/b" || n != 12 {
		t.Fatalf("got %q %d %v", id, n, ok)
	}
	for _, bad := range []string{"jobs/x", "admissions/", "admissions/x", "admissions/x/y"} {
		if _, _, ok := ParseAdmissionKey(bad); ok {
			t.Errorf("%q was taken for a slice", bad)
		}
	}
}
