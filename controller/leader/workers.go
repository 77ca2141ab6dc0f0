package leader

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/worker"
)

// workerCallTimeout is the timeout of a call to a worker.
const workerCallTimeout = 2 * time.Second

// workerCaller calls workers. Each call runs in a goroutine of the group.
type workerCaller struct {
	client  *worker.Client
	group   *errgroup.Group
	mailbox *mailbox
	log     *slog.Logger
}

// sendCommands sends commands to a worker, and then posts commandsFinished.
func (c *workerCaller) sendCommands(ctx context.Context, machine ids.MachineID, endpoint string, commands wire.CommandBatch) {
	c.group.Go(func() error {
		heartbeat, err := c.client.SendCommands(ctx, endpoint, commands, workerCallTimeout)
		if err != nil {
			c.log.Debug("worker call failed", "machine", machine, "err", err)
			heartbeat = nil
		}
		c.mailbox.post(ctx, commandsFinished{machine: machine, heartbeat: heartbeat})
		return nil
	})
}

// requestHeartbeat requests a heartbeat from a worker, and then posts heartbeatRequestFinished.
func (c *workerCaller) requestHeartbeat(ctx context.Context, machine ids.MachineID, endpoint string) {
	c.group.Go(func() error {
		heartbeat, err := c.client.RequestHeartbeat(ctx, endpoint, workerCallTimeout)
		if err != nil {
			heartbeat = nil
		}
		c.mailbox.post(ctx, heartbeatRequestFinished{machine: machine, heartbeat: heartbeat})
		return nil
	})
}
