package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// followersConfirmed is posted only once all peers follow this leader: one that does not may be an
// earlier leader that still answers heartbeats.
func TestAllPeersMustFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := new(testPeer), new(testPeer)
		inbox := newMailbox()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- awaitFollowers(ctx, []Peer{first, second}, 7, inbox) }()
		for _, step := range []struct {
			first, second uint64
			posted        int
		}{{0, 0, 0}, {9, 0, 0}, {9, 6, 0}, {9, 7, 1}} {
			first.followed.Store(step.first)
			second.followed.Store(step.second)
			time.Sleep(time.Second)
			if posted := len(inbox.events); posted != step.posted {
				t.Errorf("%+v: posted %d times", step, posted)
			}
		}
		if e, ok := (<-inbox.events).(followersConfirmed); !ok {
			t.Errorf("posted %T", e)
		}
		cancel()
		<-done
	})
}
