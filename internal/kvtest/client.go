package kvtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
)

// responseTimeout is how long a client waits for a response that was lost.
const responseTimeout = time.Second

// Client is the access of one caller to a store. A request takes effect between two latencies.
// It is safe for concurrent use.
type Client struct {
	store *Store
	// latency returns how long a request or its response takes. It is called for each of them,
	// concurrently.
	latency func() time.Duration

	mu           sync.Mutex
	refused      bool
	delayedUntil time.Time
}

// NewClient returns a client whose requests and responses each take what latency returns.
func (s *Store) NewClient(latency func() time.Duration) *Client {
	return &Client{store: s, latency: latency}
}

// RefuseRequests has the store refuse this client's requests. Its open watches stay open.
func (c *Client) RefuseRequests() { c.setRefused(true) }

// AcceptRequests has the store execute this client's requests again.
func (c *Client) AcceptRequests() { c.setRefused(false) }

func (c *Client) setRefused(refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = refused
}

// DelayRequests has this client's requests reach the store only after a time from now.
func (c *Client) DelayRequests(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedUntil = time.Now().Add(duration)
}

// remainingDelay returns for how long requests are held from now.
func (c *Client) remainingDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.delayedUntil)
}

func (c *Client) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// call sends a request to the store.
func (c *Client) call(request func() error) error {
	time.Sleep(c.latency())
	time.Sleep(c.remainingDelay())
	if c.isRefused() {
		return kv.ErrUnavailable
	}
	err := request()
	time.Sleep(c.latency())
	return err
}

// Get is Store.Get.
func (c *Client) Get(ctx context.Context, key string) (entry kv.Entry, found bool, err error) {
	err = c.call(func() error {
		entry, found, err = c.store.Get(ctx, key)
		return err
	})
	return entry, found, err
}

// List is Store.List.
func (c *Client) List(ctx context.Context, prefix string, each func(kv.Entry) error) (revision ids.Revision, err error) {
	err = c.call(func() error {
		revision, err = c.store.List(ctx, prefix, each)
		return err
	})
	return revision, err
}

// Commit is Store.Commit. It waits for a response that was lost.
func (c *Client) Commit(ctx context.Context, txn kv.Txn) (result kv.TxnResult, err error) {
	err = c.call(func() error {
		result, err = c.store.Commit(ctx, txn)
		return err
	})
	if errors.Is(err, kv.ErrIndeterminate) {
		time.Sleep(responseTimeout)
	}
	return result, err
}

// GrantLease is Store.GrantLease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (id ids.LeaseID, err error) {
	err = c.call(func() error {
		id, err = c.store.GrantLease(ctx, ttl)
		return err
	})
	return id, err
}

// RenewLease is Store.RenewLease.
func (c *Client) RenewLease(ctx context.Context, id ids.LeaseID) error {
	return c.call(func() error { return c.store.RenewLease(ctx, id) })
}

// RevokeLease is Store.RevokeLease.
func (c *Client) RevokeLease(ctx context.Context, id ids.LeaseID) error {
	return c.call(func() error { return c.store.RevokeLease(ctx, id) })
}

// Watch is Store.Watch.
func (c *Client) Watch(ctx context.Context, prefix string, since ids.Revision, maxWait time.Duration) (revision ids.Revision, events []kv.Event, err error) {
	err = c.call(func() error {
		revision, events, err = c.store.Watch(ctx, prefix, since, maxWait)
		return err
	})
	return revision, events, err
}
