package records

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/wire"
)

// Store is what the committer needs of the state service.
type Store interface {
	Commit(ctx context.Context, t kv.Txn) (kv.TxnResult, error)
	Get(ctx context.Context, key string) (kv.Entry, bool, error)
}

// Limits are the state service's limits for one transaction.
type Limits struct {
	Operations int
	Bytes      int
}

// item is a change that waits.
type item struct {
	change Change
	size   int
	done   ResultFunc
	until  time.Time // zero: as long as the committer runs
}

// Committer sends changes in order, as many in one transaction as fit, one
// transaction at a time. With a fence, every transaction also guards it.
type Committer struct {
	store  Store
	limits Limits
	fence  *kv.Precondition
	log    *slog.Logger

	mu    sync.Mutex
	queue []item
	wake  chan struct{}
}

// NewCommitter makes a committer; fence may be nil.
func NewCommitter(store Store, limits Limits, fence *kv.Precondition, log *slog.Logger) *Committer {
	return &Committer{store: store, limits: limits, fence: fence, log: log, wake: make(chan struct{}, 1)}
}

// ResultFunc receives the result of a change. The committer calls it from its own
// goroutine, in the order in which results are known; it must not block.
type ResultFunc func(CommitResult)

// Submit queues a change. done receives its result.
func (c *Committer) Submit(ch Change, until time.Time, done ResultFunc) {
	size := 0
	for _, op := range ch.Operations {
		size += len(op.PutKey) + len(op.DeleteKey) + 40
		if op.Value != nil {
			size += 3 * len(wire.Encode(op.Value)) / 2
		}
	}
	for _, g := range ch.Preconditions {
		size += len(g.Key) + 40
	}
	c.mu.Lock()
	c.queue = append(c.queue, item{ch, size, done, until})
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// QueueLength is the number of queued changes.
func (c *Committer) QueueLength() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// take removes as many changes as one transaction may hold.
func (c *Committer) take() []item {
	c.mu.Lock()
	defer c.mu.Unlock()
	ops, bytes, n, guards := 0, 0, 0, 1
	for _, it := range c.queue {
		ops += len(it.change.Operations)
		bytes += it.size
		guards += len(it.change.Preconditions)
		if n > 0 && (ops > c.limits.Operations || bytes > c.limits.Bytes || guards > 4*c.limits.Operations) {
			break
		}
		n++
	}
	batch := slices.Clone(c.queue[:n])
	c.queue = slices.Delete(c.queue, 0, n)
	return batch
}

// Run commits until the context ends or the fence is found to have moved; it
// then returns ErrFenced.
func (c *Committer) Run(ctx context.Context) error {
	for {
		batch := c.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-c.wake:
			}
			continue
		}
		if err := c.commit(ctx, batch, false); err != nil {
			return err
		}
	}
}

// commit brings one batch to a definite end. Changes whose own guards failed
// are answered; the rest goes again without them. When the service will not take
// the batch for its size or form, each change goes alone: only those that it will
// not take by themselves have failed, and they are not sent again. unknown tells
// that the changes were sent before and may have been applied.
func (c *Committer) commit(ctx context.Context, batch []item, unknown bool) error {
	for len(batch) > 0 {
		out, rest, unsure, err := c.send(ctx, batch, unknown)
		switch {
		case errors.Is(err, kv.ErrRejected):
			return c.commitSingly(ctx, rest, unsure, err)
		case err != nil:
			fail(rest, err)
			return ctx.Err()
		case out.Applied:
			for _, it := range rest {
				it.done(CommitResult{Change: it.change, Revision: out.Revision})
			}
			return nil
		case c.fence != nil && slices.Contains(out.FailedKeys, c.fence.Key):
			fail(rest, ErrFenced)
			return ErrFenced
		}
		batch = rejectFailed(rest, out.FailedKeys)
		if len(batch) == len(rest) {
			// A refusal that names no guard of ours cannot be acted on.
			c.log.Warn("conflict names no known key", "failed_keys", out.FailedKeys)
			if !monotonic.Sleep(ctx, unknownKeyDelay) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// unknownKeyDelay is the wait before a transaction is sent again that was refused for a
// key which is not known.
const unknownKeyDelay = 200 * time.Millisecond

// commitSingly commits the changes of a batch that the service refused as a whole one by
// one, so that the one that it will not take fails alone.
func (c *Committer) commitSingly(ctx context.Context, batch []item, unknown bool, refusal error) error {
	if len(batch) == 1 {
		c.log.Warn("change rejected", "err", refusal)
		batch[0].done(CommitResult{Change: batch[0].change, Err: fmt.Errorf("%w: %w", ErrRejected, refusal)})
		return nil
	}
	for i, it := range batch {
		if err := c.commit(ctx, []item{it}, unknown); err != nil {
			fail(batch[i+1:], err)
			return err
		}
	}
	return nil
}

// fail ends changes without an outcome.
func fail(batch []item, err error) {
	for _, it := range batch {
		it.done(CommitResult{Change: it.change, Err: err})
	}
}

// rejectFailed ends the changes with failed guards, and returns the others.
func rejectFailed(batch []item, failedKeys []string) (others []item) {
	for _, it := range batch {
		var failed []string
		for _, g := range it.change.Preconditions {
			if slices.Contains(failedKeys, g.Key) {
				failed = append(failed, g.Key)
			}
		}
		if failed == nil {
			others = append(others, it)
			continue
		}
		it.done(CommitResult{Change: it.change, Err: &ConflictError{Keys: failed}})
	}
	return others
}

// send repeats a transaction until its outcome is definite. An answer that
// was lost leaves it open whether the transaction was applied, or will be
// later. The same transaction again settles that: its guards let it through
// at most once, and after a refusal the nonce of what it wrote tells whether
// it was this very transaction that moved them.
//
// It also tells whether an earlier sending may have been applied.
func (c *Committer) send(ctx context.Context, batch []item, unknown bool) (kv.TxnResult, []item, bool, error) {
	txn := transaction(c.fence, batch)
	for wait := 50 * time.Millisecond; ; wait = min(2*wait, 500*time.Millisecond) {
		out, err := c.store.Commit(ctx, txn)
		refused := errors.Is(err, kv.ErrRejected)
		switch {
		case (err == nil && !out.Applied || refused) && unknown:
			applied, revision, rerr := c.settle(ctx, txn)
			if rerr == nil {
				if applied {
					return kv.TxnResult{Applied: true, Revision: revision}, batch, false, nil
				}
				return out, batch, refused, err
			}
			err = rerr
		case err == nil, refused, errors.Is(err, kv.ErrMalformedResponse):
			return out, batch, false, err
		case errors.Is(err, kv.ErrIndeterminate):
			unknown = true
		}
		if ctx.Err() != nil {
			return out, batch, unknown, ctx.Err()
		}
		if !unknown {
			// Nothing was executed: those who would rather be told now are.
			var rest []item
			for _, it := range batch {
				if it.until.IsZero() {
					rest = append(rest, it)
				} else {
					it.done(CommitResult{Change: it.change, Err: err})
				}
			}
			if len(rest) < len(batch) {
				if len(rest) == 0 {
					return out, nil, false, err
				}
				return c.send(ctx, rest, false)
			}
		} else if len(batch) > 0 && !batch[0].until.IsZero() && time.Now().After(batch[0].until) {
			return out, batch, unknown, err
		}
		c.log.Debug("commit retry", "err", err, "changes", len(batch))
		if !monotonic.Sleep(ctx, wait) {
			return out, batch, unknown, ctx.Err()
		}
	}
}

// transaction puts the changes of a batch together.
func transaction(fence *kv.Precondition, batch []item) kv.Txn {
	var txn kv.Txn
	if fence != nil {
		txn.Preconditions = append(txn.Preconditions, *fence)
	}
	for _, it := range batch {
		txn.Preconditions = append(txn.Preconditions, it.change.Preconditions...)
		txn.Operations = append(txn.Operations, it.change.Operations...)
	}
	return txn
}

// settle tells whether a transaction of unknown outcome was applied, once a
// repeat of it has been refused.
func (c *Committer) settle(ctx context.Context, txn kv.Txn) (bool, ids.Revision, error) {
	for _, op := range txn.Operations {
		if op.PutKey == "" {
			continue
		}
		e, found, err := c.store.Get(ctx, op.PutKey)
		if err != nil {
			return false, 0, err
		}
		var mark, ours struct {
			Nonce uint64 `msgpack:"w"`
		}
		if err := wire.Decode(wire.Encode(op.Value), &ours); err != nil {
			return false, 0, err
		}
		if !found || wire.Decode(e.Value, &mark) != nil || mark.Nonce != ours.Nonce {
			return false, 0, nil
		}
		return true, e.Revision, nil
	}
	// Only drops: what they drop is gone if they were applied, and nobody
	// else drops it.
	e, found, err := c.store.Get(ctx, txn.Operations[0].DeleteKey)
	return err == nil && !found, e.Revision, err
}
