// Package commit commits changes of the records to the key-value store. Commits are fenced,
// ordered and batched, and indeterminate results are resolved.
//
// A Committer owns a queue of changes. Its Run method takes as many changes as one
// transaction may hold, resolves that batch, and continues with the next one. A batch passes
// through these states:
//
//   - queued: no transaction of the batch was executed.
//   - in flight: its transaction was sent, and the response is pending.
//   - indeterminate: a response was lost. The transaction may have been executed, or may
//     still be executed later. It is sent again until the response is definite. If a retry
//     ends in a conflict or rejection, the nonce of the record that it would write shows
//     whether an earlier attempt was applied.
//   - resolved: the response of the store is definite. Each change gets its result or is
//     moved to a smaller batch.
//
// The committer makes no decisions about the records. It must never send a batch before the
// previous one is resolved or given up, and it must never report a change as not applied that
// the store may have applied.
package commit

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
)

// unknownKeyDelay is the delay before a retry of a transaction that failed because of a key that
// none of its changes names.
const unknownKeyDelay = 200 * time.Millisecond

// Store is the subset of the key-value store that the committer uses.
type Store interface {
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	Get(ctx context.Context, key string) (kv.Entry, bool, error)
}

// ResultFunc is a function that receives the result of a change. The committer calls it from the
// goroutine of Run, in the order in which results become known. It must not block.
type ResultFunc func(records.CommitResult)

// Committer commits changes in the order in which they were submitted. It sends one transaction at
// a time, each with as many changes as its limits allow. If there is a fence, it is a precondition of
// every transaction.
type Committer struct {
	store Store
	fence *kv.Precondition
	log   *slog.Logger
	queue queue
}

// New returns a committer. fence is the leader key at the revision of this leader, or nil if the
// changes do not require leadership. Nothing is sent before Run.
func New(store Store, limits Limits, fence *kv.Precondition, log *slog.Logger) *Committer {
	return &Committer{store: store, fence: fence, log: log, queue: queue{limits: limits, added: make(chan struct{}, 1)}}
}

// Submit queues a change, which must have at least one operation. It is safe for concurrent use
// and does not block.
//
// report receives the result once. A change without a deadline (the zero time) is retried until
// the response of the store is definite or Run returns. A deadline is for a change whose client
// waits for the result. Such a change fails immediately if the store did not execute it, or if its
// deadline has passed while its result is indeterminate. A change gets no result if, when Run
// returns, it is still queued or delayed after a conflict on an unknown key.
func (c *Committer) Submit(change records.Change, deadline time.Time, report ResultFunc) {
	c.queue.add(queuedChange{change: change, size: sizeOf(change), report: report, deadline: deadline})
}

// QueueLength returns the number of queued changes, excluding those of the batch that is being
// committed.
func (c *Committer) QueueLength() int { return c.queue.length() }

// Run commits changes until the context is cancelled, and returns the context's error. It returns
// records.ErrFenced if the fence is at another revision. It must be called only once.
func (c *Committer) Run(ctx context.Context) error {
	for {
		changes := c.queue.take()
		if len(changes) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-c.queue.added:
			}
			continue
		}
		if err := c.commit(ctx, batch{changes: changes, state: queued}); err != nil {
			return err
		}
	}
}

// commit sends a batch until all its changes have results. It returns an error if the committer
// must stop.
func (c *Committer) commit(ctx context.Context, b batch) error {
	for len(b.changes) > 0 {
		r := c.send(ctx, b)
		switch {
		case errors.Is(r.err, kv.ErrRejected):
			return c.commitIndividually(ctx, r.batch, r.err)
		case r.err != nil:
			r.batch.fail(r.err)
			return ctx.Err()
		case r.result.Applied:
			r.batch.succeed(r.result.Revision)
			return nil
		case c.isFenced(r.result):
			r.batch.fail(records.ErrFenced)
			return records.ErrFenced
		}
		// The others are sent again. Their state is the same as before this transaction,
		// which was definitely not applied.
		b.changes = r.batch.failConflicting(r.result.FailedKeys)
		if len(b.changes) == len(r.batch.changes) && !c.waitAfterUnknownConflict(ctx, r.result) {
			return ctx.Err()
		}
	}
	return nil
}

// isFenced reports whether a transaction was not applied because the fence is at another revision.
func (c *Committer) isFenced(result kv.TxnResult) bool {
	return c.fence != nil && slices.Contains(result.FailedKeys, c.fence.Key)
}

// waitAfterUnknownConflict waits after a conflict on keys that no change of the batch names. There
// is no change to fail in that case, so all changes are sent again. It returns false if the context
// was cancelled.
func (c *Committer) waitAfterUnknownConflict(ctx context.Context, result kv.TxnResult) bool {
	c.log.Warn("conflict names no known key", "failed_keys", result.FailedKeys)
	return monotonic.Sleep(ctx, unknownKeyDelay)
}

// commitIndividually commits each change of a rejected batch in a separate transaction, so that only
// changes fail that the store rejects individually. A batch of one change is not sent again.
func (c *Committer) commitIndividually(ctx context.Context, rejected batch, cause error) error {
	if len(rejected.changes) == 1 {
		c.log.Warn("change rejected", "err", cause)
		rejected.reject(cause)
		return nil
	}
	for i := range rejected.changes {
		if err := c.commit(ctx, rejected.part(i, i+1)); err != nil {
			rejected.part(i+1, len(rejected.changes)).fail(err)
			return err
		}
	}
	return nil
}
