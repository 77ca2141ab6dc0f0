package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

const (
	// catalogInterval is the interval between two reads of the cloud's catalog.
	catalogInterval = 30 * time.Second
	// catalogRetryDelay is the delay before the next read after a read that failed.
	catalogRetryDelay = time.Second
)

// catalog caches the cloud's machine types and prices. Until the cloud has answered once, it uses the types
// that a leader recorded in the key-value store, so that a controller that is started in an outage of the
// cloud can accept jobs and lead. Only the goroutines of run and runRecorded update it; any goroutine may
// read it.
type catalog struct {
	cloud       *cloud.Client
	store       *kv.Client
	localLeader *localLeader
	log         *slog.Logger
	// fromCloud is nil before the first successful read from the cloud.
	fromCloud atomic.Pointer[[]wire.MachineType]
	// recorded is nil unless the recorded types were needed.
	recorded atomic.Pointer[[]wire.MachineType]
}

// MachineTypes implements leader.Catalog.
func (c *catalog) MachineTypes() (types []wire.MachineType, ok bool) {
	if types, ok := c.TypesFromCloud(); ok {
		return types, true
	}
	if recorded := c.recorded.Load(); recorded != nil {
		return *recorded, true
	}
	return nil, false
}

// TypesFromCloud implements leader.Catalog.
func (c *catalog) TypesFromCloud() (types []wire.MachineType, ok bool) {
	if read := c.fromCloud.Load(); read != nil {
		return *read, true
	}
	return nil, false
}

// run reads the catalog from the cloud periodically until the context ends.
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

// read reads the catalog from the cloud once and passes it to the leader in this process, if there is one.
func (c *catalog) read(ctx context.Context) error {
	types, err := c.cloud.Catalog(ctx)
	if err != nil {
		return err
	}
	c.fromCloud.Store(&types)
	c.passToLeader(ctx)
	return nil
}

// runRecorded reads the recorded types from the key-value store, and retries until some types are known. It
// does not wait for the cloud to fail first, since a call to a cloud that cannot be reached takes seconds.
func (c *catalog) runRecorded(ctx context.Context) error {
	for {
		if _, ok := c.MachineTypes(); ok {
			return nil
		}
		if err := c.readRecorded(ctx); err != nil {
			c.log.Debug("recorded catalog read failed", "err", err)
		}
		if !monotonic.Sleep(ctx, catalogRetryDelay) {
			return ctx.Err()
		}
	}
}

// readRecorded reads the recorded types once. It passes them to the leader in this process, if there is one.
func (c *catalog) readRecorded(ctx context.Context) error {
	var stored records.Catalog
	if _, err := c.store.List(ctx, records.CatalogPrefix, stored.Add); err != nil {
		return err
	}
	if len(stored.Types) == 0 {
		return nil
	}
	c.recorded.Store(&stored.Types)
	if _, ok := c.TypesFromCloud(); !ok {
		c.log.Info("recorded catalog in use", "machine_types", len(stored.Types))
		c.passToLeader(ctx)
	}
	return nil
}

// passToLeader passes the current types to the leader in this process, if there is one.
func (c *catalog) passToLeader(ctx context.Context) {
	types, ok := c.MachineTypes()
	if local := c.localLeader.get(); local != nil && ok {
		local.SetCatalog(ctx, types)
	}
}
