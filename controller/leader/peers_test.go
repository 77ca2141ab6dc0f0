package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// followersConfirmed is posted only once all peers follow this leader. A peer that does not may be a
// previous leader that still answers heartbeats.
func TestFollowersConfirmedRequiresAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := new(testPeer), new(testPeer)
		leaderMailbox := newMailbox()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- awaitFollowers(ctx, []Peer{first, second}, 7, leaderMailbox) }()
		for _, step := range []struct {
			first, second uint64
			posted        int
		}{{0, 0, 0}, {9, 0, 0}, {9, 6, 0}, {9, 7, 1}} {
			first.followed.Store(step.first)
			second.followed.Store(step.second)
			time.Sleep(time.Second)
			if posted := len(leaderMailbox.events); posted != step.posted {
				t.Errorf("%+v: posted %d times", step, posted)
			}
		}
		if e, ok := (<-leaderMailbox.events).(followersConfirmed); !ok {
			t.Errorf("posted %T", e)
		}
		cancel()
		<-done
	})
}
