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

// kvClient holds the methods that Store, Client and kv.Client have in common.
type kvClient interface {
	Get(ctx context.Context, key string) (kv.Entry, bool, error)
	List(ctx context.Context, prefix string, each func(kv.Entry) error) (ids.Revision, error)
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (ids.LeaseID, error)
	RenewLease(ctx context.Context, id ids.LeaseID) error
	RevokeLease(ctx context.Context, id ids.LeaseID) error
	Watch(ctx context.Context, prefix string, since ids.Revision, hold time.Duration) (ids.Revision, []kv.Event, error)
}

var (
	_ kvClient = (*Store)(nil)
	_ kvClient = (*Client)(nil)
	_ kvClient = (*kv.Client)(nil)
)

// noLatency is the latency of clients without delays.
func noLatency() time.Duration { return 0 }

// forEachClient runs a test directly on a store, through a Client and over HTTP.
func forEachClient(t *testing.T, test func(t *testing.T, store *Store, client kvClient)) {
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

// startServer starts a server for the store and closes it at the end of the test.
func startServer(t *testing.T, store *Store) *Server {
	t.Helper()
	server := NewServer(store)
	t.Cleanup(server.Close)
	return server
}

// newHTTPClient returns a kv.Client that is connected to the server.
func newHTTPClient(server *Server) *kv.Client {
	return kv.New(httpclient.New(server.Address(), 4, 16<<20), 100_000)
}

// put returns a transaction that puts a key if the key has the given revision.
func put(key string, revision ids.Revision, value any) kv.Txn {
	return kv.Txn{Preconditions: []kv.Precondition{{Key: key, Revision: revision}}, Operations: []kv.Operation{{PutKey: key, Value: value}}}
}

// checkCommit checks the result of committing a transaction.
func checkCommit(t *testing.T, client kvClient, txn kv.Txn, want kv.TxnResult) {
	t.Helper()
	if got, err := client.Commit(t.Context(), txn); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v: %+v, %v, want %+v", txn, got, err, want)
	}
}

// checkAbsent checks that a key does not exist.
func checkAbsent(t *testing.T, client kvClient, key string) {
	t.Helper()
	if entry, found, err := client.Get(t.Context(), key); err != nil || found {
		t.Errorf("%s: %+v, %v, want none", key, entry, err)
	}
}

// A transaction must be applied only if all of its preconditions hold, and then as a whole.
func TestCommitIsCompareAndSwap(t *testing.T) {
	forEachClient(t, func(t *testing.T, _ *Store, client kvClient) {
		checkCommit(t, client, put("a/b", 0, "x"), kv.TxnResult{Applied: true, Revision: 1})
		checkCommit(t, client, put("a/b", 0, "y"), kv.TxnResult{Revision: 1, FailedKeys: []string{"a/b"}})
		checkCommit(t, client, kv.Txn{Preconditions: []kv.Precondition{{Key: "a/b", Revision: 1}}}, kv.TxnResult{Applied: true, Revision: 1})
		want := kv.Entry{Key: "a/b", Value: wire.Encode("x"), Revision: 1}
		if entry, found, err := client.Get(t.Context(), "a/b"); err != nil || !found || !reflect.DeepEqual(entry, want) {
			t.Errorf("%+v, %v, %v, want %+v", entry, found, err, want)
		}
		two := kv.Txn{Operations: []kv.Operation{{DeleteKey: "a/b"}, {PutKey: "c", Value: map[string]int{"v": 2}}}}
		checkCommit(t, client, two, kv.TxnResult{Applied: true, Revision: 2})
		checkAbsent(t, client, "a/b")
	})
}

// List must return every key with the prefix once and in order, also across pages, and stop at an error of
// its callback.
func TestListIsOrderedAndPaged(t *testing.T) {
	forEachClient(t, func(t *testing.T, store *Store, client kvClient) {
		var want []string
		for n := range 1003 { // more than a page of kv.Client
			want = append(want, fmt.Sprintf("jobs/%04d", n))
		}
		for _, key := range slices.Backward(want) {
			store.Put(key, "x")
		}
		store.Put("other", "x")
		var keys []string
		revision, err := client.List(t.Context(), "jobs/", func(entry kv.Entry) error {
			keys = append(keys, entry.Key)
			return nil
		})
		if err != nil || revision != 1004 || !slices.Equal(keys, want) {
			t.Errorf("%d keys at revision %d, %v", len(keys), revision, err)
		}
		errEnd := errors.New("end")
		if _, err := client.List(t.Context(), "jobs/", func(kv.Entry) error { return errEnd }); !errors.Is(err, errEnd) {
			t.Errorf("ended with %v, want %v", err, errEnd)
		}
	})
}

// A watch must see that a key is deleted when its lease expires. The expired lease must not be usable, and a
// commit with it must fail even if a precondition fails as well.
func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	const ttl = 100 * time.Millisecond
	forEachClient(t, func(t *testing.T, _ *Store, client kvClient) {
		lease, err := client.GrantLease(t.Context(), ttl)
		if err != nil {
			t.Fatal(err)
		}
		leasedPut := kv.Txn{Operations: []kv.Operation{{PutKey: "held", Value: "x", Lease: lease}}}
		checkCommit(t, client, leasedPut, kv.TxnResult{Applied: true, Revision: 1})
		_, events, err := client.Watch(t.Context(), "held", 1, time.Minute) // the lease is not renewed
		if err != nil || len(events) != 1 || events[0].DeletedKey != "held" || events[0].Revision != 2 {
			t.Errorf("watch: %+v, %v", events, err)
		}
		checkAbsent(t, client, "held")
		if err := client.RenewLease(t.Context(), lease); !errors.Is(err, kv.ErrLeaseExpired) {
			t.Errorf("renewal of the expired lease: %v", err)
		}
		leasedPut.Preconditions = []kv.Precondition{{Key: "held", Revision: 77}}
		if _, err := client.Commit(t.Context(), leasedPut); !errors.Is(err, kv.ErrLeaseExpired) {
			t.Errorf("commit with the expired lease: %v", err)
		}
	})
}

// A revoked lease must delete only the keys that are still attached to it. Revoking it twice must succeed.
func TestRevokedLeaseEndsImmediately(t *testing.T) {
	forEachClient(t, func(t *testing.T, _ *Store, client kvClient) {
		lease, err := client.GrantLease(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		operations := []kv.Operation{{PutKey: "held", Value: "x", Lease: lease}, {PutKey: "free", Value: "x", Lease: lease}}
		checkCommit(t, client, kv.Txn{Operations: operations}, kv.TxnResult{Applied: true, Revision: 1})
		checkCommit(t, client, put("free", 1, "y"), kv.TxnResult{Applied: true, Revision: 2}) // detaches the key from the lease
		for range 2 {
			if err := client.RevokeLease(t.Context(), lease); err != nil {
				t.Error(err)
			}
		}
		checkAbsent(t, client, "held")
		if _, found, err := client.Get(t.Context(), "free"); err != nil || !found {
			t.Errorf("the detached key: %v, %v", found, err)
		}
	})
}

// A watch must return changes that precede it, wait for changes that follow it, and return none when its
// wait ends.
func TestWatch(t *testing.T) {
	forEachClient(t, func(t *testing.T, store *Store, client kvClient) {
		store.Put("jobs/1", "x")
		store.Put("other", "x")
		revision, events, err := client.Watch(t.Context(), "jobs/", 0, 0)
		if want := []kv.Event{{PutKey: "jobs/1", Value: wire.Encode("x"), Revision: 1}}; err != nil || revision != 2 || !reflect.DeepEqual(events, want) {
			t.Errorf("past changes: %d, %+v, %v", revision, events, err)
		}
		if revision, events, err := client.Watch(t.Context(), "jobs/", 1, 10*time.Millisecond); err != nil || revision != 2 || len(events) > 0 {
			t.Errorf("no change: %d, %+v, %v", revision, events, err)
		}
		time.AfterFunc(10*time.Millisecond, func() { store.Put("jobs/2", "x") })
		if revision, events, err := client.Watch(t.Context(), "jobs/", 2, time.Minute); err != nil || revision != 3 || len(events) != 1 {
			t.Errorf("later change: %d, %+v, %v", revision, events, err)
		}
	})
}

// A watch must fail if it starts before the retained changes, because it would miss some.
func TestWatchBeforeRetentionFails(t *testing.T) {
	forEachClient(t, func(t *testing.T, store *Store, client kvClient) {
		store.SetRetention(10)
		store.AdvanceRevision(20)
		if _, _, err := client.Watch(t.Context(), "", 9, 0); !errors.Is(err, kv.ErrCompacted) {
			t.Errorf("from 11 revisions ago: %v", err)
		}
		if _, _, err := client.Watch(t.Context(), "", 10, 0); err != nil {
			t.Errorf("from 10 revisions ago: %v", err)
		}
	})
}

// Each fault must give the caller its error, and must apply the transaction only if the fault says so.
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
		{"refused", ReturnUnavailable, kv.ErrUnavailable, false},
		{"rejected", ReturnRejected, kv.ErrRejected, false},
		{"response malformed", CorruptResponse, kv.ErrMalformedResponse, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			forEachClient(t, func(t *testing.T, store *Store, client kvClient) {
				store.SetCommitFault(func(kv.Txn) Fault { return c.fault })
				if _, err := client.Commit(t.Context(), put("k", 0, "x")); !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
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
	forEachClient(t, func(t *testing.T, store *Store, client kvClient) {
		store.LoseResponses(1)
		checkCommit(t, client, put("k", 7, "x"), kv.TxnResult{FailedKeys: []string{"k"}}) // a conflict is answered
		if _, err := client.Commit(t.Context(), put("k", 0, "x")); !errors.Is(err, kv.ErrIndeterminate) {
			t.Errorf("first commit: %v", err)
		}
		checkCommit(t, client, put("k", 1, "y"), kv.TxnResult{Applied: true, Revision: 2})
	})
}

// A server must refuse only the requests with the prefix, and only its own.
func TestServerRefusesRequests(t *testing.T) {
	store := NewStore()
	one, other := startServer(t, store), startServer(t, store)
	one.RefuseRequests("/store/")
	if _, _, err := newHTTPClient(one).Get(t.Context(), "k"); !errors.Is(err, kv.ErrUnavailable) {
		t.Errorf("at the refusing server: %v", err)
	}
	if _, _, err := newHTTPClient(other).Get(t.Context(), "k"); err != nil {
		t.Errorf("at the other server: %v", err)
	}
	checkCommit(t, newHTTPClient(one), put("k", 0, "x"), kv.TxnResult{Applied: true, Revision: 1}) // the path does not have the prefix
	one.AcceptRequests()
	if _, found, err := newHTTPClient(one).Get(t.Context(), "k"); err != nil || !found {
		t.Errorf("after AcceptRequests: %v, %v", found, err)
	}
}

func TestStoreRefusesRequestsDuringOutage(t *testing.T) {
	forEachClient(t, func(t *testing.T, store *Store, client kvClient) {
		store.Put("k", "x")
		store.StartOutage()
		if _, _, err := client.Get(t.Context(), "k"); !errors.Is(err, kv.ErrUnavailable) {
			t.Errorf("during the outage: %v", err)
		}
		store.EndOutage()
		if _, found, err := client.Get(t.Context(), "k"); err != nil || !found {
			t.Errorf("after the outage: %v, %v", found, err)
		}
		if requests := store.RequestCount(); requests != 2 {
			t.Errorf("%d requests counted, want 2", requests)
		}
	})
}
