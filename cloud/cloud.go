// Package cloud is the client of the machine cloud.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

var (
	// ErrNoCapacity means that the cloud has no such machine now.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable means that the request was not carried out.
	ErrUnavailable = errors.New("cloud unavailable")
	// ErrIndeterminate means that the request may have been carried out, or may yet be.
	ErrIndeterminate = errors.New("cloud gave no answer")
	// ErrRejected means that the cloud found the request malformed.
	ErrRejected = errors.New("cloud refused the request")
)

// Client talks to the cloud and keeps to its call rate.
type Client struct {
	http       *httpclient.Client
	budget     *rate.Limiter
	authorized func() bool
}

// New makes a client for an address with a budget of rps calls a second.
func New(addr string, rps float64) *Client {
	return &Client{http: httpclient.New(addr, 8, 4<<20), budget: rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps)))}
}

// AuthorizedBy is the same client, budget included, for as long as may says so. It
// asks just before each call: the cloud knows no fencing, and a call that
// waited for its turn may have waited for longer than its caller had the right
// to make it.
func (c *Client) AuthorizedBy(may func() bool) *Client {
	cp := *c
	cp.authorized = may
	return &cp
}

// do sends one call within the budget.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	if err := c.budget.Wait(ctx); err != nil {
		return fmt.Errorf("%w: budget: %w", ErrUnavailable, err)
	}
	if c.authorized != nil && !c.authorized() {
		return fmt.Errorf("%w: the right to call it is over", ErrUnavailable)
	}
	var raw []byte
	if in != nil {
		raw = wire.Encode(in)
	}
	status, body, err := c.http.Do(ctx, method, path, raw, 5*time.Second)
	if errors.Is(err, httpclient.ErrNotSent) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrIndeterminate, err)
	}
	switch status {
	case 200:
		if out == nil {
			return nil
		}
		if err := wire.Decode(body, out); err != nil {
			return fmt.Errorf("%w: %w", ErrIndeterminate, err)
		}
		return nil
	case 503:
		var e struct {
			Error string `msgpack:"error"`
		}
		if wire.Decode(body, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status 503", ErrUnavailable)
	case 429:
		return fmt.Errorf("%w: status 429", ErrUnavailable)
	case 400:
		return ErrRejected
	}
	return fmt.Errorf("%w: status %d", ErrIndeterminate, status)
}

// Catalog reads the machine types and their current prices.
func (c *Client) Catalog(ctx context.Context) ([]wire.MachineType, error) {
	var cat wire.Catalog
	if err := c.do(ctx, "GET", "/catalog", nil, &cat); err != nil {
		return nil, err
	}
	for _, t := range cat.Types {
		if t.Name == "" || t.CPUs <= 0 || t.MemoryGB < 0 || t.Price < 0 || t.SpotPrice < 0 || t.BootS < 0 {
			return nil, fmt.Errorf("%w: malformed machine type %q", ErrIndeterminate, t.Name)
		}
	}
	return cat.Types, nil
}

// Provision asks for machines. The same request may be repeated until it is
// answered; once it succeeded, its name must not serve another.
func (c *Client) Provision(ctx context.Context, r wire.ProvisionRequest) ([]ids.MachineID, error) {
	var ans wire.MachineIDs
	err := c.do(ctx, "POST", "/hosts", r, &ans)
	return ans.IDs, err
}

// MaxTerminateBatch is the most machines that one call gives back.
const MaxTerminateBatch = 100

// Terminate gives machines back. When it succeeds, they are gone.
func (c *Client) Terminate(ctx context.Context, hosts []ids.MachineID) error {
	return c.do(ctx, "POST", "/hosts/return", wire.MachineIDs{IDs: hosts}, nil)
}

// PageSize is how many machines a page of the list holds.
const PageSize = 500

// List reads the whole machine list.
func (c *Client) List(ctx context.Context) ([]wire.Machine, error) {
	var all []wire.Machine
	since := ids.MachineID("")
	for {
		path := fmt.Sprintf("/hosts?page=%d", PageSize)
		if since != "" {
			path += "&since=" + url.QueryEscape(string(since))
		}
		var page wire.MachinePage
		if err := c.do(ctx, "GET", path, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		since = page.Machines[len(page.Machines)-1].ID
	}
}
