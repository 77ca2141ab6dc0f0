package commit

import (
	"fmt"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
)

// batchState represents what is known about the transactions that were sent for a batch without a
// definite response. While a transaction is in flight, the state covers the earlier transactions
// only. A resolved batch needs no state, because it has a definite response.
type batchState int

const (
	// queued means that no transaction was executed or will be executed later.
	queued batchState = iota
	// indeterminate means that a transaction may have been executed, or may still be executed
	// later.
	indeterminate
)

// batch holds the changes that are committed in one transaction.
type batch struct {
	changes []queuedChange
	state   batchState
}

// part returns the changes from start up to, but not including, end as a separate batch in the same
// state.
func (b batch) part(start, end int) batch {
	return batch{changes: b.changes[start:end], state: b.state}
}

// transaction returns one transaction with all changes. If there is a fence, it is the first
// precondition.
func (b batch) transaction(fence *kv.Precondition) kv.Txn {
	var txn kv.Txn
	if fence != nil {
		txn.Preconditions = append(txn.Preconditions, *fence)
	}
	for _, c := range b.changes {
		txn.Preconditions = append(txn.Preconditions, c.change.Preconditions...)
		txn.Operations = append(txn.Operations, c.change.Operations...)
	}
	return txn
}

// hasDeadlines reports whether a change has a deadline.
func (b batch) hasDeadlines() bool {
	return slices.ContainsFunc(b.changes, queuedChange.hasDeadline)
}

// deadlinePassed reports whether the deadline of the first change has passed. The first change has
// waited longest.
func (b batch) deadlinePassed() bool {
	first := b.changes[0]
	return first.hasDeadline() && time.Now().After(first.deadline)
}

// succeed reports all changes as applied.
func (b batch) succeed(revision ids.Revision) {
	for _, c := range b.changes {
		c.report(records.CommitResult{Change: c.change, Revision: revision})
	}
}

// fail reports all changes as unresolved.
func (b batch) fail(cause error) {
	if b.state == indeterminate {
		cause = fmt.Errorf("%w: %w", records.ErrIndeterminate, cause)
	}
	for _, c := range b.changes {
		c.fail(cause)
	}
}

// reject reports all changes as rejected by the store.
func (b batch) reject(cause error) {
	for _, c := range b.changes {
		c.fail(fmt.Errorf("%w: %w", records.ErrRejected, cause))
	}
}

// failWithDeadlines reports the changes with a deadline as unresolved, and returns the others.
func (b batch) failWithDeadlines(cause error) (others []queuedChange) {
	for _, c := range b.changes {
		if c.hasDeadline() {
			c.fail(cause)
		} else {
			others = append(others, c)
		}
	}
	return others
}

// failConflicting reports a conflict for the changes with failed preconditions, and returns
// the others.
func (b batch) failConflicting(failedKeys []string) (others []queuedChange) {
	for _, c := range b.changes {
		if keys := c.conflicts(failedKeys); keys != nil {
			c.fail(&records.ConflictError{Keys: keys})
		} else {
			others = append(others, c)
		}
	}
	return others
}

// queuedChange represents a submitted change that has no result yet.
type queuedChange struct {
	change records.Change
	size   size
	report ResultFunc
	// deadline is zero if the change is retried until Run returns.
	deadline time.Time
}

// hasDeadline reports whether the change has a deadline.
func (c queuedChange) hasDeadline() bool { return !c.deadline.IsZero() }

// conflicts returns the failed keys that are preconditions of the change.
func (c queuedChange) conflicts(failedKeys []string) (keys []string) {
	for _, precondition := range c.change.Preconditions {
		if slices.Contains(failedKeys, precondition.Key) {
			keys = append(keys, precondition.Key)
		}
	}
	return keys
}

// fail reports a change as failed, with an error that names the key of its first operation.
func (c queuedChange) fail(err error) {
	key := c.change.Operations[0].PutKey
	if key == "" {
		key = c.change.Operations[0].DeleteKey
	}
	c.report(records.CommitResult{Change: c.change, Err: fmt.Errorf("commit change of %s: %w", key, err)})
}
