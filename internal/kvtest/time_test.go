package kvtest

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
)

// grantLease grants a lease.
func grantLease(t *testing.T, client kvClient, ttl time.Duration) ids.LeaseID {
	t.Helper()
	id, err := client.GrantLease(t.Context(), ttl)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func TestRenewedLeaseDoesNotExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		lease := grantLease(t, store, time.Second)
		for range 10 {
			time.Sleep(999 * time.Millisecond)
			if err := store.RenewLease(t.Context(), lease); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if err := store.RenewLease(t.Context(), lease); !errors.Is(err, kv.ErrLeaseExpired) {
			t.Errorf("after its TTL: %v", err)
		}
	})
}

// Leases must not expire during an outage, and must have their full TTL after it.
func TestLeasesDoNotExpireDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		lease := grantLease(t, store, time.Second)
		time.Sleep(900 * time.Millisecond)
		store.StartOutage()
		time.Sleep(time.Minute)
		store.EndOutage()
		time.Sleep(900 * time.Millisecond)
		if err := store.RenewLease(t.Context(), lease); err != nil {
			t.Error(err)
		}
	})
}

// Without expiry a lease must outlive its TTL, but must still end when it is revoked.
func TestSuspendedLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		lease := grantLease(t, store, time.Second)
		store.SuspendLeaseExpiry()
		time.Sleep(time.Minute)
		if err := store.RenewLease(t.Context(), lease); err != nil {
			t.Error(err)
		}
		if err := store.RevokeLease(t.Context(), lease); err != nil {
			t.Error(err)
		}
		if err := store.RenewLease(t.Context(), lease); !errors.Is(err, kv.ErrLeaseExpired) {
			t.Errorf("after the revocation: %v", err)
		}
	})
}

// A watch that is open when an outage starts must report changes after the outage. Here the change is the
// expiry of a lease, one TTL after the outage ends.
func TestWatchStaysOpenDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		store.PutWithLease("held", "x", time.Second)
		time.AfterFunc(500*time.Millisecond, store.StartOutage)
		time.AfterFunc(5*time.Second, store.EndOutage)
		start := time.Now()
		_, events, err := store.Watch(t.Context(), "held", 1, time.Minute)
		if err != nil || len(events) != 1 || time.Since(start) != 6*time.Second {
			t.Errorf("%+v, %v after %v", events, err, time.Since(start))
		}
	})
}

func TestMaxWatchWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		store.SetMaxWatchWait(time.Second)
		start := time.Now()
		_, events, err := store.Watch(t.Context(), "", 0, time.Minute)
		if err != nil || len(events) > 0 || time.Since(start) != time.Second {
			t.Errorf("%+v, %v after %v", events, err, time.Since(start))
		}
	})
}

func TestWatchEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, _, err := NewStore().Watch(ctx, "", 0, time.Minute); !errors.Is(err, kv.ErrIndeterminate) {
			t.Errorf("%v, want %v", err, kv.ErrIndeterminate)
		}
	})
}

// A transaction with the fault ApplyLate must be applied after its caller received an indeterminate result.
func TestLateAppliedTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		store.SetCommitFault(func(kv.Txn) Fault { return ApplyLate })
		if _, err := store.Commit(t.Context(), put("k", 0, "x")); !errors.Is(err, kv.ErrIndeterminate) {
			t.Errorf("%v, want %v", err, kv.ErrIndeterminate)
		}
		time.Sleep(lateApplyDelay + 1)
		synctest.Wait()
		if _, found := store.Entry("k"); !found {
			t.Error("the transaction is not applied")
		}
	})
}

// Refusing or delaying the requests of one client must not affect another client.
func TestRefusedAndDelayedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		latency := func() time.Duration { return 5 * time.Millisecond }
		one, other := store.NewClient(latency), store.NewClient(latency)
		one.RefuseRequests()
		if err := one.RevokeLease(t.Context(), 1); !errors.Is(err, kv.ErrUnavailable) {
			t.Errorf("refused client: %v", err)
		}
		if err := other.RevokeLease(t.Context(), 1); err != nil {
			t.Errorf("other client: %v", err)
		}
		one.AcceptRequests()
		one.DelayRequests(time.Second)
		start := time.Now()
		if err := one.RevokeLease(t.Context(), 1); err != nil || time.Since(start) != 1005*time.Millisecond {
			t.Errorf("delayed request: %v after %v", err, time.Since(start))
		}
		start = time.Now()
		if err := one.RevokeLease(t.Context(), 1); err != nil || time.Since(start) != 10*time.Millisecond {
			t.Errorf("request after the delay: %v after %v", err, time.Since(start))
		}
	})
}

// A client must return an indeterminate result only after responseTimeout, as a real client waits for the
// response.
func TestClientWaitsForLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		store.LoseResponses(1)
		start := time.Now()
		if _, err := store.NewClient(noLatency).Commit(t.Context(), kv.Txn{}); !errors.Is(err, kv.ErrIndeterminate) || time.Since(start) != responseTimeout {
			t.Errorf("%v after %v", err, time.Since(start))
		}
	})
}
