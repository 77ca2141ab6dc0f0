package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// JobRecord holds a job's record at a revision. The record must not be modified.
type JobRecord struct {
	ID       ids.JobID
	Record   *records.Job
	Revision ids.Revision
}

const (
	// rereadRetryDelay is the delay before a failed read of a job's record is retried.
	rereadRetryDelay = 300 * time.Millisecond
	// watchTimeout is how long the key-value store may wait for a change before it answers a
	// watch.
	watchTimeout = 10 * time.Second
	// watchRetryDelay is the delay before a failed watch on jobs is retried.
	watchRetryDelay = 200 * time.Millisecond
)

// jobReader reads jobs' records from the key-value store and posts them to the event loop.
type jobReader struct {
	store   *kv.Client
	group   *errgroup.Group
	mailbox *mailbox
	log     *slog.Logger
}

// reread reads a job's record in a goroutine of the group, and posts it if it exists. A failed read is
// retried until the context ends.
func (r *jobReader) reread(ctx context.Context, id ids.JobID) {
	r.group.Go(func() error {
		for ctx.Err() == nil {
			job, found, err := ReadJob(ctx, r.store, id)
			if err == nil {
				if found {
					r.mailbox.post(ctx, jobRecordObserved{job})
				}
				return nil
			}
			r.log.Debug("job read failed", "job", id, "err", err)
			monotonic.Sleep(ctx, rereadRetryDelay)
		}
		return nil
	})
}

// ReadJob reads a job's record from the key-value store. found reports whether it exists.
func ReadJob(ctx context.Context, store *kv.Client, id ids.JobID) (job JobRecord, found bool, err error) {
	entry, found, err := store.Get(ctx, records.JobKey(id))
	if err != nil || !found {
		return JobRecord{}, false, err
	}
	record := new(records.Job)
	if err := wire.Decode(entry.Value, record); err != nil {
		return JobRecord{}, false, fmt.Errorf("decode record %s: %w", records.JobKey(id), err)
	}
	return JobRecord{ID: id, Record: record, Revision: entry.Revision}, true, nil
}

// watch posts every change of jobs after a revision until the context ends. Most changes arrive
// earlier as notifications, but these may be lost. It returns kv.ErrCompacted if the key-value store
// no longer keeps all changes after the revision.
func (r *jobReader) watch(ctx context.Context, since ids.Revision) error {
	for {
		revision, changes, err := r.store.Watch(ctx, records.JobPrefix, since, watchTimeout)
		if errors.Is(err, kv.ErrCompacted) {
			return fmt.Errorf("watch job records: %w", err)
		}
		if err != nil {
			if !monotonic.Sleep(ctx, watchRetryDelay) {
				return ctx.Err()
			}
			continue
		}
		for _, change := range changes {
			r.postChange(ctx, change)
		}
		since = max(since, revision)
		r.mailbox.post(ctx, watchAdvanced{since})
	}
}

// postChange posts a job's new record. It ignores deletions, and logs records that cannot be decoded.
func (r *jobReader) postChange(ctx context.Context, change kv.Event) {
	if change.PutKey == "" {
		return
	}
	record := new(records.Job)
	if err := wire.Decode(change.Value, record); err != nil {
		logUnreadable(r.log, change.PutKey, err)
		return
	}
	id := ids.JobID(change.PutKey[len(records.JobPrefix):])
	r.mailbox.post(ctx, jobRecordObserved{JobRecord{ID: id, Record: record, Revision: change.Revision}})
}
