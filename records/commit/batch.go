package commit

import (
	"fmt"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
)

// batchState is what is known about the transactions that were sent for a batch without a
// definite answer. While a transaction is in flight, the state is that of the transactions
// before it. A batch that is resolved has an answer.
type batchState int

const (
	// queued means that none was executed, and none will be.
	queued batchState = iota
	// indeterminate means that one may have been executed, or may yet be.
	indeterminate
)

// batch is the changes that go together in one transaction.
type batch struct {
	changes []queuedChange
	state   batchState
}

// part returns the changes from start up to end as a batch of its own, in the same state.
func (b batch) part(start, end int) batch {
	return batch{changes: b.changes[start:end], state: b.state}
}

// transaction joins the changes, behind the fence if there is one.
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

// deadlinePassed reports whether the deadline of the first change, which has waited
// longest, has passed.
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

// fail reports all changes as not resolved.
func (b batch) fail(cause error) {
	if b.state == indeterminate {
		cause = fmt.Errorf("%w: %w", records.ErrIndeterminate, cause)
	}
	for _, c := range b.changes {
		c.fail(cause)
	}
}

// reject reports all changes as rejected by the store.
func (b batch) reject(refusal error) {
	for _, c := range b.changes {
		c.fail(fmt.Errorf("%w: %w", records.ErrRejected, refusal))
	}
}

// failWithDeadlines reports the changes with a deadline as not resolved, and returns the
// others.
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

// queuedChange is a submitted change that has no result yet.
type queuedChange struct {
	change records.Change
	size   size
	report ResultFunc
	// deadline is zero if the change waits as long as Run does.
	deadline time.Time
}

// hasDeadline reports whether the change has a deadline.
func (c queuedChange) hasDeadline() bool { return !c.deadline.IsZero() }

// conflicts returns those of the failed keys that are preconditions of the change.
func (c queuedChange) conflicts(failedKeys []string) (keys []string) {
	for _, precondition := range c.change.Preconditions {
		if slices.Contains(failedKeys, precondition.Key) {
			keys = append(keys, precondition.Key)
		}
	}
	return keys
}

// fail reports a change as failed with an error that names its first key.
func (c queuedChange) fail(err error) {
	key := c.change.Operations[0].PutKey
	if key == "" {
		key = c.change.Operations[0].DeleteKey
	}
	c.report(records.CommitResult{Change: c.change, Err: fmt.Errorf("commit change of %s: %w", key, err)})
}
