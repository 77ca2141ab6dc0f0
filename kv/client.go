// Package kv is the client of the consensus-backed key-value store. It sends each request
// once, within a request budget, and its errors distinguish whether the request was executed.
// Retries, and the resolution of indeterminate results, are left to the callers.
package kv

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
)

const (
	// requestTimeout bounds a request for one key or lease, and a transaction.
	requestTimeout = time.Second
	// listTimeout bounds the request for one page of a list.
	listTimeout = 3 * time.Second
	// watchMargin is the time that a watch may take beyond its maximum wait.
	watchMargin = 2 * time.Second
)

// Transport sends one request to the store, directly or through another controller.
type Transport = httpclient.Transport

// Client sends requests to the store. It is safe for concurrent use.
type Client struct{ service *httpclient.Service }

// New returns a client that sends requests over a transport, at most requestsPerSecond.
func New(transport Transport, requestsPerSecond float64) *Client {
	budget := rate.NewLimiter(rate.Limit(requestsPerSecond), max(1, int(requestsPerSecond)))
	return &Client{service: httpclient.NewService(transport, budget, protocol)}
}

// Unthrottled returns a client of the same store without a request budget, for the few requests
// that leadership depends on.
func (c *Client) Unthrottled() *Client { return &Client{service: c.service.Unthrottled()} }

// do sends one request and decodes the body of its response, if there is one, into out. It
// ignores the body if out is nil.
func (c *Client) do(ctx context.Context, request httpclient.Request, out any) (*httpclient.Response, error) {
	response, err := c.service.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	if out == nil || len(response.Body) == 0 {
		return response, nil
	}
	return response, response.Decode(out)
}

// doOK sends one request like do, and returns an error unless the status is 200 OK.
func (c *Client) doOK(ctx context.Context, request httpclient.Request, out any) error {
	response, err := c.do(ctx, request, out)
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return response.MalformedError(nil)
	}
	return nil
}

// Get reads one key. found is false if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, found bool, err error) {
	response, err := c.do(ctx, getRequest(key), &entry)
	if err != nil {
		return Entry{}, false, err
	}
	if response.Status == http.StatusNotFound {
		return Entry{}, false, nil
	}
	if response.Status != http.StatusOK || entry.Revision == 0 {
		return Entry{}, false, response.MalformedError(nil)
	}
	entry.Key = key
	return entry, true, nil
}

// List calls each with every entry whose key has a prefix, in the order of keys. It stops at the
// first error of each and returns it. It returns the revision of the first page, so that a watch
// from there misses no change.
func (c *Client) List(ctx context.Context, prefix string, each func(Entry) error) (ids.Revision, error) {
	pages := NewPages(c, prefix)
	for !pages.Complete() {
		page, err := pages.Next(ctx)
		if err != nil {
			return 0, err
		}
		for _, entry := range page.Entries {
			if err := each(entry); err != nil {
				return 0, err
			}
		}
	}
	return pages.FirstRevision(), nil
}

// ListPage returns the page of the entries whose keys have a prefix that follows the key after, or the
// first page if after is "". Entries are in the order of keys.
func (c *Client) ListPage(ctx context.Context, prefix, after string) (Page, error) {
	var page Page
	err := c.doOK(ctx, listRequest(prefix, after), &page)
	return page, err
}

// Commit sends one transaction. The result is definite if the error is nil.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var body commitResponse
	response, err := c.do(ctx, commitRequest(txn), &body)
	if err != nil {
		return TxnResult{}, err
	}
	switch response.Status {
	case http.StatusOK:
		return TxnResult{Applied: true, Revision: body.Revision}, nil
	case http.StatusConflict:
		return TxnResult{Revision: body.Revision, FailedKeys: body.FailedKeys}, nil
	}
	return TxnResult{}, response.MalformedError(nil)
}

// GrantLease creates a lease that expires unless it is renewed within ttl.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (ids.LeaseID, error) {
	var response grantResponse
	if err := c.doOK(ctx, grantRequest(ttl), &response); err != nil {
		return 0, err
	}
	return response.Lease, nil
}

// RenewLease renews a lease for its full TTL. It returns ErrLeaseExpired if the lease has
// expired or was revoked.
func (c *Client) RenewLease(ctx context.Context, id ids.LeaseID) error {
	response, err := c.do(ctx, renewRequest(id), nil)
	if err == nil && response.Status != http.StatusOK {
		return ErrLeaseExpired
	}
	return err
}

// RevokeLease ends a lease and deletes its keys. It succeeds even if the lease has already expired.
func (c *Client) RevokeLease(ctx context.Context, id ids.LeaseID) error {
	_, err := c.do(ctx, revokeRequest(id), nil)
	return err
}

// Watch returns the changes of keys with a prefix after the revision since, and the revision to
// watch from next. It waits for a change for at most maxWait, and then returns none. It returns
// ErrCompacted if the store no longer keeps the changes after since.
func (c *Client) Watch(ctx context.Context, prefix string, since ids.Revision, maxWait time.Duration) (ids.Revision, []Event, error) {
	var response watchResponse
	if err := c.doOK(ctx, watchRequest(prefix, since, maxWait), &response); err != nil {
		return 0, nil, err
	}
	return response.Revision, response.Events, nil
}
