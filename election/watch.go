package election

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
)

// watchTimeout is the maximum time for which the store holds a watch request without a change.
const watchTimeout = 10 * time.Second

// Observe records a leader that the store or a peer reported. A leader with a larger revision
// than the current term ends that term. A leader without a name is not followed: its key was
// deleted, and its revision only proves that earlier terms have ended.
func (e *Election) Observe(l Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Revision <= e.leader.Revision {
		return
	}
	if l.Name != "" {
		e.leader = l
	}
	if e.term != nil && l.Revision > e.term.Revision {
		e.term.End(fmt.Errorf("term %d: %w at revision %d", e.term.Revision, ErrSuperseded, l.Revision))
	}
}

// clearLeader clears the name of the leader whose key was deleted at a revision. It keeps the
// revision of the leader.
func (e *Election) clearLeader(deletedAt ids.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Revision <= deletedAt {
		e.leader = Leader{Revision: e.leader.Revision}
	}
}

// awaitKeyChange waits until the leader key has changed since it was read at readRevision.
func (e *Election) awaitKeyChange(ctx context.Context, readRevision ids.Revision) error {
	since := readRevision
	for ctx.Err() == nil {
		revision, events, err := e.store.Watch(ctx, records.LeaderKey, since, watchTimeout)
		if errors.Is(err, kv.ErrCompacted) {
			revision, err = e.verifyKeyUnchanged(ctx, readRevision)
		}
		if errors.Is(err, errKeyChanged) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("watch key %s since revision %d: %w", records.LeaderKey, since, err)
		}
		if e.observeKeyEvents(events) {
			return nil
		}
		since = max(since, revision)
	}
	return ctx.Err()
}

// errKeyChanged means that the leader key is no longer at the revision that was read.
var errKeyChanged = errors.New("leader key changed")

// verifyKeyUnchanged verifies that the leader key is still at readRevision, and returns the
// revision of the store at that time, from which the key can be watched. It returns
// errKeyChanged if the key is at another revision. It is needed if the leader has held the key
// for longer than the store retains changes. Reading the key again would then return
// readRevision, from which it cannot be watched.
func (e *Election) verifyKeyUnchanged(ctx context.Context, readRevision ids.Revision) (ids.Revision, error) {
	result, err := e.store.Commit(ctx, kv.Txn{
		Preconditions: []kv.Precondition{{Key: records.LeaderKey, Revision: readRevision}},
	})
	if err != nil {
		return 0, fmt.Errorf("verify key %s at revision %d: %w", records.LeaderKey, readRevision, err)
	}
	if !result.Applied {
		return 0, errKeyChanged
	}
	return result.Revision, nil
}

// observeKeyEvents reports whether the leader key changed, and clears the leader if the key was
// deleted.
func (e *Election) observeKeyEvents(events []kv.Event) bool {
	for _, event := range events {
		if event.DeletedKey == records.LeaderKey {
			e.clearLeader(event.Revision)
			return true
		}
		if event.PutKey == records.LeaderKey {
			return true
		}
	}
	return false
}
