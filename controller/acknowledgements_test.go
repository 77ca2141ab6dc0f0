package controller

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// acknowledgementTest holds a leader whose access to the key-value store can be refused, and two
// followers that can always reach the store.
type acknowledgementTest struct {
	store                   *kvtest.Server
	leaderStore             *kvtest.Server // a server of the same store for the leader alone
	leader                  *Controller
	follower, otherFollower *Controller
}

func newAcknowledgementTest(t *testing.T) *acknowledgementTest {
	t.Helper()
	store := newTestStore(t)
	a := &acknowledgementTest{store: store, leaderStore: serveStore(t, store.Store)}
	platform := testConfig(a.leaderStore.Address())
	platform.Settings.KV.RPS, platform.Settings.KV.WriteRPS, platform.Settings.KV.ValueKB = 20000, 80, 2
	a.leader = newTestController(t, platform)
	setTestCatalog(a.leader)
	address := startLeading(t, a.leader)
	a.follower = startFollower(t, a.store.Address(), a.leader, address)
	a.otherFollower = startFollower(t, a.store.Address(), a.leader, address)
	return a
}

// submit submits a job and waits until the leader knows it.
func (a *acknowledgementTest) submit(t *testing.T, id ids.JobID) {
	t.Helper()
	if answer := a.follower.service.Submit(t.Context(), id, testSpec()); answer.Status != 201 {
		t.Fatalf("submission of %s: %+v", id, answer)
	}
	waitUntil(t, "the leader knows the job", func() bool { return knownToLeader(t, a.leader, id) })
}

// requestAll sends every kind of request about a job to both followers, cancellations first, and returns
// the answers.
func (a *acknowledgementTest) requestAll(t *testing.T, id ids.JobID) map[string]server.Response {
	t.Helper()
	answers := map[string]server.Response{}
	for name, c := range map[string]*Controller{"follower": a.follower, "other follower": a.otherFollower} {
		answers[name+": cancellation"] = c.service.Cancel(t.Context(), id)
		answers[name+": status"] = c.service.Status(t.Context(), id)
		answers[name+": submission"] = c.service.Submit(t.Context(), id, testSpec())
		answers[name+": repeated cancellation"] = c.service.Cancel(t.Context(), id)
	}
	return answers
}

// checkReportedCancelled checks that every answer reports the job as cancelled.
func (a *acknowledgementTest) checkReportedCancelled(t *testing.T, id ids.JobID) {
	t.Helper()
	for way, answer := range a.requestAll(t, id) {
		if s, _ := answer.Body.(wire.JobStatus); answer.Status != 200 || s.Status != wire.JobCancelled {
			t.Errorf("%s: %s: %+v", way, id, answer)
		}
	}
}

// checkNotReported checks that every answer asks the user to retry.
func (a *acknowledgementTest) checkNotReported(t *testing.T, id ids.JobID) {
	t.Helper()
	for way, answer := range a.requestAll(t, id) {
		if answer.Status != 503 || answer.RetryAfter == 0 {
			t.Errorf("%s: %s: %+v", way, id, answer)
		}
	}
}

// Only the leader cannot reach the key-value store, and jobs are cancelled at another controller. If that
// controller reported the cancellation and the store then failed for every controller, the leader would
// renew the leases of the tasks beyond the cancel deadline. So no answer may report a cancellation before
// a leader that holds its lease has observed it, and no answer may have an older status.
func TestCancellationIsReportedOnceLeaderAcknowledgesIt(t *testing.T) {
	a := newAcknowledgementTest(t)
	term := a.leader.election.Term()
	a.submit(t, "job-1")
	a.submit(t, "job-2")
	a.submit(t, "job-3")
	if answer := a.follower.service.Cancel(t.Context(), "job-1"); answer.Status != 200 {
		t.Errorf("cancellation while the leader holds its lease: %+v", answer)
	}
	if knownToLeader(t, a.leader, "job-1") {
		t.Error("the cancellation was reported before the leader observed it")
	}
	a.checkReportedCancelled(t, "job-1")

	a.leaderStore.RefuseRequests("/")
	waitUntil(t, "the leader does not hold its lease", func() bool { return !term.HoldsLease() })
	a.checkNotReported(t, "job-2")
	if knownToLeader(t, a.leader, "job-2") || !term.MayAnswerHeartbeats() {
		t.Error("the leader must still lead and must not have observed the record")
	}
	a.checkReportedCancelled(t, "job-1")
	// The same applies while the follower knows no leader that it can reach.
	a.follower.election.Observe(election.Leader{Identity: election.Identity{Name: "n-9"}, Revision: term.Revision + 1})
	if answer := a.follower.service.Cancel(t.Context(), "job-3"); answer.Status != 503 {
		t.Errorf("cancellation without a reachable leader: %+v", answer)
	}

	a.leaderStore.AcceptRequests()
	waitUntil(t, "the leader holds its lease again", func() bool { return term.HoldsLease() })
	if answer := a.follower.service.Status(t.Context(), "job-2"); answer.Status != 503 {
		t.Errorf("status without a reachable leader: %+v", answer)
	}
	// The leader's watch returns the record, and pings raise the acknowledged revision.
	waitUntil(t, "the leader has observed all changes", func() bool {
		record, _ := a.store.Entry("jobs/job-3")
		revision, ok := a.leader.localLeader.get().AcknowledgedRevision()
		return ok && revision >= record.Revision
	})
	a.follower.pinger.observe(a.leader.pinger.currentPing())
	a.checkReportedCancelled(t, "job-2")
	a.checkReportedCancelled(t, "job-3")
}

// A leader that acknowledged cancellations without its lease could acknowledge changes that a later
// leader does not know. Here the store refuses only renewals of the lease, so the leader continues to
// read changes of jobs.
func TestLeaderWithoutLeaseAcknowledgesNothing(t *testing.T) {
	store := newTestStore(t)
	leaderStore := serveStore(t, store.Store)
	platform := testConfig(leaderStore.Address())
	platform.Settings.KV.RPS, platform.Settings.KV.WriteRPS, platform.Settings.KV.ValueKB = 20000, 80, 2
	c := newTestController(t, platform)
	setTestCatalog(c)
	address := startLeading(t, c)
	term := c.election.Term()
	const advanced = 40 // no record of a job changes up to this revision
	store.AdvanceRevision(advanced)
	waitUntil(t, "revisions without changes of jobs are acknowledged", func() bool { return c.pinger.currentPing().AcknowledgedRevision >= advanced })
	acknowledged := store.Put(records.JobKey("job-0"), records.Job{Status: wire.JobDone, Tasks: 1})
	waitUntil(t, "all changes are acknowledged", func() bool { return c.pinger.currentPing().AcknowledgedRevision >= acknowledged })
	leaderStore.RefuseRequests("/grants")
	waitUntil(t, "the leader does not hold its lease", func() bool { return !term.HoldsLease() })
	unacknowledged := store.Put(records.JobKey("job-00"), records.Job{Status: wire.JobDone, Tasks: 1})
	follower := startFollower(t, store.Address(), c, address)
	if answer := follower.service.Submit(t.Context(), "job-1", testSpec()); answer.Status != 201 {
		t.Fatalf("submission of job-1: %+v", answer)
	}
	spec := testSpec()
	store.Put(records.JobKey("job-2"), records.Job{Status: wire.JobQueued, Tasks: spec.Tasks, Spec: spec})
	waitUntil(t, "the leader's watch has observed all changes", func() bool { return knownToLeader(t, c, "job-2") })
	for until := time.Now().Add(3 * stepsOfLeader); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if got := c.pinger.currentPing().AcknowledgedRevision; got >= unacknowledged {
			t.Fatalf("acknowledged up to revision %d without the lease", got)
		}
	}
	leaderStore.AcceptRequests()
	waitUntil(t, "all changes are acknowledged once the lease is held again", func() bool {
		return c.pinger.currentPing().AcknowledgedRevision >= unacknowledged
	})
}

// stepsOfLeader is longer than the interval between two steps of a leader's core, at which it acknowledges changes.
const stepsOfLeader = 200 * time.Millisecond

// A peer's answer acknowledges the term only as of the time when the ping was sent, and not from before
// the peer's process was started. So a ping must contain the uptime, and a peer that knows a later
// revision must end the term.
func TestPingWithLaterRevisionEndsTerm(t *testing.T) {
	store := newTestStore(t)
	platform := testConfig(store.Address())
	platform.Seeds = []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}}
	platform.Settings.Workers.LeaseS, platform.Settings.Workers.CancelDeadlineS = 27, 52
	c := newTestController(t, platform)
	setTestCatalog(c)
	startLeading(t, c)
	if ping := c.pinger.currentPing(); ping.Uptime <= 0 {
		t.Errorf("uptime %v in the ping, want more than 0", ping.Uptime)
	}
	term := c.election.Term()
	// A peer that has observed a later leader ends the term, even if it does not know the current
	// leader.
	c.pinger.observe(peerapi.Ping{From: "n-1", Revision: term.Revision + 1})
	waitUntil(t, "the term has ended", func() bool { return c.election.Term() != term })
	if term.MayAnswerHeartbeats() {
		t.Error("heartbeats are still answered after the end of the term")
	}
}
