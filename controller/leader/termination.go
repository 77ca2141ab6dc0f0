package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// terminationInterval is the least time between two calls that terminate machines.
const terminationInterval = 400 * time.Millisecond

// terminator collects machines to terminate in batches, to leave most of the cloud's request rate
// to provisioning.
type terminator struct {
	cloud   *cloud.Client
	mailbox *mailbox
	log     *slog.Logger
	// wake receives a value after machines were added.
	wake chan struct{}

	// mu guards machines, those that are in no call yet.
	mu       sync.Mutex
	machines []ids.MachineID
}

func newTerminator(client *cloud.Client, mailbox *mailbox, log *slog.Logger) *terminator {
	return &terminator{cloud: client, mailbox: mailbox, log: log, wake: make(chan struct{}, 1)}
}

// add queues machines and wakes run.
func (t *terminator) add(machines []ids.MachineID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machines = append(t.machines, machines...)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// take removes as many machines from the queue as one call may terminate.
func (t *terminator) take() []ids.MachineID {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.machines), cloud.MaxTerminateBatch)
	batch := t.machines[:n:n]
	t.machines = t.machines[n:]
	return batch
}

// run terminates the queued machines until the context ends.
func (t *terminator) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wake:
		}
		for batch := t.take(); len(batch) > 0; batch = t.take() {
			if err := t.terminate(ctx, batch); err != nil {
				return err
			}
			if !monotonic.Sleep(ctx, terminationInterval) {
				return ctx.Err()
			}
		}
	}
}

// terminate repeats a call until the cloud confirms that the machines are terminated, and
// posts terminationFinished.
func (t *terminator) terminate(ctx context.Context, machines []ids.MachineID) error {
	for {
		err := t.cloud.Terminate(ctx, machines)
		if err == nil {
			break
		}
		t.log.Info("termination indeterminate", "err", err)
		if !monotonic.Sleep(ctx, cloudRetryDelay) {
			return ctx.Err()
		}
	}
	t.log.Info("machines terminated", "machines", machines)
	t.mailbox.post(ctx, terminationFinished{machines})
	return nil
}
