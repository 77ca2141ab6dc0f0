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

// cloudRetryDelay is the delay before a call to the cloud with an indeterminate result is repeated.
const cloudRetryDelay = time.Second

// provisioner provisions machines, each request in a goroutine of the group.
type provisioner struct {
	cloud   *cloud.Client
	group   *errgroup.Group
	mailbox *mailbox
	log     *slog.Logger
}

// provision repeats a request until its result is definite, and posts provisioningFinished.
func (p *provisioner) provision(ctx context.Context, request wire.ProvisionRequest) {
	p.group.Go(func() error {
		if finished, ok := p.resolve(ctx, request); ok {
			p.mailbox.post(ctx, finished)
		}
		return nil
	})
}

// resolve repeats a request until its result is definite. The request ID makes it idempotent. ok
// is false if the context ended first.
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
	// listInterval is the least time between two reads of the cloud's list of machines.
	listInterval = 2 * time.Second
	// listCallShare is one divided by the share of the cloud's call rate that reading the
	// list may take; provisioning and termination need the rest.
	listCallShare = 5
)

// machineLister reads the cloud's list of machines periodically.
type machineLister struct {
	cloud          *cloud.Client
	callsPerSecond float64
	clock          monotonic.Clock
	mailbox        *mailbox
	log            *slog.Logger
}

// run posts each list until the context ends.
func (m *machineLister) run(ctx context.Context) error {
	for {
		asked := m.clock.Now()
		machines, err := m.cloud.List(ctx)
		if err == nil {
			m.mailbox.post(ctx, machineListRead{asked: asked, machines: machines})
		} else {
			m.log.Debug("machine list failed", "err", err)
		}
		if !monotonic.Sleep(ctx, m.pause(len(machines))) {
			return ctx.Err()
		}
	}
}

// pause returns the time to the next read after a list of a number of machines. Each page of the
// list takes one call.
func (m *machineLister) pause(machines int) time.Duration {
	pages := float64(1 + machines/cloud.PageSize)
	return max(listInterval, monotonic.Seconds(listCallShare*pages/m.callsPerSecond))
}
