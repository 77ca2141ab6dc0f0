package commit

import (
	"context"
	"errors"
	"time"

	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
)

// A transaction is sent again after minBackoff, which doubles up to maxBackoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// answer is how the sending of a batch ended.
type answer struct {
	// batch has the changes that still need a result. Its state tells whether the store
	// may have executed, or may yet execute, an earlier sending of them.
	batch batch
	// result is the store's if err is nil: applied, or a conflict.
	result kv.TxnResult
	// err wraps kv.ErrRejected if the store rejects the transaction. All other errors are the
	// reason why the batch was given up.
	err error
}

// isRefusal reports whether the store answered that it did not apply the transaction.
func (a answer) isRefusal() bool {
	return a.err == nil && !a.result.Applied || errors.Is(a.err, kv.ErrRejected)
}

// send sends a batch until the answer is definite, or until the batch is given up.
// The same transaction is safe to repeat: its preconditions let it through at most once.
func (c *Committer) send(ctx context.Context, b batch) answer {
	txn := b.transaction(c.fence)
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		a, definite := c.attempt(ctx, b, txn)
		b = a.batch
		switch {
		case definite:
			return a
		case ctx.Err() != nil:
			return answer{batch: b, err: ctx.Err()}
		case b.state == queued && b.hasDeadlines():
			return c.sendWithoutDeadlines(ctx, b, a.err)
		case b.state == indeterminate && b.deadlinePassed():
			return a
		}
		c.log.Debug("commit retry", "err", a.err, "changes", len(b.changes))
		if !monotonic.Sleep(ctx, backoff) {
			return answer{batch: b, err: ctx.Err()}
		}
	}
}

// sendWithoutDeadlines continues after the store did not execute a transaction: changes with a
// deadline fail at once, and the others are sent again without a pause.
func (c *Committer) sendWithoutDeadlines(ctx context.Context, b batch, cause error) answer {
	b.changes = b.failWithDeadlines(cause)
	if len(b.changes) == 0 {
		return answer{batch: b, err: cause}
	}
	return c.send(ctx, b)
}

// attempt sends a transaction once and moves the batch to its next state. definite is false
// if the transaction has to be sent again.
func (c *Committer) attempt(ctx context.Context, b batch, txn kv.Txn) (a answer, definite bool) {
	result, err := c.store.Commit(ctx, txn)
	a = answer{batch: b, result: result, err: err}
	switch {
	case a.isRefusal() && b.state == indeterminate:
		return c.resolve(ctx, a, txn)
	case a.isRefusal(), err == nil:
		return a, true
	case errors.Is(err, kv.ErrMalformedResponse):
		a.batch.state = indeterminate
		return a, true // the store would answer the same again
	case errors.Is(err, kv.ErrIndeterminate):
		a.batch.state = indeterminate
	}
	return a, false
}
