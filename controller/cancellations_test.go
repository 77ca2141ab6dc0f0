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
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// door is one node's way to the state service, which may refuse it alone.
func (s *smallState) door(t *testing.T) (addr string, refuse *atomic.Bool) {
	t.Helper()
	refuse = new(atomic.Bool)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refuse.Load() {
			w.WriteHeader(503)
			return
		}
		s.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), refuse
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

// The gap: the state service refuses the leader alone, and jobs are cancelled through
// another node. Were the user told, and the state service then away for everybody, the
// leader would go on renewing the leases of the tasks for longer than cancel_s, knowing
// of nothing. So nobody is told, in whatever way, before a leader that holds its key has
// taken the cancellation in; and nobody is told anything older.
func TestCancellationIsVisibleOnceALeaderAcknowledgedIt(t *testing.T) {
	state := newSmallState(t)
	addr, refuse := state.door(t)
	cfg := testConfig(addr)
	cfg.Settings.KV.RPS, cfg.Settings.KV.WriteRPS, cfg.Settings.KV.ValueKB = 20000, 80, 2
	leader := testNode(t, cfg)
	leader.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	seed := config.Peer{Name: "n-0", Address: state.leads(t, leader)}
	term := leader.term.Load()
	asked, other := state.started(t, seed), state.started(t, seed)
	follow(asked, leader)
	follow(other, leader)
	ways := []struct { // in this order: before the first, there is nothing to tell
		name string
		ask  func(n *Controller, id ids.JobID) server.Response
	}{
		{"withdraw", func(n *Controller, id ids.JobID) server.Response { return n.Cancel(t.Context(), id) }},
		{"poll", func(n *Controller, id ids.JobID) server.Response { return n.Status(t.Context(), id) }},
		{"submit", func(n *Controller, id ids.JobID) server.Response { return n.Submit(t.Context(), id, waiting()) }},
		{"withdraw again", func(n *Controller, id ids.JobID) server.Response { return n.Cancel(t.Context(), id) }},
	}
	check := func(id ids.JobID, told bool, when string) {
		t.Helper()
		for _, n := range []*Controller{asked, other} {
			for _, way := range ways {
				a := way.ask(n, id)
				s, _ := a.Body.(wire.JobStatus)
				if told && (a.Status != 200 || s.Status != wire.JobCancelled) || !told && (a.Status != 503 || a.RetryAfter == 0) {
					t.Errorf("%s, %s: %s: %+v", when, way.name, id, a)
				}
			}
		}
	}
	known := func(id ids.JobID) (ok bool) {
		term.ask(t.Context(), func() { _, ok = term.core.Progress(id) })
		return ok
	}
	for _, id := range []ids.JobID{"job-1", "job-2", "job-3"} {
		if a := asked.Submit(t.Context(), id, waiting()); a.Status != 201 {
			t.Fatalf("%s: %+v", id, a)
		}
		until(t, "the leader knows the job", func() bool { return known(id) })
	}
	if a := asked.Cancel(t.Context(), "job-1"); a.Status != 200 {
		t.Errorf("the leader holds its key: %+v", a)
	}
	if known("job-1") {
		t.Error("told before the leader has taken it in")
	}
	check("job-1", true, "told before")

	refuse.Store(true)
	until(t, "the leader's key is not surely held", func() bool { return !term.key.HoldsLease() })
	check("job-2", false, "the leader is refused alone")
	if known("job-2") || !term.key.MayAnswerHeartbeats() {
		t.Error("the leader goes on, and did not take in what it was told")
	}
	check("job-1", true, "the leader is refused alone")
	// Nor while nobody leads, as far as this node knows.
	asked.election.Observe(election.Leader{Identity: election.Identity{Name: "n-9"}, Revision: term.key.Revision + 1})
	if a := asked.Cancel(t.Context(), "job-3"); a.Status != 503 {
		t.Errorf("nobody leads: %+v", a)
	}

	refuse.Store(false)
	until(t, "the leader holds its key again", func() bool { return term.key.HoldsLease() })
	if a := asked.Status(t.Context(), "job-2"); a.Status != 503 {
		t.Errorf("nobody leads: %+v", a)
	}
	// The leader reads the record by itself, and pings bring word of it.
	until(t, "the leader has read all", func() bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		return ids.Revision(term.applied.Load()) >= state.keys["jobs/job-3"].Revision
	})
	asked.observePing(leader.ping())
	check("job-2", true, "the leader holds its key again")
	check("job-3", true, "the leader holds its key again")
}

// A leader's word counts only while it holds its key: a later one may not know then
// what it has taken in.
func TestLeaderWithoutItsKeyAcknowledgesNothing(t *testing.T) {
	state := newSmallState(t)
	addr, refuse := state.door(t)
	n := testNode(t, testConfig(addr))
	n.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	state.leads(t, n)
	tm := n.term.Load()
	state.mu.Lock()
	state.epoch = 40
	state.mu.Unlock()
	until(t, "all is acknowledged", func() bool { return n.ping().Acked >= 40 })
	refuse.Store(true)
	until(t, "the key is not surely held", func() bool { return !tm.key.HoldsLease() })
	tm.applied.Store(50)
	if got := n.ping().Acked; got >= 50 {
		t.Errorf("acknowledged up to %d without the key", got)
	}
}

// A peer's answer speaks for what it knew when it was asked, and for no longer than
// its process has run.
func TestPeersConfirmTheTerm(t *testing.T) {
	state := newSmallState(t)
	cfg := testConfig(state.addr)
	cfg.Seeds = []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}}
	cfg.Settings.Workers.LeaseS, cfg.Settings.Workers.CancelDeadlineS = 27, 52
	n := testNode(t, cfg)
	if d := n.isolatedBound(); d < 23*time.Second || d > 24*time.Second {
		t.Errorf("isolated for %v", d)
	}
	if d := n.isolatedReplicasBound(); d < 68*time.Second || d > 69*time.Second {
		t.Errorf("isolated with replicas for %v", d)
	}
	n.upgrade.durable.Store(true)
	if o := n.options(5, true); o.PreviousLeaderGrace != n.isolatedReplicasBound() || o.PreviousLeaderGraceWithoutReplicas != n.isolatedBound() {
		t.Errorf("a successor counts on %v and %v", o.PreviousLeaderGrace, o.PreviousLeaderGraceWithoutReplicas)
	}
	n.upgrade.durable.Store(false)
	n.catalog.Store(&[]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 16, Zones: []ids.Zone{"a"}}})
	state.leads(t, n)
	if a := n.ping(); a.Up <= 0 {
		t.Errorf("up for %v", a.Up)
	}
	key := n.election.Term()
	// A peer that has seen a later leader ends the term, though it does not know who
	// leads now.
	n.observePing(ping{From: "n-1", Revision: key.Revision + 1})
	until(t, "the term is over", func() bool { return n.election.Term() != key })
	if key.MayAnswerHeartbeats() {
		t.Error("answers in the name of an earlier term")
	}
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

// Pings tell that all cancellations up to a revision may be told. A leader says so only
// once no earlier one can keep tasks of jobs that are cancelled meanwhile.
func TestNothingIsPublishedBesideAnEarlierLeader(t *testing.T) {
	n := testNode(t, testConfig("127.0.0.1:1"))
	tm := newTerm(n, testTerm(5))
	opt := n.options(5, true)
	opt.CancelDeadline, opt.AgentLease, opt.PreviousLeaderGrace, opt.PreviousLeaderGraceWithoutReplicas = 52*time.Second, 27*time.Second, time.Minute, time.Second
	tm.core = scheduler.New(opt, nil)
	tm.core.Begin(n.clock.Now())
	tm.observed = 50
	tm.publishApplied()
	if got := tm.applied.Load(); got != 0 {
		t.Errorf("published %d beside an earlier leader", got)
	}
	tm.core.AllControllersFollow(n.clock.Now())
	tm.publishApplied()
	if got := tm.applied.Load(); got != 50 {
		t.Errorf("published %d once all follow", got)
	}
}
