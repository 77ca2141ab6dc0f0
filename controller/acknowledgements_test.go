package controller

import (
	"testing"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/internal/kvtest"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// acknowledgementTest is a leader that the key-value store can refuse, and two followers that
// it always serves.
type acknowledgementTest struct {
	state        *kvtest.Server
	leaderState  *kvtest.Server // the leader's own server of the same store
	leader       *Controller
	asked, other *Controller
}

func newAcknowledgementTest(t *testing.T) *acknowledgementTest {
	t.Helper()
	state := newTestStore(t)
	a := &acknowledgementTest{state: state, leaderState: serveStore(t, state.Store)}
	platform := testConfig(a.leaderState.Address())
	platform.Settings.KV.RPS, platform.Settings.KV.WriteRPS, platform.Settings.KV.ValueKB = 20000, 80, 2
	a.leader = newTestController(t, platform)
	storeTestCatalog(a.leader)
	address := startLeading(t, a.leader)
	a.asked = startFollower(t, a.state.Address(), a.leader, address)
	a.other = startFollower(t, a.state.Address(), a.leader, address)
	return a
}

// submit submits a job, and waits until the leader knows it.
func (a *acknowledgementTest) submit(t *testing.T, id ids.JobID) {
	t.Helper()
	if answer := a.asked.service.Submit(t.Context(), id, testSpec()); answer.Status != 201 {
		t.Fatalf("%s: %+v", id, answer)
	}
	until(t, "the leader knows the job", func() bool { return knownToLeader(t, a.leader, id) })
}

// answers sends every kind of request about a job to both followers, the cancellation first.
func (a *acknowledgementTest) answers(t *testing.T, id ids.JobID) map[string]server.Response {
	t.Helper()
	answers := map[string]server.Response{}
	for name, c := range map[string]*Controller{"asked": a.asked, "other": a.other} {
		answers[name+": cancellation"] = c.service.Cancel(t.Context(), id)
		answers[name+": status"] = c.service.Status(t.Context(), id)
		answers[name+": submission"] = c.service.Submit(t.Context(), id, testSpec())
		answers[name+": repeated cancellation"] = c.service.Cancel(t.Context(), id)
	}
	return answers
}

// checkReported checks that every answer reports a job as cancelled.
func (a *acknowledgementTest) checkReported(t *testing.T, id ids.JobID) {
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

// The key-value store refuses only the leader, and jobs are cancelled at another controller. If
// that were reported, and the store then failed for every controller, the leader would renew the
// leases of the tasks for longer than the cancel deadline. So no answer reports a cancellation
// before a leader that holds its lease has observed it, and no answer has an older status.
func TestCancellationIsVisibleOnceALeaderAcknowledgedIt(t *testing.T) {
	a := newAcknowledgementTest(t)
	term := a.leader.election.Term()
	a.submit(t, "job-1")
	a.submit(t, "job-2")
	a.submit(t, "job-3")
	if answer := a.asked.service.Cancel(t.Context(), "job-1"); answer.Status != 200 {
		t.Errorf("the leader holds its lease: %+v", answer)
	}
	if knownToLeader(t, a.leader, "job-1") {
		t.Error("reported before the leader has observed it")
	}
	a.checkReported(t, "job-1")

	a.leaderState.RefuseRequests("/")
	until(t, "the leader's lease may have expired", func() bool { return !term.HoldsLease() })
	a.checkNotTold(t, "job-2")
	if knownToLeader(t, a.leader, "job-2") || !term.MayAnswerHeartbeats() {
		t.Error("the leader still leads, and did not observe the record")
	}
	a.checkReported(t, "job-1")
	// Nor while no controller leads, as far as this one knows.
	a.asked.election.Observe(election.Leader{Identity: election.Identity{Name: "n-9"}, Revision: term.Revision + 1})
	if answer := a.asked.service.Cancel(t.Context(), "job-3"); answer.Status != 503 {
		t.Errorf("no known leader: %+v", answer)
	}

	a.leaderState.AcceptRequests()
	until(t, "the leader holds its lease again", func() bool { return term.HoldsLease() })
	if answer := a.asked.service.Status(t.Context(), "job-2"); answer.Status != 503 {
		t.Errorf("no known leader: %+v", answer)
	}
	// The leader's watch returns the record, and pings raise the acknowledged revision.
	until(t, "the leader has read all", func() bool {
		record, _ := a.state.Entry("jobs/job-3")
		revision, ok := a.leader.ownLeader.get().AcknowledgedRevision()
		return ok && revision >= record.Revision
	})
	a.asked.pinger.observe(a.leader.pinger.message())
	a.checkReported(t, "job-2")
	a.checkReported(t, "job-3")
}

// A leader acknowledges cancellations only while it holds its lease: a later leader may not know
// what it observes after that. Here the store refuses only renewals of the lease, so the leader
// continues to read changes of jobs.
func TestLeaderWithoutItsLeaseAcknowledgesNothing(t *testing.T) {
	state := newTestStore(t)
	leaderState := serveStore(t, state.Store)
	platform := testConfig(leaderState.Address())
	platform.Settings.KV.RPS, platform.Settings.KV.WriteRPS, platform.Settings.KV.ValueKB = 20000, 80, 2
	c := newTestController(t, platform)
	storeTestCatalog(c)
	address := startLeading(t, c)
	term := c.election.Term()
	acknowledged := state.Put(records.JobKey("job-0"), records.Job{Status: wire.JobDone, Tasks: 1})
	until(t, "all is acknowledged", func() bool { return c.pinger.message().AcknowledgedRevision >= acknowledged })
	leaderState.RefuseRequests("/grants")
	until(t, "the lease may have expired", func() bool { return !term.HoldsLease() })
	unacknowledged := state.Put(records.JobKey("job-00"), records.Job{Status: wire.JobDone, Tasks: 1})
	follower := startFollower(t, state.Address(), c, address)
	if answer := follower.service.Submit(t.Context(), "job-1", testSpec()); answer.Status != 201 {
		t.Fatalf("%+v", answer)
	}
	until(t, "the leader has read all", func() bool {
		revision, _ := c.ownLeader.get().AcknowledgedRevision()
		return revision >= unacknowledged
	})
	if got := c.pinger.message().AcknowledgedRevision; got >= unacknowledged {
		t.Errorf("acknowledged up to %d without the lease", got)
	}
}

// A peer's answer confirms what it knew when it was asked, and nothing from before its process
// was started.
func TestPeersConfirmTheTerm(t *testing.T) {
	state := newTestStore(t)
	platform := testConfig(state.Address())
	platform.Seeds = []config.Peer{{Name: "n-1", Address: "127.0.0.1:5"}}
	platform.Settings.Workers.LeaseS, platform.Settings.Workers.CancelDeadlineS = 27, 52
	c := newTestController(t, platform)
	storeTestCatalog(c)
	startLeading(t, c)
	if ping := c.pinger.message(); ping.Uptime <= 0 {
		t.Errorf("up for %v", ping.Uptime)
	}
	term := c.election.Term()
	// A peer that has seen a later leader ends the term, though it does not know who leads
	// now.
	c.pinger.observe(peerapi.Ping{From: "n-1", Revision: term.Revision + 1})
	until(t, "the term has ended", func() bool { return c.election.Term() != term })
	if term.MayAnswerHeartbeats() {
		t.Error("answers in the name of an earlier term")
	}
}
