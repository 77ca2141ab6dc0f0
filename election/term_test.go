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

// A later leader that a peer names ends the term, and is followed once its name is known.
func TestLaterLeaderEndsTheTerm(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		m := c.start(t, "n0", 1)
		time.Sleep(time.Second)
		term := m.election.Term()
		if term == nil {
			t.Fatal("no term")
		}
		m.client.Refuse()
		m.election.Observe(Leader{Revision: term.Revision + 5}) // its key is gone, and its name with it
		time.Sleep(time.Second)
		if m.election.Term() != nil {
			t.Error("the term goes on")
		}
		m.election.Observe(Leader{Identity{Name: "n1"}, term.Revision + 5})
		if leader, _ := m.election.Leader(); leader.Name != "n1" {
			t.Errorf("follows %q", leader.Name)
		}
	})
}

// A leader whose process was paused for longer than its lease cannot tell a store outage from
// a later leader. It must not answer heartbeats before it has asked the store.
func TestNoHeartbeatsAnsweredAfterProcessPause(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		m := c.start(t, "n0", 1)
		time.Sleep(time.Second)
		_, term := c.mustLead(t)
		m.client.Hold(12 * time.Second)
		time.Sleep(11 * time.Second)
		if term.MayAnswerHeartbeats() {
			t.Error("answers heartbeats, though no renewal shows a store outage")
		}
		time.Sleep(5 * time.Second)
		if term.MayAnswerHeartbeats() || m.election.Term() == term {
			t.Error("the term goes on after its lease expired")
		}
	})
}

// A renewal counts from when it started: one that was under way during a pause shows nothing
// about the store now. The next one does.
func TestRenewalPausedWithTheProcessIsNotRecent(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		m := c.start(t, "n0", 1)
		time.Sleep(time.Second)
		_, term := c.mustLead(t)
		m.client.Refuse()
		m.client.Hold(12 * time.Second)
		time.Sleep(12*time.Second + 100*time.Millisecond)
		if term.MayAnswerHeartbeats() {
			t.Error("answers heartbeats after a renewal that started before the pause")
		}
		time.Sleep(time.Second)
		if !term.MayAnswerHeartbeats() {
			t.Error("answers no heartbeats after a renewal that started since, within the outage grace")
		}
	})
}

func TestEndedTermAnswersNoHeartbeats(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		c.start(t, "n0", 1)
		time.Sleep(time.Second)
		_, term := c.mustLead(t)
		term.End(ErrSuperseded)
		if term.MayAnswerHeartbeats() {
			t.Error("answers heartbeats")
		}
	})
}

// A candidate whose commit is answered after a later leader was observed begins no term:
// it may have announced to its peers that it follows that leader.
func TestLateCommitBeginsNoTerm(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		delayed := newClient(c.store)
		delayed.Hold(time.Second)
		m := c.startWith(t, Identity{Name: "n0", Incarnation: 1}, delayed, delayed)
		m.election.Observe(Leader{Identity{Name: "n1"}, 50})
		time.Sleep(5 * time.Second)
		if m.election.Term() != nil {
			t.Error("leads all the same")
		}
	})
}

// The cause of the work's context is the reason why the term ended.
func TestCauseOfTheEnd(t *testing.T) {
	untilEnd := func(ctx context.Context, _ *Term) error {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	errWork := errors.New("records unreadable")
	for _, c := range []struct {
		name    string
		disturb func(e *Election, c *kvtest.Client)
		work    func(context.Context, *Term) error
		want    error
	}{
		{"superseded", func(e *Election, _ *kvtest.Client) { e.Observe(Leader{Revision: 50}) }, untilEnd, ErrSuperseded},
		{"lease expired", func(_ *Election, c *kvtest.Client) { c.Hold(12 * time.Second) }, untilEnd, kv.ErrLeaseExpired},
		{"outage grace expired", func(_ *Election, c *kvtest.Client) { c.Refuse() }, untilEnd, errGraceExpired},
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
				run(t, election)
				termCtx := <-terms
				time.Sleep(time.Second)
				c.disturb(election, client)
				<-termCtx.Done()
				if got := context.Cause(termCtx); !errors.Is(got, c.want) {
					t.Errorf("cause %v, want %v", got, c.want)
				}
			})
		})
	}
}
