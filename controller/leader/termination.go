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

// terminationInterval is the least time between two calls that terminate machines.
const terminationInterval = 400 * time.Millisecond

// terminator collects machines to terminate in batches, to leave most of the cloud's request rate
// to provisioning.
type terminator struct {
	cloud   *cloud.Client
	mailbox *mailbox
	log     *slog.Logger
	// waiting holds the machines that are in no call yet. It has no limit, because a decision of
	// the core must not be dropped.
	waiting *workqueue.Queue[ids.MachineID]
}

func newTerminator(client *cloud.Client, mailbox *mailbox, log *slog.Logger) *terminator {
	return &terminator{cloud: client, mailbox: mailbox, log: log, waiting: workqueue.New[ids.MachineID](math.MaxInt)}
}

// add queues machines. It does not block.
func (t *terminator) add(machines []ids.MachineID) { t.waiting.Add(machines...) }

// takeBatch removes as many machines from the queue as one call may terminate.
func (t *terminator) takeBatch() []ids.MachineID { return t.waiting.Take(cloud.MaxTerminateBatch) }

// run terminates the queued machines until the context ends.
func (t *terminator) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.waiting.Added():
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
