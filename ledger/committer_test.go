package ledger

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
	"ospreystile.example/ospreystile/statestore"
	"ospreystile.example/ospreystile/wire"
)

// fakeStore is a stand-in for the state service. Its answers can be lost, and
// transactions whose answer was lost can be applied late.
type fakeStore struct {
	mu    sync.Mutex
	epoch ids.Stamp
	keys  map[string]statestore.Entry
	// fate decides about the next transaction.
	fate  func() fate
	txns  int
	most  int
	calls []statestore.Txn
}

type fate int

const (
	answered   fate = iota
	answerLost      // applied, but not answered
	late            // not answered, applied after a while
	refused503
)

func (s *fakeStore) apply(t statestore.Txn) statestore.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, g := range t.Guards {
		if s.keys[g.Key].Stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return statestore.Outcome{Epoch: s.epoch, Failed: failed}
	}
	s.epoch++
	for _, op := range t.Apply {
		if op.Write == "" {
			delete(s.keys, op.Drop)
			continue
		}
		s.keys[op.Write] = statestore.Entry{Key: op.Write, Value: wire.Encode(op.Value), Stamp: s.epoch}
	}
	return statestore.Outcome{Applied: true, Epoch: s.epoch}
}

func (s *fakeStore) Commit(ctx context.Context, t statestore.Txn) (statestore.Outcome, error) {
	s.mu.Lock()
	s.txns++
	s.most = max(s.most, len(t.Apply))
	f := answered
	if s.fate != nil {
		f = s.fate()
	}
	s.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	switch f {
	case answerLost:
		s.apply(t)
		time.Sleep(time.Second)
		return statestore.Outcome{}, statestore.ErrUnknown
	case late:
		time.AfterFunc(7*time.Second, func() { s.apply(t) })
		time.Sleep(time.Second)
		return statestore.Outcome{}, statestore.ErrUnknown
	case refused503:
		return statestore.Outcome{}, statestore.ErrUnavailable
	}
	return s.apply(t), nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (statestore.Entry, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	return e, ok, nil
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// Whatever happens to answers, the outcome told must be the truth: a change
// told as applied is in the store with the stamp told, and one told as refused
// never gets there.
func TestUnknownOutcomesAreSettled(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			store := &fakeStore{keys: map[string]statestore.Entry{}}
			store.apply(statestore.Txn{Apply: []statestore.Op{{Write: LeaderKey, Value: "a"}}})
			store.fate = func() fate { return fate(rng.IntN(4)) }
			c := NewCommitter(store, Limits{Ops: 4, Bytes: 4096}, &statestore.Guard{Key: LeaderKey, Stamp: store.epoch}, quiet())
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- c.Run(ctx) }()
			type told struct {
				o   Outcome
				err error
			}
			results := make([]told, 30)
			for i := range results {
				stamp := ids.Stamp(0)
				if i%7 == 3 {
					stamp = 99 // a guard that fails
				}
				ch := SubmitChange(ids.JobID(fmt.Sprintf("job-%d", i)), Job{Nonce: uint64(i + 1), Status: wire.StatusQueued, Tasks: 1})
				ch.Guards[0].Stamp = stamp
				ch.ID = uint64(i)
				c.Submit(ch, time.Time{}, func(o Outcome, err error) { results[i] = told{o, err} })
			}
			time.Sleep(10 * time.Minute)
			synctest.Wait()
			cancel()
			<-done
			for i, r := range results {
				e, found := store.keys[JobKey(ids.JobID(fmt.Sprintf("job-%d", i)))]
				if want := i%7 != 3; r.err != nil || r.o.Applied != want || found != want {
					t.Errorf("seed %d change %d: told %+v, err %v; in the store: %v", seed, i, r.o, r.err, found)
				}
				if r.o.Applied && r.o.Stamp != e.Stamp {
					t.Errorf("seed %d change %d: told stamp %d, the store has %d", seed, i, r.o.Stamp, e.Stamp)
				}
			}
			if store.most > 4 {
				t.Errorf("a transaction had %d writes", store.most)
			}
		})
	}
}

// A deposed leader's change must not get through, and ends its committer.
func TestFenceEndsTheCommitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{keys: map[string]statestore.Entry{}}
		store.apply(statestore.Txn{Apply: []statestore.Op{{Write: LeaderKey, Value: "a"}}})
		c := NewCommitter(store, Limits{Ops: 4, Bytes: 4096}, &statestore.Guard{Key: LeaderKey, Stamp: store.epoch}, quiet())
		store.apply(statestore.Txn{Apply: []statestore.Op{{Write: LeaderKey, Value: "b"}}})
		var got error
		c.Submit(SubmitChange("job-1", Job{Nonce: 1}), time.Time{}, func(_ Outcome, err error) { got = err })
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
		store := &fakeStore{keys: map[string]statestore.Entry{}, fate: func() fate { return refused503 }}
		c := NewCommitter(store, Limits{Ops: 4, Bytes: 4096}, nil, quiet())
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx) //nolint:errcheck // ended by cancel
		start := time.Now()
		done := make(chan error, 1)
		c.Submit(SubmitChange("job-1", Job{Nonce: 1}), time.Now().Add(4*time.Second), func(_ Outcome, err error) { done <- err })
		if err := <-done; !errors.Is(err, statestore.ErrUnavailable) {
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
