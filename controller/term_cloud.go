package controller

import (
	"errors"
	"sync"
	"time"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// rent brings one rental to its end. Without an answer it is repeated under
// the same name, which rents nothing twice.
func (t *term) rent(r wire.ProvisionRequest) {
	for t.ctx.Err() == nil {
		hosts, err := t.cloud.Provision(t.ctx, r)
		switch {
		case err == nil, errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrRejected):
			t.n.log.Info("machines provisioned", "machine_type", r.Type, "zone", r.Zone, "spot", r.Spot, "requested", r.Count, "granted", len(hosts))
			t.post(t.ctx, func() { t.core.ProvisionResult(t.n.clock.Now(), r, hosts, err == nil) })
			return
		}
		t.n.log.Info("provisioning indeterminate", "request_id", r.RequestID, "err", err)
		monotonic.Sleep(t.ctx, time.Second)
	}
}

// returnQueue collects the machines to give back, so that those that become due
// one by one share a call: rentals need the others.
type returnQueue struct {
	mu    sync.Mutex
	hosts []ids.MachineID
	wake  chan struct{}
}

// add queues machines and wakes the goroutine that returns them.
func (q *returnQueue) add(hosts []ids.MachineID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hosts = append(q.hosts, hosts...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes as many machines as one call may return.
func (q *returnQueue) take() []ids.MachineID {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.hosts), cloud.MaxTerminateBatch)
	part := q.hosts[:n:n]
	q.hosts = q.hosts[n:]
	return part
}

// returnInterval is the least time between two calls that give machines back.
const returnInterval = 400 * time.Millisecond

// returnMachines gives machines back, until the cloud says that they are gone.
func (t *term) returnMachines() error {
	for {
		select {
		case <-t.ctx.Done():
			return t.ctx.Err()
		case <-t.returns.wake:
		}
		for hosts := t.returns.take(); len(hosts) > 0; hosts = t.returns.take() {
			for {
				err := t.cloud.Terminate(t.ctx, hosts)
				if err == nil {
					break
				}
				t.n.log.Info("termination indeterminate", "err", err)
				if !monotonic.Sleep(t.ctx, time.Second) {
					return t.ctx.Err()
				}
			}
			t.n.log.Info("machines terminated", "machines", hosts)
			t.post(t.ctx, func() { t.core.MachinesTerminated(t.n.clock.Now(), hosts) })
			if !monotonic.Sleep(t.ctx, returnInterval) {
				return t.ctx.Err()
			}
		}
	}
}

// listMachines reads the cloud's list.
func (t *term) listMachines() error {
	for {
		asked := t.n.clock.Now()
		list, err := t.cloud.List(t.ctx)
		if err == nil {
			t.post(t.ctx, func() { t.core.MachineList(t.n.clock.Now(), asked, list) })
		} else {
			t.n.log.Debug("machine list failed", "err", err)
		}
		// Reading the list takes a fifth of the calls at most, however long
		// it is: rentals and returns need the rest.
		pages := float64(1 + len(list)/cloud.PageSize)
		if !monotonic.Sleep(t.ctx, max(2*time.Second, monotonic.Seconds(5*pages/t.n.cfg.Settings.Cloud.RPS))) {
			return t.ctx.Err()
		}
	}
}
