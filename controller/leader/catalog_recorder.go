package leader

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// catalogCheckInterval is the interval between two checks whether the catalog has to be recorded.
const catalogCheckInterval = time.Second

// catalogRecorder keeps a copy of the cloud's catalog in the key-value store. A controller that is started
// in an outage of the cloud reads the copy, so that it can accept jobs and, if it leads, place tasks.
type catalogRecorder struct {
	catalog       Catalog
	store         *kv.Client
	fence         kv.Precondition
	maxValueBytes int
	log           *slog.Logger
	// stored is the catalog as it is in the store. It is nil until it is known.
	stored *records.Catalog
	// rejected holds the types that the store rejected last. They are not sent again.
	rejected records.Catalog
}

// run records the catalog whenever its types have changed, until the context ends. It records only what
// was read from the cloud, since what a controller read from the store may be older than the record.
func (r *catalogRecorder) run(ctx context.Context) error {
	for {
		if types, ok := r.catalog.TypesFromCloud(); ok {
			if err := r.record(ctx, types); err != nil {
				r.log.Debug("catalog not recorded", "err", err)
			}
		}
		if !monotonic.Sleep(ctx, catalogCheckInterval) {
			return ctx.Err()
		}
	}
}

// record records the types unless they are recorded already. After an error the stored types are read again
// before the next attempt, since the result may be indeterminate.
func (r *catalogRecorder) record(ctx context.Context, types []wire.MachineType) error {
	if r.stored == nil {
		if err := r.readStored(ctx); err != nil {
			return err
		}
	}
	if len(types) == 0 || r.stored.Describes(types) || r.rejected.Describes(types) {
		return nil
	}
	change := r.stored.ReplaceChange(types, r.maxValueBytes)
	r.stored = nil
	_, err := r.store.Commit(ctx, kv.Txn{Preconditions: append(change.Preconditions, r.fence), Operations: change.Operations})
	if errors.Is(err, kv.ErrRejected) {
		r.rejected.Types = types
		r.log.Warn("catalog rejected", "machine_types", len(types), "err", err)
	}
	return err
}

// readStored reads the recorded types. Parts that cannot be decoded are replaced.
func (r *catalogRecorder) readStored(ctx context.Context) error {
	var stored records.Catalog
	readable := true
	_, err := r.store.List(ctx, records.CatalogPrefix, func(entry kv.Entry) error {
		if err := stored.Add(entry); err != nil {
			logUnreadable(r.log, entry.Key, err)
			readable = false
		}
		return nil
	})
	if err != nil {
		return err
	}
	if !readable {
		stored.Types = nil
	}
	r.stored = &stored
	return nil
}
