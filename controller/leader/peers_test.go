package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// The core is told that all controllers follow only when each has said so: one that has not may
// be an earlier leader that goes on answering.
func TestAllPeersMustFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := new(testPeer), new(testPeer)
		inbox := newMailbox()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- awaitFollowers(ctx, []Peer{first, second}, 7, inbox) }()
		for _, step := range []struct {
			first, second uint64
			told          int
		}{{0, 0, 0}, {9, 0, 0}, {9, 6, 0}, {9, 7, 1}} {
			first.followed.Store(step.first)
			second.followed.Store(step.second)
			time.Sleep(time.Second)
			if told := len(inbox.events); told != step.told {
				t.Errorf("%+v: told %d times", step, told)
			}
		}
		if e, ok := (<-inbox.events).(followersConfirmed); !ok {
			t.Errorf("posted %T", e)
		}
		cancel()
		<-done
	})
}
