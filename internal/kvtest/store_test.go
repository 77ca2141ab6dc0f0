package kvtest

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/wire"
)

// access is what callers use a store by.
type access interface {
	Get(ctx context.Context, key string) (kv.Entry, bool, error)
	List(ctx context.Context, prefix string, each func(kv.Entry) error) (ids.Revision, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (ids.LeaseID, error)
	RenewLease(ctx context.Context, id ids.LeaseID) error
	RevokeLease(ctx context.Context, id ids.LeaseID) error
	Watch(ctx context.Context, prefix string, since ids.Revision, hold time.Duration) (ids.Revision, []kv.Event, error)
}

var (
	_ access = (*Store)(nil)
	_ access = (*Client)(nil)
	_ access = (*kv.Client)(nil)
)

// noLatency is the latency of clients that answer at once.
func noLatency() time.Duration { return 0 }

// forEachAccess runs a test on a store in memory, through a client and over HTTP.
func forEachAccess(t *testing.T, test func(t *testing.T, store *Store, caller access)) {
	t.Run("store", func(t *testing.T) {
		store := NewStore()
		test(t, store, store)
	})
	t.Run("client", func(t *testing.T) {
		store := NewStore()
		test(t, store, store.NewClient(noLatency))
	})
	t.Run("HTTP", func(t *testing.T) {
		server := startServer(t, NewStore())
		test(t, server.Store, newHTTPClient(server))
	})
}

// startServer starts a server of a store that ends with the test.
func startServer(t *testing.T, store *Store) *Server {
	t.Helper()
	server := NewServer(store)
	t.Cleanup(server.Close)
	return server
}

// newHTTPClient returns a client of a server.
func newHTTPClient(server *Server) *kv.Client {
	return kv.New(httpclient.New(server.Address(), 4, 16<<20), 100_000)
}

// put is a transaction that puts a key if it has a revision.
func put(key string, revision ids.Revision, value any) kv.Txn {
	return kv.Txn{Preconditions: []kv.Precondition{{Key: key, Revision: revision}}, Operations: []kv.Operation{{PutKey: key, Value: value}}}
}

// checkCommit requires the result of a transaction.
func checkCommit(t *testing.T, caller access, txn kv.Txn, want kv.TxnResult) {
	t.Helper()
	if got, err := caller.Commit(t.Context(), txn); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v: %+v, %v, want %+v", txn, got, err, want)
	}
}

// checkAbsent requires that a key does not exist.
func checkAbsent(t *testing.T, caller access, key string) {
	t.Helper()
	if entry, found, err := caller.Get(t.Context(), key); err != nil || found {
		t.Errorf("%s: %+v, %v, want none", key, entry, err)
	}
}

func TestCommitComparesAndSwaps(t *testing.T) {
	forEachAccess(t, func(t *testing.T, _ *Store, caller access) {
		checkCommit(t, caller, put("a/b", 0, "x"), kv.TxnResult{Applied: true, Revision: 1})
		checkCommit(t, caller, put("a/b", 0, "y"), kv.TxnResult{Revision: 1, FailedKeys: []string{"a/b"}})
		checkCommit(t, caller, kv.Txn{Preconditions: []kv.Precondition{{Key: "a/b", Revision: 1}}}, kv.TxnResult{Applied: true, Revision: 1})
		want := kv.Entry{Key: "a/b", Value: wire.Encode("x"), Revision: 1}
		if entry, found, err := caller.Get(t.Context(), "a/b"); err != nil || !found || !reflect.DeepEqual(entry, want) {
			t.Errorf("%+v, %v, %v, want %+v", entry, found, err, want)
		}
		two := kv.Txn{Operations: []kv.Operation{{DeleteKey: "a/b"}, {PutKey: "c", Value: map[string]int{"v": 2}}}}
		checkCommit(t, caller, two, kv.TxnResult{Applied: true, Revision: 2})
		checkAbsent(t, caller, "a/b")
	})
}

func TestListIsOrderedAndPaged(t *testing.T) {
	forEachAccess(t, func(t *testing.T, store *Store, caller access) {
		var want []string
		for n := range 1003 { // more than a page of kv.Client
			want = append(want, fmt.Sprintf("jobs/%04d", n))
		}
		for _, key := range slices.Backward(want) {
			store.Put(key, "x")
		}
		store.Put("other", "x")
		var keys []string
		revision, err := caller.List(t.Context(), "jobs/", func(entry kv.Entry) error {
			keys = append(keys, entry.Key)
			return nil
		})
		if err != nil || revision != 1004 || !slices.Equal(keys, want) {
			t.Errorf("%d keys at revision %d, %v", len(keys), revision, err)
		}
		errEnd := errors.New("end")
		if _, err := caller.List(t.Context(), "jobs/", func(kv.Entry) error { return errEnd }); !errors.Is(err, errEnd) {
			t.Errorf("ended with %v, want %v", err, errEnd)
		}
	})
}

func TestLeaseEndsWithItsKeys(t *testing.T) {
	const ttl = 100 * time.Millisecond
	forEachAccess(t, func(t *testing.T, _ *Store, caller access) {
		lease, err := caller.GrantLease(t.Context(), ttl)
		if err != nil {
			t.Fatal(err)
		}
		held := kv.Txn{Operations: []kv.Operation{{PutKey: "held", Value: "x", Lease: lease}}}
		checkCommit(t, caller, held, kv.TxnResult{Applied: true, Revision: 1})
		_, events, err := caller.Watch(t.Context(), "held", 1, time.Minute) // nobody renews the lease
		if err != nil || len(events) != 1 || events[0].DeletedKey != "held" || events[0].Revision != 2 {
			t.Errorf("watch: %+v, %v", events, err)
		}
		checkAbsent(t, caller, "held")
		if err := caller.RenewLease(t.Context(), lease); !errors.Is(err, kv.ErrLeaseExpired) {
			t.Errorf("renewed: %v", err)
		}
		held.Preconditions = []kv.Precondition{{Key: "held", Revision: 77}}
		if _, err := caller.Commit(t.Context(), held); !errors.Is(err, kv.ErrLeaseExpired) {
			t.Errorf("committed: %v", err)
		}
	})
}

func TestRevokedLeaseEndsAtOnce(t *testing.T) {
	forEachAccess(t, func(t *testing.T, _ *Store, caller access) {
		lease, err := caller.GrantLease(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		operations := []kv.Operation{{PutKey: "held", Value: "x", Lease: lease}, {PutKey: "free", Value: "x", Lease: lease}}
		checkCommit(t, caller, kv.Txn{Operations: operations}, kv.TxnResult{Applied: true, Revision: 1})
		checkCommit(t, caller, put("free", 1, "y"), kv.TxnResult{Applied: true, Revision: 2}) // detaches it from the lease
		for range 2 {
			if err := caller.RevokeLease(t.Context(), lease); err != nil {
				t.Error(err)
			}
		}
		checkAbsent(t, caller, "held")
		if _, found, err := caller.Get(t.Context(), "free"); err != nil || !found {
			t.Errorf("a key that was detached: %v, %v", found, err)
		}
	})
}

func TestWatch(t *testing.T) {
	forEachAccess(t, func(t *testing.T, store *Store, caller access) {
		store.Put("jobs/1", "x")
		store.Put("other", "x")
		revision, events, err := caller.Watch(t.Context(), "jobs/", 0, 0)
		if want := []kv.Event{{PutKey: "jobs/1", Value: wire.Encode("x"), Revision: 1}}; err != nil || revision != 2 || !reflect.DeepEqual(events, want) {
			t.Errorf("past changes: %d, %+v, %v", revision, events, err)
		}
		if revision, events, err := caller.Watch(t.Context(), "jobs/", 1, 10*time.Millisecond); err != nil || revision != 2 || len(events) > 0 {
			t.Errorf("no change: %d, %+v, %v", revision, events, err)
		}
		time.AfterFunc(10*time.Millisecond, func() { store.Put("jobs/2", "x") })
		if revision, events, err := caller.Watch(t.Context(), "jobs/", 2, time.Minute); err != nil || revision != 3 || len(events) != 1 {
			t.Errorf("a change to come: %d, %+v, %v", revision, events, err)
		}
	})
}

func TestRetentionOfChanges(t *testing.T) {
	forEachAccess(t, func(t *testing.T, store *Store, caller access) {
		store.SetRetention(10)
		store.Advance(20)
		if _, _, err := caller.Watch(t.Context(), "", 9, 0); !errors.Is(err, kv.ErrCompacted) {
			t.Errorf("from 11 revisions ago: %v", err)
		}
		if _, _, err := caller.Watch(t.Context(), "", 10, 0); err != nil {
			t.Errorf("from 10 revisions ago: %v", err)
		}
	})
}

func TestCommitFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   Fault
		want    error
		applied bool
	}{
		{"no fault", NoFault, nil, true},
		{"response lost", LoseResponse, kv.ErrIndeterminate, true},
		{"applied late", ApplyLate, kv.ErrIndeterminate, false},
		{"refused", Refuse, kv.ErrUnavailable, false},
		{"rejected", Reject, kv.ErrRejected, false},
		{"response malformed", MalformResponse, kv.ErrMalformedResponse, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			forEachAccess(t, func(t *testing.T, store *Store, caller access) {
				store.SetCommitFault(func(kv.Txn) Fault { return c.fault })
				if _, err := caller.Commit(t.Context(), put("k", 0, "x")); !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
					t.Errorf("%v, want %v", err, c.want)
				}
				if _, applied := store.Entry("k"); applied != c.applied {
					t.Errorf("applied: %v", applied)
				}
			})
		})
	}
}

func TestLoseResponses(t *testing.T) {
	forEachAccess(t, func(t *testing.T, store *Store, caller access) {
		store.LoseResponses(1)
		checkCommit(t, caller, put("k", 7, "x"), kv.TxnResult{FailedKeys: []string{"k"}}) // a conflict is answered
		if _, err := caller.Commit(t.Context(), put("k", 0, "x")); !errors.Is(err, kv.ErrIndeterminate) {
			t.Errorf("the first: %v", err)
		}
		checkCommit(t, caller, put("k", 1, "y"), kv.TxnResult{Applied: true, Revision: 2})
	})
}

// Servers of one store refuse their callers apart.
func TestServerRefuses(t *testing.T) {
	store := NewStore()
	one, other := startServer(t, store), startServer(t, store)
	one.Refuse("/store/")
	if _, _, err := newHTTPClient(one).Get(t.Context(), "k"); !errors.Is(err, kv.ErrUnavailable) {
		t.Errorf("refused: %v", err)
	}
	if _, _, err := newHTTPClient(other).Get(t.Context(), "k"); err != nil {
		t.Errorf("at the other server: %v", err)
	}
	checkCommit(t, newHTTPClient(one), put("k", 0, "x"), kv.TxnResult{Applied: true, Revision: 1}) // another path
	one.Accept()
	if _, found, err := newHTTPClient(one).Get(t.Context(), "k"); err != nil || !found {
		t.Errorf("accepted again: %v, %v", found, err)
	}
}

func TestOutage(t *testing.T) {
	forEachAccess(t, func(t *testing.T, store *Store, caller access) {
		store.Put("k", "x")
		store.StartOutage()
		if _, _, err := caller.Get(t.Context(), "k"); !errors.Is(err, kv.ErrUnavailable) {
			t.Errorf("in the outage: %v", err)
		}
		store.EndOutage()
		if _, found, err := caller.Get(t.Context(), "k"); err != nil || !found {
			t.Errorf("after the outage: %v, %v", found, err)
		}
		if requests := store.Requests(); requests != 2 {
			t.Errorf("counts %d requests, want 2", requests)
		}
	})
}
