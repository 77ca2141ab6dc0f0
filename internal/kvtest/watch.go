package kvtest

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
)

// Watch returns the store's revision and the changes of keys with the prefix after revision since. If
// there are none, it waits for a change for at most maxWait. If the context ends first, it returns
// kv.ErrIndeterminate. A watch that is open when an outage starts stays open.
func (s *Store) Watch(ctx context.Context, prefix string, since ids.Revision, maxWait time.Duration) (ids.Revision, []kv.Event, error) {
	maxWait, err := s.openWatch(since, maxWait)
	if err != nil {
		return 0, nil, err
	}
	deadline := time.Now().Add(maxWait)
	for {
		update := s.updateSince(prefix, since)
		if len(update.events) > 0 || !time.Now().Before(deadline) {
			return update.revision, update.events, nil
		}
		if err := update.wait(ctx, deadline); err != nil {
			return 0, nil, fmt.Errorf("%w: watch of %q: %w", kv.ErrIndeterminate, prefix, err)
		}
	}
}

// openWatch returns how long a watch may wait. It returns kv.ErrCompacted if the changes since the
// revision are no longer retained.
func (s *Store) openWatch(since ids.Revision, maxWait time.Duration) (time.Duration, error) {
	err := s.request(func() error {
		if s.retention > 0 && since+s.retention < s.revision {
			return kv.ErrCompacted
		}
		if s.maxWatchWait > 0 {
			maxWait = min(maxWait, s.maxWatchWait)
		}
		return nil
	})
	return maxWait, err
}

// watchUpdate holds the result of one check for changes, and what to wait for before the next check.
type watchUpdate struct {
	revision   ids.Revision
	events     []kv.Event
	changed    <-chan struct{}
	nextExpiry time.Time // zero if no lease can expire
}

// updateSince checks for changes of keys with the prefix after the revision.
func (s *Store) updateSince(prefix string, since ids.Revision) watchUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	update := watchUpdate{revision: s.revision, changed: s.changed}
	update.nextExpiry, _ = s.nextExpiry()
	first, _ := slices.BinarySearchFunc(s.events, since+1, func(event kv.Event, revision ids.Revision) int {
		return cmp.Compare(event.Revision, revision)
	})
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.PutKey+event.DeletedKey, prefix) {
			update.events = append(update.events, event)
		}
	}
	return update
}

// wait blocks until there may be a change or the deadline expires. It returns an error if the context
// ends.
func (u watchUpdate) wait(ctx context.Context, deadline time.Time) error {
	if !u.nextExpiry.IsZero() && u.nextExpiry.Before(deadline) {
		deadline = u.nextExpiry
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-u.changed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// wakeWatches makes all open watches check for changes again.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
