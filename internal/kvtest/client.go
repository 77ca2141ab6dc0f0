package kvtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
)

// responseTimeout is how long a client waits for a response that is lost.
const responseTimeout = time.Second

// Client accesses a store on behalf of one caller. A request takes effect after one latency, and its
// response arrives after another. It is safe for concurrent use.
type Client struct {
	store *Store
	// latency returns how long a request or a response takes. It is called once for each of them, and
	// may be called concurrently.
	latency func() time.Duration

	mu           sync.Mutex
	refused      bool
	delayedUntil time.Time
}

// NewClient returns a client whose requests and responses each take the time that latency returns.
func (s *Store) NewClient(latency func() time.Duration) *Client {
	return &Client{store: s, latency: latency}
}

// RefuseRequests makes this client's requests fail with kv.ErrUnavailable. Its open watches stay open.
func (c *Client) RefuseRequests() { c.setRefused(true) }

// AcceptRequests makes the store execute this client's requests again.
func (c *Client) AcceptRequests() { c.setRefused(false) }

// setRefused sets whether this client's requests fail.
func (c *Client) setRefused(refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = refused
}

// DelayRequests delays this client's requests, so that none reaches the store before the duration has
// passed.
func (c *Client) DelayRequests(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedUntil = time.Now().Add(duration)
}

// remainingDelay returns how long requests are still delayed; it is negative if they are not.
func (c *Client) remainingDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.delayedUntil)
}

// isRefused reports whether this client's requests fail.
func (c *Client) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// call executes a request with the client's latency, delay and refusal.
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

// Get calls Store.Get.
func (c *Client) Get(ctx context.Context, key string) (entry kv.Entry, found bool, err error) {
	err = c.call(func() error {
		entry, found, err = c.store.Get(ctx, key)
		return err
	})
	return entry, found, err
}

// List calls Store.List.
func (c *Client) List(ctx context.Context, prefix string, each func(kv.Entry) error) (revision ids.Revision, err error) {
	err = c.call(func() error {
		revision, err = c.store.List(ctx, prefix, each)
		return err
	})
	return revision, err
}

// ListPage calls Store.ListPage.
func (c *Client) ListPage(ctx context.Context, prefix, after string) (page kv.Page, err error) {
	err = c.call(func() error {
		page, err = c.store.ListPage(ctx, prefix, after)
		return err
	})
	return page, err
}

// Commit calls Store.Commit. If the response is lost, it returns only after responseTimeout.
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

// GrantLease calls Store.GrantLease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (id ids.LeaseID, err error) {
	err = c.call(func() error {
		id, err = c.store.GrantLease(ctx, ttl)
		return err
	})
	return id, err
}

// RenewLease calls Store.RenewLease.
func (c *Client) RenewLease(ctx context.Context, id ids.LeaseID) error {
	return c.call(func() error { return c.store.RenewLease(ctx, id) })
}

// RevokeLease calls Store.RevokeLease.
func (c *Client) RevokeLease(ctx context.Context, id ids.LeaseID) error {
	return c.call(func() error { return c.store.RevokeLease(ctx, id) })
}

// Watch calls Store.Watch.
func (c *Client) Watch(ctx context.Context, prefix string, since ids.Revision, maxWait time.Duration) (revision ids.Revision, events []kv.Event, err error) {
	err = c.call(func() error {
		revision, events, err = c.store.Watch(ctx, prefix, since, maxWait)
		return err
	})
	return revision, events, err
}
