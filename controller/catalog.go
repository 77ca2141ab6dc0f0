package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

const (
	// catalogInterval is the interval between two reads of the cloud's catalog.
	catalogInterval = 30 * time.Second
	// catalogRetryDelay is the delay before the next read after a read that failed.
	catalogRetryDelay = time.Second
)

// catalog caches the cloud's machine types and prices. Only the goroutine of run updates them; any
// goroutine may read them.
type catalog struct {
	cloud       *cloud.Client
	localLeader *localLeader
	log         *slog.Logger
	// types is nil before the first successful read.
	types atomic.Pointer[[]wire.MachineType]
}

// MachineTypes implements leader.Catalog.
func (c *catalog) MachineTypes() (types []wire.MachineType, ok bool) {
	stored := c.types.Load()
	if stored == nil {
		return nil, false
	}
	return *stored, true
}

// run reads the catalog periodically until the context ends.
func (c *catalog) run(ctx context.Context) error {
	for {
		wait := catalogInterval
		if err := c.read(ctx); err != nil {
			c.log.Info("catalog read failed", "err", err)
			wait = catalogRetryDelay
		}
		if !monotonic.Sleep(ctx, wait) {
			return ctx.Err()
		}
	}
}

// read reads the catalog once and passes it to the leader in this process, if there is one.
func (c *catalog) read(ctx context.Context) error {
	types, err := c.cloud.Catalog(ctx)
	if err != nil {
		return err
	}
	c.types.Store(&types)
	if local := c.localLeader.get(); local != nil {
		local.SetCatalog(ctx, types)
	}
	return nil
}
