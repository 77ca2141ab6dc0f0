package election

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/kv"
)

// A controller that cannot reach the store may learn of a later leader only from a peer. Its term
// must end then, and it must follow that leader once the name is known.
func TestLaterLeaderEndsTheTerm(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		m := c.start(t, "n0", 1)
		time.Sleep(time.Second)
		term := m.election.Term()
		if term == nil {
			t.Fatal("no term")
		}
		m.client.RefuseRequests()
		m.election.Observe(Leader{Revision: term.Revision + 5}) // the key is deleted, so the name is unknown
		time.Sleep(time.Second)
		if m.election.Term() != nil {
			t.Error("the term has not ended")
		}
		m.election.Observe(Leader{Identity{Name: "n1"}, term.Revision + 5})
		if leader, _ := m.election.Leader(); leader.Name != "n1" {
			t.Errorf("follows %q, want n1", leader.Name)
		}
	})
}

// A leader whose process was paused for longer than its lease cannot distinguish a store outage
// from the election of a later leader. It must not answer heartbeats before a renewal has completed.
func TestNoHeartbeatsAnsweredAfterProcessPause(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		m := c.start(t, "n0", 1)
		time.Sleep(time.Second)
		_, term := c.mustLeader(t)
		m.client.DelayRequests(12 * time.Second)
		time.Sleep(11 * time.Second)
		if term.MayAnswerHeartbeats() {
			t.Error("answers heartbeats, although no renewal has confirmed a store outage")
		}
		time.Sleep(5 * time.Second)
		if term.MayAnswerHeartbeats() || m.election.Term() == term {
			t.Error("the term has not ended after its lease expired")
		}
	})
}

// A renewal that was in flight during a process pause does not show whether the store is reachable
// now. It counts as old, because its age is measured from its start. The leader must not answer
// heartbeats until the next renewal has completed.
func TestRenewalStartedBeforePauseIsNotRecent(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		m := c.start(t, "n0", 1)
		time.Sleep(time.Second)
		_, term := c.mustLeader(t)
		m.client.RefuseRequests()
		m.client.DelayRequests(12 * time.Second)
		time.Sleep(12*time.Second + 100*time.Millisecond)
		if term.MayAnswerHeartbeats() {
			t.Error("answers heartbeats after a renewal that started before the pause")
		}
		time.Sleep(time.Second)
		if !term.MayAnswerHeartbeats() {
			t.Error("answers no heartbeats after a renewal that started after the pause, within the outage grace")
		}
	})
}

// A term may end while its lease is valid. It must not answer heartbeats from then on, because other
// controllers rely on this one following a later leader.
func TestEndedTermAnswersNoHeartbeats(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.start(t, "n0", 1)
		time.Sleep(time.Second)
		_, term := c.mustLeader(t)
		term.End(ErrSuperseded)
		if term.MayAnswerHeartbeats() {
			t.Error("answers heartbeats after the term has ended")
		}
	})
}

// A candidate may receive the response to its commit after it observed a later leader. It must not
// begin a term, because it may have announced to its peers that it follows that leader.
func TestLateCommitBeginsNoTerm(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		delayed := newClient(c.store)
		delayed.DelayRequests(time.Second)
		m := c.startWith(t, Identity{Name: "n0", Incarnation: 1}, delayed, delayed)
		m.election.Observe(Leader{Identity{Name: "n1"}, 50})
		time.Sleep(5 * time.Second)
		if m.election.Term() != nil {
			t.Error("leads despite a later leader")
		}
	})
}

// The cause of the cancellation of the work's context is the reason for which the term ended.
func TestTermEndCause(t *testing.T) {
	waitForEnd := func(ctx context.Context, _ *Term) error {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	errWork := errors.New("records unreadable")
	for _, c := range []struct {
		name        string
		injectFault func(e *Election, c *kvtest.Client)
		work        func(context.Context, *Term) error
		want        error
	}{
		{"superseded", func(e *Election, _ *kvtest.Client) { e.Observe(Leader{Revision: 50}) }, waitForEnd, ErrSuperseded},
		{"lease expired", func(_ *Election, c *kvtest.Client) { c.DelayRequests(12 * time.Second) }, waitForEnd, kv.ErrLeaseExpired},
		{"outage grace expired", func(_ *Election, c *kvtest.Client) { c.RefuseRequests() }, waitForEnd, errGraceExpired},
		{"work failed", func(*Election, *kvtest.Client) {}, func(context.Context, *Term) error { return errWork }, errWork},
		{"work returned", func(*Election, *kvtest.Client) {}, func(context.Context, *Term) error { return nil }, errWorkReturned},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newClient(kvtest.NewStore())
				terms := make(chan context.Context, 99)
				election := newElection(client, Identity{Name: "n0"}, func(ctx context.Context, term *Term) error {
					terms <- ctx
					return c.work(ctx, term)
				})
				runElection(t, election)
				termCtx := <-terms
				time.Sleep(time.Second)
				c.injectFault(election, client)
				<-termCtx.Done()
				if got := context.Cause(termCtx); !errors.Is(got, c.want) {
					t.Errorf("cause %v, want %v", got, c.want)
				}
			})
		})
	}
}
