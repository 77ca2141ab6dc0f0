package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// followerConfirmed is posted for each peer, and followersConfirmed only once all peers follow this leader. A peer
// that does not may be a previous leader that still answers heartbeats.
func TestFollowersConfirmedRequiresAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &testPeer{name: "n-1"}, &testPeer{name: "n-2"}
		leaderMailbox := newMailbox()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- awaitFollowers(ctx, []Peer{first, second}, 7, leaderMailbox) }()
		for _, step := range []struct {
			first, second uint64
			posted        int
		}{{0, 0, 0}, {9, 0, 1}, {9, 6, 1}, {9, 7, 3}} {
			first.followed.Store(step.first)
			second.followed.Store(step.second)
			time.Sleep(time.Second)
			if posted := len(leaderMailbox.events); posted != step.posted {
				t.Errorf("%+v: posted %d times", step, posted)
			}
		}
		for _, want := range []event{followerConfirmed{"n-1"}, followerConfirmed{"n-2"}, followersConfirmed{}} {
			if got := <-leaderMailbox.events; got != want {
				t.Errorf("posted %T %v, want %T %v", got, got, want, want)
			}
		}
		cancel()
		<-done
	})
}
