// Package cloud is the client of the cloud from which machines are provisioned. It sends each
// request once, within a request budget, and its errors distinguish whether the request was
// executed. Callers are responsible for retries.
package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/httpclient"
	"ospreystile.example/ospreystile/wire"
)

const (
	// MaxTerminateBatch is the largest number of machines in one termination.
	MaxTerminateBatch = 100
	// PageSize is the number of machines on a page of the list.
	PageSize = 500
)

const (
	// requestTimeout bounds every request.
	requestTimeout = 5 * time.Second
	// maxConnections is the largest number of open connections to the cloud.
	maxConnections = 8
	// maxResponseBytes is the largest response body that is accepted.
	maxResponseBytes = 4 << 20
	// budgetFraction is the fraction of the cloud's request limit that is used; the rest is a margin.
	budgetFraction = 0.8
)

// Client sends requests to the cloud. It is safe for concurrent use.
type Client struct {
	transport httpclient.Transport
	service   *httpclient.Service
}

// New returns a client for an address whose request limit is requestsPerSecond.
func New(address string, requestsPerSecond float64) *Client {
	transport := httpclient.New(address, maxConnections, maxResponseBytes)
	budget := rate.NewLimiter(rate.Limit(requestsPerSecond*budgetFraction), max(1, int(requestsPerSecond)))
	return &Client{transport: transport, service: httpclient.NewService(transport, budget, protocol)}
}

// AuthorizedBy returns a client with the same budget that sends requests only while authorized
// returns true. It calls authorized immediately before it sends a request: the cloud has no
// fencing tokens, and the caller may lose its authorization while the request waits for the budget.
func (c *Client) AuthorizedBy(authorized func() bool) *Client {
	transport := authorizedTransport{Transport: c.transport, authorized: authorized}
	return &Client{transport: c.transport, service: c.service.WithTransport(transport)}
}

// do sends one request and decodes its response into out.
func (c *Client) do(ctx context.Context, request httpclient.Request, out any) (*httpclient.Response, error) {
	request.Timeout = requestTimeout
	response, err := c.service.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	return response, response.Decode(out)
}

// Catalog reads the machine types and their current prices.
func (c *Client) Catalog(ctx context.Context) ([]wire.MachineType, error) {
	var catalog wire.Catalog
	response, err := c.do(ctx, httpclient.Request{Method: http.MethodGet, Path: "/catalog"}, &catalog)
	if err != nil {
		return nil, err
	}
	for _, machineType := range catalog.Types {
		if !validMachineType(machineType) {
			return nil, response.MalformedError(fmt.Errorf("machine type %q has no name, no CPUs or a negative amount", machineType.Name))
		}
	}
	return catalog.Types, nil
}

// validMachineType reports whether a machine type has a name, CPUs, and no negative memory size, price or
// boot time.
func validMachineType(t wire.MachineType) bool {
	return t.Name != "" && t.CPUs > 0 && t.MemoryGB >= 0 && t.Price >= 0 && t.SpotPrice >= 0 && t.BootS >= 0
}

// Provision requests machines. Its RequestID makes the request idempotent, so it may be repeated
// until its result is known. After a success the RequestID must not be used again.
func (c *Client) Provision(ctx context.Context, request wire.ProvisionRequest) ([]ids.MachineID, error) {
	var machines wire.MachineIDs
	_, err := c.do(ctx, httpclient.Request{Method: http.MethodPost, Path: "/hosts", Body: request}, &machines)
	return machines.IDs, err
}

// Terminate terminates at most MaxTerminateBatch machines. After a success all of them are
// terminated.
func (c *Client) Terminate(ctx context.Context, machines []ids.MachineID) error {
	body := wire.MachineIDs{IDs: machines}
	_, err := c.service.Do(ctx, httpclient.Request{Method: http.MethodPost, Path: "/hosts/return", Body: body, Timeout: requestTimeout})
	return err
}

// List reads all machines.
func (c *Client) List(ctx context.Context) ([]wire.Machine, error) {
	var all []wire.Machine
	after := ids.MachineID("")
	for {
		var page wire.MachinePage
		if _, err := c.do(ctx, listRequest(after), &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}

// listRequest returns the request for the page of the list that follows a machine. An empty
// machine ID requests the first page.
func listRequest(after ids.MachineID) httpclient.Request {
	path := fmt.Sprintf("/hosts?page=%d", PageSize)
	if after != "" {
		path += "&since=" + url.QueryEscape(string(after))
	}
	return httpclient.Request{Method: http.MethodGet, Path: path}
}
