package leader

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// cloudRetryDelay is the delay before a failed cloud call is retried.
const cloudRetryDelay = time.Second

// provisioner provisions machines. Each request runs in a goroutine of the group.
type provisioner struct {
	cloud   *cloud.Client
	group   *errgroup.Group
	mailbox *mailbox
	log     *slog.Logger
}

// provision retries a request until the cloud grants or refuses it, and then posts
// provisioningFinished.
func (p *provisioner) provision(ctx context.Context, request wire.ProvisionRequest) {
	p.group.Go(func() error {
		if finished, ok := p.resolve(ctx, request); ok {
			p.mailbox.post(ctx, finished)
		}
		return nil
	})
}

// resolve retries a request until the cloud grants or refuses it. The request ID makes the request
// idempotent. ok is false if the context ends first.
func (p *provisioner) resolve(ctx context.Context, request wire.ProvisionRequest) (finished provisioningFinished, ok bool) {
	for ctx.Err() == nil {
		machines, err := p.cloud.Provision(ctx, request)
		switch {
		case err == nil, errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrRejected):
			p.log.Info("machines provisioned", "machine_type", request.Type, "zone", request.Zone, "spot", request.Spot,
				"requested", request.Count, "granted", len(machines))
			return provisioningFinished{request: request, machines: machines, granted: err == nil}, true
		}
		p.log.Info("provisioning indeterminate", "request_id", request.RequestID, "err", err)
		monotonic.Sleep(ctx, cloudRetryDelay)
	}
	return provisioningFinished{}, false
}

const (
	// listInterval is the minimum time between two reads of the cloud's list of machines.
	listInterval = 2 * time.Second
	// listCallRateDivisor divides the cloud's call rate to yield the part that reading the list
	// may use. Provisioning and termination need the rest.
	listCallRateDivisor = 5
)

// machineLister reads the cloud's list of machines periodically.
type machineLister struct {
	cloud          *cloud.Client
	callsPerSecond float64
	clock          monotonic.Clock
	mailbox        *mailbox
	log            *slog.Logger
}

// run reads the list and posts it, repeatedly until the context ends.
func (m *machineLister) run(ctx context.Context) error {
	for {
		requestedAt := m.clock.Now()
		machines, err := m.cloud.List(ctx)
		if err == nil {
			m.mailbox.post(ctx, machineListRead{requestedAt: requestedAt, machines: machines})
		} else {
			m.log.Debug("machine list failed", "err", err)
		}
		if !monotonic.Sleep(ctx, m.interval(len(machines))) {
			return ctx.Err()
		}
	}
}

// interval returns the time between reading a list of the given number of machines and the next read.
// Each page of the list takes one call.
func (m *machineLister) interval(machines int) time.Duration {
	pages := float64(1 + machines/cloud.PageSize)
	return max(listInterval, monotonic.Seconds(listCallRateDivisor*pages/m.callsPerSecond))
}
