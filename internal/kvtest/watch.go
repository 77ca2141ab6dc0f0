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

// Watch returns the changes of keys with a prefix after a revision. It waits for one for at
// most hold, and for as long as the context lasts. A watch that is open goes on in an outage.
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

// openWatch returns for how long a watch may wait. It fails if the changes since a revision are
// not kept.
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

// watchUpdate is what a watch finds at one look, and when to look again.
type watchUpdate struct {
	revision   ids.Revision
	events     []kv.Event
	changed    <-chan struct{}
	nextExpiry time.Time // zero if no lease ends
}

// updateSince looks for changes of keys with a prefix after a revision.
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

// wait returns when there may be a change, or when a deadline has passed.
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

// wakeWatches has all watches look again.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
