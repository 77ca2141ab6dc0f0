// Package commit commits changes of the records to the key-value store: fenced, in order,
// batched, and with indeterminate results resolved.
//
// A Committer owns a queue of changes. Its Run method takes as many changes as one
// transaction may hold, resolves that batch, and goes on with the next one. A
// batch passes through these states:
//
//   - queued: no transaction of it was executed.
//   - in flight: its transaction was sent, and the answer is awaited.
//   - indeterminate: an answer was lost. The transaction may have been executed, or may
//     yet be, and is sent again until the answer is definite. When a repeat is refused,
//     the nonce of what it would write tells whether an earlier sending was applied.
//   - resolved: the store's answer is definite. Each change gets its result or goes into
//     a smaller batch.
//
// The committer decides nothing about the records. It must never send a batch before the
// previous one is resolved or given up, and it must never report a change as refused that
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

// unknownKeyDelay is the wait before a transaction is sent again that was refused for a
// key that none of its changes names.
const unknownKeyDelay = 200 * time.Millisecond

// Store is what the committer needs of the key-value store.
type Store interface {
	Commit(ctx context.Context, txn kv.Txn) (kv.TxnResult, error)
	Get(ctx context.Context, key string) (kv.Entry, bool, error)
}

// ResultFunc receives the result of a change. The committer calls it from the goroutine of
// Run, in the order in which results become known. It must not block.
type ResultFunc func(records.CommitResult)

// Committer commits changes in the order in which they were submitted, as many in one
// transaction as its limits allow, one transaction at a time. With a fence, the fence is a
// precondition of every transaction.
type Committer struct {
	store Store
	fence *kv.Precondition
	log   *slog.Logger
	queue queue
}

// New makes a committer. fence is the leader key at the revision of this leader; nil means
// that the changes need no leadership. Nothing is sent before Run.
func New(store Store, limits Limits, fence *kv.Precondition, log *slog.Logger) *Committer {
	return &Committer{store: store, fence: fence, log: log, queue: queue{limits: limits, added: make(chan struct{}, 1)}}
}

// Submit queues a change, which must have at least one operation. It may be called from any
// goroutine and does not block.
//
// report receives the result once. A change without a deadline, the zero time, is sent
// until the store answers or Run ends. A change with a deadline is for a client that waits:
// it fails at once when the store did not execute it, and when its deadline has passed
// while its result is indeterminate. A change that is still queued, or held back after a
// conflict on an unknown key, when Run returns has no result.
func (c *Committer) Submit(change records.Change, deadline time.Time, report ResultFunc) {
	c.queue.add(queuedChange{change: change, size: sizeOf(change), report: report, deadline: deadline})
}

// QueueLength returns the number of queued changes, without those of the batch that is
// being committed.
func (c *Committer) QueueLength() int { return c.queue.length() }

// Run commits until the context ends, and returns the context's error. It returns
// records.ErrFenced if the fence has another revision. It must be called once.
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

// commit sends a batch until all its changes have results. It returns an error if the
// committer must end.
func (c *Committer) commit(ctx context.Context, b batch) error {
	for len(b.changes) > 0 {
		a := c.send(ctx, b)
		switch {
		case errors.Is(a.err, kv.ErrRejected):
			return c.commitSingly(ctx, a.batch, a.err)
		case a.err != nil:
			a.batch.fail(a.err)
			return ctx.Err()
		case a.result.Applied:
			a.batch.succeed(a.result.Revision)
			return nil
		case c.isFenced(a.result):
			a.batch.fail(records.ErrFenced)
			return records.ErrFenced
		}
		// The others are sent again. Their state is what it was before this transaction,
		// which was definitely not applied.
		b.changes = a.batch.failConflicting(a.result.FailedKeys)
		if len(b.changes) == len(a.batch.changes) && !c.holdBack(ctx, a.result) {
			return ctx.Err()
		}
	}
	return nil
}

// isFenced reports whether a transaction was refused because the fence has another revision.
func (c *Committer) isFenced(result kv.TxnResult) bool {
	return c.fence != nil && slices.Contains(result.FailedKeys, c.fence.Key)
}

// holdBack waits after a conflict on keys that no change of the batch names: there is no
// change to fail, so all are sent again. It returns false if the context ended.
func (c *Committer) holdBack(ctx context.Context, result kv.TxnResult) bool {
	c.log.Warn("conflict names no known key", "failed_keys", result.FailedKeys)
	return monotonic.Sleep(ctx, unknownKeyDelay)
}

// commitSingly commits the changes of a rejected batch in a transaction each, so that only
// those fail that the store rejects on their own. A single change is not sent again.
func (c *Committer) commitSingly(ctx context.Context, rejected batch, refusal error) error {
	if len(rejected.changes) == 1 {
		c.log.Warn("change rejected", "err", refusal)
		rejected.reject(refusal)
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
