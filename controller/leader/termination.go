package leader

import (
	"context"
	"log/slog"
	"math"
	"time"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/workqueue"
	"ospreystile.example/ospreystile/monotonic"
)

// terminationInterval is the minimum time between two calls that terminate machines.
const terminationInterval = 400 * time.Millisecond

// terminator terminates machines in batches, so that most of the cloud's request rate remains available
// for provisioning. While its client is not authorized, it waits.
type terminator struct {
	cloud   *cloud.Client
	mailbox *mailbox
	log     *slog.Logger
	// queue holds the machines that are not yet part of a call. It is unbounded, because a
	// decision of the core must not be dropped.
	queue *workqueue.Queue[ids.MachineID]
}

func newTerminator(client *cloud.Client, mailbox *mailbox, log *slog.Logger) *terminator {
	return &terminator{cloud: client, mailbox: mailbox, log: log, queue: workqueue.New[ids.MachineID](math.MaxInt)}
}

// add queues machines. It does not block.
func (t *terminator) add(machines []ids.MachineID) {
	if len(machines) > 0 {
		t.queue.Add(machines...)
	}
}

// takeBatch removes and returns as many queued machines as one call may terminate.
func (t *terminator) takeBatch() []ids.MachineID { return t.queue.Take(cloud.MaxTerminateBatch) }

// run terminates the queued machines until the context ends.
func (t *terminator) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.queue.Added():
		}
		for batch := t.takeBatch(); len(batch) > 0; batch = t.takeBatch() {
			if err := t.terminate(ctx, batch); err != nil {
				return err
			}
			if !monotonic.Sleep(ctx, terminationInterval) {
				return ctx.Err()
			}
		}
	}
}

// terminate retries a call until the cloud confirms that the machines are terminated, and then posts
// terminationFinished.
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
