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

// watchTimeout is for how long the store holds one watch request without a change.
const watchTimeout = 10 * time.Second

// Observe records a leader that the store or a peer names. A leader with a larger revision
// than the current term ends that term. A leader without a name is not followed: its key was
// deleted, and its revision only shows that earlier terms have ended.
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

// forgetLeader forgets the leader whose key was deleted at a revision. The revision of the
// leader stays known.
func (e *Election) forgetLeader(deletedAt ids.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Revision <= deletedAt {
		e.leader = Leader{Revision: e.leader.Revision}
	}
}

// awaitKeyChange returns nil when the leader key, last read at a revision, has changed.
func (e *Election) awaitKeyChange(ctx context.Context, read ids.Revision) error {
	since := read
	for ctx.Err() == nil {
		revision, events, err := e.store.Watch(ctx, records.LeaderKey, since, watchTimeout)
		if errors.Is(err, kv.ErrCompacted) {
			revision, err = e.verifyKeyUnchanged(ctx, read)
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

// errKeyChanged means that the leader key is not at the revision that was read.
var errKeyChanged = errors.New("leader key changed")

// verifyKeyUnchanged returns a revision of the store at which the leader key is still at the
// revision that was read, from which it can be watched. It returns errKeyChanged if the key
// is at another revision. It is needed when the leader has held the key for longer than the
// store keeps changes: reading the key again would only return its old revision.
func (e *Election) verifyKeyUnchanged(ctx context.Context, read ids.Revision) (ids.Revision, error) {
	result, err := e.store.Commit(ctx, kv.Txn{
		Preconditions: []kv.Precondition{{Key: records.LeaderKey, Revision: read}},
	})
	if err != nil {
		return 0, fmt.Errorf("verify key %s at revision %d: %w", records.LeaderKey, read, err)
	}
	if !result.Applied {
		return 0, errKeyChanged
	}
	return result.Revision, nil
}

// observeKeyEvents reports whether the leader key changed, and forgets the leader if the key
// was deleted.
func (e *Election) observeKeyEvents(events []kv.Event) bool {
	for _, event := range events {
		if event.DeletedKey == records.LeaderKey {
			e.forgetLeader(event.Revision)
			return true
		}
		if event.PutKey == records.LeaderKey {
			return true
		}
	}
	return false
}
