// Package kv is the client of the consensus-backed key-value store.
package kv

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

var (
	// ErrUnavailable means that the service did not execute the request.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrIndeterminate means that the request may have been executed, or may yet be.
	ErrIndeterminate = errors.New("state service gave no answer")
	// ErrLeaseExpired means that a lease has ended.
	ErrLeaseExpired = errors.New("no such lease")
	// ErrCompacted means that a watch must start again from a full read.
	ErrCompacted = errors.New("watch revision too old")
	// ErrRejected means that the service will not take the request as it is, for
	// its size or form. The same again is refused again.
	ErrRejected = errors.New("state service refused the request")
	// ErrMalformedResponse means that the service answered with something malformed.
	ErrMalformedResponse = errors.New("malformed answer from the state service")
)

// Entry is a key with its value and version.
type Entry struct {
	Key      string             `msgpack:"key"`
	Value    msgpack.RawMessage `msgpack:"v"`
	Revision ids.Revision       `msgpack:"stamp"`
	Lease    ids.LeaseID        `msgpack:"hold"`
}

// Precondition is a condition of a transaction; revision 0 means the key is absent.
type Precondition struct {
	Key      string       `msgpack:"key"`
	Revision ids.Revision `msgpack:"stamp"`
}

// Operation is one change of a transaction: a write, or else a drop.
type Operation struct {
	PutKey    string      `msgpack:"write,omitempty"`
	Value     any         `msgpack:"v,omitempty"`
	Lease     ids.LeaseID `msgpack:"hold,omitempty"`
	DeleteKey string      `msgpack:"drop,omitempty"`
}

// Txn is a guarded transaction.
type Txn struct {
	Preconditions []Precondition `msgpack:"guards"`
	Operations    []Operation    `msgpack:"apply,omitempty"`
}

// TxnResult is the definite answer to a transaction.
type TxnResult struct {
	Applied    bool
	Revision   ids.Revision
	FailedKeys []string
}

// Event is one change seen by a watch.
type Event struct {
	PutKey     string             `msgpack:"write"`
	DeletedKey string             `msgpack:"drop"`
	Value      msgpack.RawMessage `msgpack:"v"`
	Revision   ids.Revision       `msgpack:"stamp"`
}

// Transport carries one request to the service. It is the direct connection, or
// a way through a peer.
type Transport interface {
	Do(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error)
}

// Client talks to the state service and keeps to a request budget.
type Client struct {
	transport Transport
	budget    *rate.Limiter
	Timeout   time.Duration
}

// New makes a client that sends at most rps requests a second.
func New(call Transport, rps float64) *Client {
	return &Client{transport: call, budget: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))), Timeout: time.Second}
}

// WithTransport is the same client, budget included, by another way.
func (c *Client) WithTransport(call Transport) *Client {
	cp := *c
	cp.transport = call
	return &cp
}

// Unthrottled is the same service without the budget, for the few requests that
// leadership hangs on.
func (c *Client) Unthrottled() *Client {
	cp := *c
	cp.budget = rate.NewLimiter(rate.Inf, 1)
	return &cp
}

// do sends one request within the budget.
func (c *Client) do(ctx context.Context, method, path string, body any, timeout time.Duration, out any) (int, error) {
	if err := c.budget.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: budget: %w", ErrUnavailable, err)
	}
	var raw []byte
	if body != nil {
		raw = wire.Encode(body)
	}
	status, ans, err := c.transport.Do(ctx, method, path, raw, timeout)
	switch {
	case errors.Is(err, httpclient.ErrNotSent):
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrIndeterminate, err)
	}
	switch status {
	case 200, 404, 409:
		if out != nil && len(ans) > 0 {
			if err := wire.Decode(ans, out); err != nil {
				return status, fmt.Errorf("%w: %s %s: %w", ErrMalformedResponse, method, path, err)
			}
		}
		return status, nil
	case 429, 503:
		return status, fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case 410:
		return status, ErrCompacted
	case 400:
		var e struct {
			Error string `msgpack:"error"`
		}
		if wire.Decode(ans, &e) == nil && e.Error == "no such lease" {
			return status, ErrLeaseExpired
		}
		return status, fmt.Errorf("%w: %s %s: %s", ErrRejected, method, path, e.Error)
	}
	return status, fmt.Errorf("%w: status %d", ErrIndeterminate, status)
}

// Get reads one key; found is false if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (e Entry, found bool, err error) {
	status, err := c.do(ctx, "GET", "/store/"+key, nil, c.Timeout, &e)
	if err != nil {
		return Entry{}, false, err
	}
	if status == 404 {
		return Entry{}, false, nil
	}
	if status != 200 || e.Revision == 0 {
		return Entry{}, false, fmt.Errorf("%w: GET %s", ErrMalformedResponse, key)
	}
	e.Key = key
	return e, true, nil
}

// List reads all keys with a prefix. The revision returned is that of the
// first page, so that a watch from there misses nothing.
func (c *Client) List(ctx context.Context, prefix string, each func(Entry) error) (ids.Revision, error) {
	var first ids.Revision
	since := ""
	for {
		var page struct {
			Entries []Entry      `msgpack:"entries"`
			More    bool         `msgpack:"hasNext"`
			Epoch   ids.Revision `msgpack:"epoch"`
		}
		path := "/store?prefix=" + url.QueryEscape(prefix) + "&page=1000"
		if since != "" {
			path += "&since=" + url.QueryEscape(since)
		}
		status, err := c.do(ctx, "GET", path, nil, 3*c.Timeout, &page)
		if err != nil {
			return 0, err
		}
		if status != 200 {
			return 0, fmt.Errorf("%w: list status %d", ErrMalformedResponse, status)
		}
		if first == 0 {
			first = page.Epoch
		}
		for _, e := range page.Entries {
			if err := each(e); err != nil {
				return 0, err
			}
			since = e.Key
		}
		if !page.More || len(page.Entries) == 0 {
			return first, nil
		}
	}
}

// Commit sends one transaction once.
func (c *Client) Commit(ctx context.Context, t Txn) (TxnResult, error) {
	var ans struct {
		Epoch  ids.Revision `msgpack:"epoch"`
		Failed []string     `msgpack:"failed"`
	}
	status, err := c.do(ctx, "POST", "/commit", t, c.Timeout, &ans)
	if err != nil {
		return TxnResult{}, err
	}
	switch status {
	case 200:
		return TxnResult{Applied: true, Revision: ans.Epoch}, nil
	case 409:
		return TxnResult{Revision: ans.Epoch, FailedKeys: ans.Failed}, nil
	}
	return TxnResult{}, fmt.Errorf("%w: commit status %d", ErrMalformedResponse, status)
}

// GrantLease takes a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (ids.LeaseID, error) {
	var ans struct {
		Lease ids.LeaseID `msgpack:"hold"`
	}
	status, err := c.do(ctx, "POST", "/grants", map[string]int64{"ttlMs": ttl.Milliseconds()}, c.Timeout, &ans)
	if err != nil {
		return 0, err
	}
	if status != 200 {
		return 0, fmt.Errorf("%w: grant status %d", ErrMalformedResponse, status)
	}
	return ans.Lease, nil
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, id ids.LeaseID) error {
	status, err := c.do(ctx, "POST", "/grants/"+strconv.FormatUint(uint64(id), 10)+"/touch", nil, c.Timeout, nil)
	if err == nil && status != 200 {
		return ErrLeaseExpired
	}
	return err
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, id ids.LeaseID) error {
	_, err := c.do(ctx, "DELETE", "/grants/"+strconv.FormatUint(uint64(id), 10), nil, c.Timeout, nil)
	return err
}

// Watch waits for changes under a prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, since ids.Revision, hold time.Duration) (ids.Revision, []Event, error) {
	var ans struct {
		Epoch  ids.Revision `msgpack:"epoch"`
		Events []Event      `msgpack:"events"`
	}
	path := fmt.Sprintf("/changes?prefix=%s&since=%d&holdMs=%d", url.QueryEscape(prefix), since, hold.Milliseconds())
	status, err := c.do(ctx, "GET", path, nil, hold+2*time.Second, &ans)
	if err != nil {
		return 0, nil, err
	}
	if status != 200 {
		return 0, nil, fmt.Errorf("%w: watch status %d", ErrMalformedResponse, status)
	}
	return ans.Epoch, ans.Events, nil
}

// IsNotSent tells whether a call's error shows that the request never left.
func IsNotSent(err error) bool { return errors.Is(err, httpclient.ErrNotSent) }
