package commit

import (
	"context"
	"errors"
	"time"

	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
)

// The first retry of a transaction is sent after minBackoff. The delay doubles with each retry, up to
// maxBackoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// sendResult holds the result of sending a batch.
type sendResult struct {
	// batch holds the changes that still need a result. Its state shows whether the store may
	// have executed an earlier attempt, or may still execute it later.
	batch batch
	// result is the response of the store if err is nil: the transaction was applied, or
	// failed with a conflict.
	result kv.TxnResult
	// err wraps kv.ErrRejected if the store rejected the transaction. Any other error is the
	// reason for which the batch was given up.
	err error
}

// isConflictOrRejection reports whether the store responded that it did not apply the transaction.
func (r sendResult) isConflictOrRejection() bool {
	return r.err == nil && !r.result.Applied || errors.Is(r.err, kv.ErrRejected)
}

// send sends a batch until the response is definite, or until the batch is given up. Repeating the
// same transaction is safe, because its preconditions allow it to be applied at most once.
func (c *Committer) send(ctx context.Context, b batch) sendResult {
	txn := b.transaction(c.fence)
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		r, definite := c.attempt(ctx, b, txn)
		b = r.batch
		switch {
		case definite:
			return r
		case ctx.Err() != nil:
			return sendResult{batch: b, err: ctx.Err()}
		case b.state == queued && b.hasDeadlines():
			return c.sendWithoutDeadlines(ctx, b, r.err)
		case b.state == indeterminate && b.deadlinePassed():
			return r
		}
		c.log.Debug("commit retry", "err", r.err, "changes", len(b.changes))
		if !monotonic.Sleep(ctx, backoff) {
			return sendResult{batch: b, err: ctx.Err()}
		}
	}
}

// sendWithoutDeadlines continues after the store did not execute a transaction. Changes with a
// deadline fail immediately, and the others are sent again without a delay.
func (c *Committer) sendWithoutDeadlines(ctx context.Context, b batch, cause error) sendResult {
	b.changes = b.failWithDeadlines(cause)
	if len(b.changes) == 0 {
		return sendResult{batch: b, err: cause}
	}
	return c.send(ctx, b)
}

// attempt sends a transaction once and updates the state of the batch. definite reports whether the
// transaction need not be sent again.
func (c *Committer) attempt(ctx context.Context, b batch, txn kv.Txn) (r sendResult, definite bool) {
	result, err := c.store.Commit(ctx, txn)
	r = sendResult{batch: b, result: result, err: err}
	switch {
	case r.isConflictOrRejection() && b.state == indeterminate:
		return c.resolve(ctx, r, txn)
	case r.isConflictOrRejection(), err == nil:
		return r, true
	case errors.Is(err, kv.ErrMalformedResponse):
		r.batch.state = indeterminate
		return r, true // a retry would get the same response
	case errors.Is(err, kv.ErrIndeterminate):
		r.batch.state = indeterminate
	}
	return r, false
}
