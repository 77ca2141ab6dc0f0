package controller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// door is one controller's way to the key-value store. The store refuses that controller alone
// the paths that begin with the prefix while refuse is set.
func (s *smallState) door(t *testing.T, prefix string) (addr string, refuse *atomic.Bool) {
	t.Helper()
	refuse = new(atomic.Bool)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refuse.Load() && strings.HasPrefix(r.URL.Path, prefix) {
			w.WriteHeader(503)
			return
		}
		s.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), refuse
}

// acknowledgementTest is a leader that the key-value store can refuse, and two followers that
// it always serves.
type acknowledgementTest struct {
	state        *smallState
	refuse       *atomic.Bool
	leader       *Controller
	asked, other *Controller
}

func newAcknowledgementTest(t *testing.T) *acknowledgementTest {
	t.Helper()
	a := &acknowledgementTest{state: newSmallState(t)}
	var store string
	store, a.refuse = a.state.door(t, "/")
	platform := testConfig(store)
	platform.Settings.State.RPS, platform.Settings.State.WriteRPS, platform.Settings.State.ValueKB = 20000, 80, 2
	a.leader = testNode(t, platform)
	a.leader.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	address := a.state.leads(t, a.leader)
	a.asked = startFollower(t, a.state, a.leader, address)
	a.other = startFollower(t, a.state, a.leader, address)
	return a
}

// submit submits a job, and waits until the leader knows it.
func (a *acknowledgementTest) submit(t *testing.T, id ids.JobID) {
	t.Helper()
	if answer := a.asked.Submit(t.Context(), id, waiting()); answer.Status != 201 {
		t.Fatalf("%s: %+v", id, answer)
	}
	until(t, "the leader knows the job", func() bool { return knownToLeader(t, a.leader, id) })
}

// answers asks both followers about a job in every way. The cancellation comes first: before it
// there is nothing to tell.
func (a *acknowledgementTest) answers(t *testing.T, id ids.JobID) map[string]server.Response {
	t.Helper()
	answers := map[string]server.Response{}
	for name, c := range map[string]*Controller{"asked": a.asked, "other": a.other} {
		answers[name+": cancellation"] = c.Cancel(t.Context(), id)
		answers[name+": status"] = c.Status(t.Context(), id)
		answers[name+": submission"] = c.Submit(t.Context(), id, waiting())
		answers[name+": repeated cancellation"] = c.Cancel(t.Context(), id)
	}
	return answers
}

// checkTold checks that every answer tells of a job's cancellation.
func (a *acknowledgementTest) checkTold(t *testing.T, id ids.JobID) {
	t.Helper()
	for way, answer := range a.answers(t, id) {
		if s, _ := answer.Body.(wire.JobStatus); answer.Status != 200 || s.Status != wire.JobCancelled {
			t.Errorf("%s: %s: %+v", way, id, answer)
		}
	}
}

// checkNotTold checks that every answer asks the user to come back.
func (a *acknowledgementTest) checkNotTold(t *testing.T, id ids.JobID) {
	t.Helper()
	for way, answer := range a.answers(t, id) {
		if answer.Status != 503 || answer.RetryAfter == 0 {
			t.Errorf("%s: %s: %+v", way, id, answer)
		}
	}
}

// The key-value store refuses the leader alone, and jobs are cancelled at another controller. If
// the user were told, and the store then failed for every controller, the leader would go on
// renewing the leases of the tasks for longer than the cancel deadline. So no user is told, in
// whatever way, before a leader that holds its lease has taken the cancellation in; and no user
// is told anything older.
func TestCancellationIsVisibleOnceALeaderAcknowledgedIt(t *testing.T) {
	a := newAcknowledgementTest(t)
	term := a.leader.election.Term()
	a.submit(t, "job-1")
	a.submit(t, "job-2")
	a.submit(t, "job-3")
	if answer := a.asked.Cancel(t.Context(), "job-1"); answer.Status != 200 {
		t.Errorf("the leader holds its lease: %+v", answer)
	}
	if knownToLeader(t, a.leader, "job-1") {
		t.Error("told before the leader has taken it in")
	}
	a.checkTold(t, "job-1")

	a.refuse.Store(true)
	until(t, "the leader's lease may have expired", func() bool { return !term.HoldsLease() })
	a.checkNotTold(t, "job-2")
	if knownToLeader(t, a.leader, "job-2") || !term.MayAnswerHeartbeats() {
		t.Error("the leader goes on, and did not take in what it was told")
	}
	a.checkTold(t, "job-1")
	// Nor while no controller leads, as far as this one knows.
	a.asked.election.Observe(election.Leader{Identity: election.Identity{Name: "n-9"}, Revision: term.Revision + 1})
	if answer := a.asked.Cancel(t.Context(), "job-3"); answer.Status != 503 {
		t.Errorf("no known leader: %+v", answer)
	}

	a.refuse.Store(false)
	until(t, "the leader holds its lease again", func() bool { return term.HoldsLease() })
	if answer := a.asked.Status(t.Context(), "job-2"); answer.Status != 503 {
		t.Errorf("no known leader: %+v", answer)
	}
	// The leader reads the record by itself, and pings tell of it.
	until(t, "the leader has read all", func() bool {
		a.state.mu.Lock()
		defer a.state.mu.Unlock()
		revision, ok := a.leader.leader.Load().AcknowledgedRevision()
		return ok && revision >= a.state.keys["jobs/job-3"].Revision
	})
	a.asked.observePing(a.leader.ping())
	a.checkTold(t, "job-2")
	a.checkTold(t, "job-3")
}

// A leader acknowledges cancellations only while it holds its lease: a later leader may not know
// what it takes in after that. Here the store refuses to renew the lease, and nothing else, so
// the leader goes on reading changes of jobs.
func TestLeaderWithoutItsLeaseAcknowledgesNothing(t *testing.T) {
	state := newSmallState(t)
	store, refuse := state.door(t, "/grants")
	platform := testConfig(store)
	platform.Settings.State.RPS, platform.Settings.State.WriteRPS, platform.Settings.State.ValueKB = 20000, 80, 2
	c := testNode(t, platform)
	c.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	address := state.leads(t, c)
	term := c.election.Term()
	state.mu.Lock()
	state.epoch = 40
	state.mu.Unlock()
	until(t, "all is acknowledged", func() bool { return c.ping().Acked >= 40 })
	refuse.Store(true)
	until(t, "the lease may have expired", func() bool { return !term.HoldsLease() })
	state.mu.Lock()
	state.epoch = 50
	state.mu.Unlock()
	follower := startFollower(t, state, c, address)
	if answer := follower.Submit(t.Context(), "job-1", waiting()); answer.Status != 201 {
		t.Fatalf("%+v", answer)
	}
	until(t, "the leader has read all", func() bool {
		revision, _ := c.leader.Load().AcknowledgedRevision()
		return revision >= 50
	})
	if got := c.ping().Acked; got >= 50 {
		t.Errorf("acknowledged up to %d without the lease", got)
	}
}

// A peer's answer confirms what it knew when it was asked, and nothing from before its process
// was started.
func TestPeersConfirmTheTerm(t *testing.T) {
	state := newSmallState(t)
	platform := testConfig(state.addr)
	platform.Seeds = []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}}
	platform.Settings.Workers.LeaseS, platform.Settings.Workers.CancelDeadlineS = 27, 52
	c := testNode(t, platform)
	c.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	state.leads(t, c)
	if ping := c.ping(); ping.Up <= 0 {
		t.Errorf("up for %v", ping.Up)
	}
	term := c.election.Term()
	// A peer that has seen a later leader ends the term, though it does not know who leads
	// now.
	c.observePing(peerapi.Ping{From: "n-1", Revision: term.Revision + 1})
	until(t, "the term has ended", func() bool { return c.election.Term() != term })
	if term.MayAnswerHeartbeats() {
		t.Error("answers in the name of an earlier term")
	}
}

// startFollower starts a controller that follows another, which peers reach at an address.
func startFollower(t *testing.T, state *smallState, leading *Controller, address string) *Controller {
	t.Helper()
	c := state.started(t, config.Peer{Name: "n-0", Address: address})
	follow(c, leading)
	return c
}

// until waits for what other goroutines are to bring about.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 4000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

// knownToLeader tells whether the leader in a controller's process knows a job.
func knownToLeader(t *testing.T, c *Controller, id ids.JobID) bool {
	t.Helper()
	own := c.leader.Load()
	if own == nil {
		return false
	}
	progress, err := own.Progress(t.Context(), []ids.JobID{id})
	if err != nil {
		return false
	}
	_, known := progress[id]
	return known
}

// A transaction is carried out at once and only its answer is lost, while other nodes
// read what it wrote, and write on. Whoever asks after an answer gets nothing older,
// from any node, and the node that waited for its answer least of all.
func TestNothingOlderAfterLostAnswers(t *testing.T) {
	rank := map[wire.JobState]int{wire.JobQueued: 1, wire.JobCancelled: 2}
	state := newSmallState(t)
	a := state.started(t)
	seed := config.Peer{Name: "n-0", Address: state.leads(t, a)}
	nodes := []*Controller{a, state.started(t, seed), state.started(t, seed)}
	follow(nodes[1], a)
	follow(nodes[2], a)
	for round := range 40 {
		id := ids.JobID(fmt.Sprintf("job-%d", round))
		var mu sync.Mutex
		newest := 0
		// ask asks a node, and checks against what was told before it was asked.
		ask := func(what string, f func(context.Context) server.Response) {
			mu.Lock()
			before := newest
			mu.Unlock()
			ans := f(t.Context())
			s, _ := ans.Body.(wire.JobStatus)
			mu.Lock()
			defer mu.Unlock()
			if ans.Status == 503 {
				return
			}
			if now := rank[s.Status]; now < before {
				t.Errorf("%s %s: %+v after %d", id, what, ans, before)
			} else {
				newest = max(newest, now)
			}
		}
		state.mu.Lock()
		state.lose = round % 4
		state.mu.Unlock()
		var users sync.WaitGroup
		for i, n := range nodes {
			users.Go(func() {
				ask("submitted", func(ctx context.Context) server.Response { return n.Submit(ctx, id, waiting()) })
				for range 5 {
					ask("polled", func(ctx context.Context) server.Response { return n.Status(ctx, id) })
				}
				if i == round%3 {
					ask("cancelled", func(ctx context.Context) server.Response { return n.Cancel(ctx, id) })
				}
				for range 5 {
					ask("polled", func(ctx context.Context) server.Response { return n.Status(ctx, id) })
					ask("submitted again", func(ctx context.Context) server.Response { return n.Submit(ctx, id, waiting()) })
				}
			})
		}
		users.Wait()
		ask("cancelled again", func(ctx context.Context) server.Response { return nodes[round%3].Cancel(ctx, id) })
		if newest != 2 {
			t.Errorf("%s: told %d", id, newest)
		}
	}
}
