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

// cloudRetryDelay is how long after an indeterminate result a call to the cloud is repeated.
const cloudRetryDelay = time.Second

// provisioner provisions machines, each request in a goroutine of the group.
type provisioner struct {
	cloud   *cloud.Client
	group   *errgroup.Group
	mailbox *mailbox
	log     *slog.Logger
}

// provision brings one request to a definite result, and posts provisioningFinished.
func (p *provisioner) provision(ctx context.Context, request wire.ProvisionRequest) {
	p.group.Go(func() error {
		if finished, ok := p.resolve(ctx, request); ok {
			p.mailbox.post(ctx, finished)
		}
		return nil
	})
}

// resolve repeats a request until its result is definite. It keeps the request ID, so the
// cloud provisions nothing twice. ok is false if the context ended first.
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

// machineLister reads the cloud's list of machines again and again.
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

// pause is the time between two reads of a list of so many machines, one call a page.
func (m *machineLister) pause(machines int) time.Duration {
	pages := float64(1 + machines/cloud.PageSize)
	return max(listInterval, monotonic.Seconds(listCallShare*pages/m.callsPerSecond))
}
