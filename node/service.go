package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/ledger"
	"ospreystile.example/ospreystile/mesh"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/statestore"
	"ospreystile.example/ospreystile/wire"
)

const (
	retryDelay = time.Second
	// userRequestTimeout is how long a user's request may take here, of the 5 s that
	// users wait.
	userRequestTimeout = 3500 * time.Millisecond
	// pollTimeout is the same for polls, of 2 s.
	pollTimeout = 1500 * time.Millisecond
	// maxIntake bounds the submissions that wait for a commit.
	maxIntake = 128
)

// Healthy implements server.Service. A node without the catalog cannot judge
// submissions yet.
func (n *Node) Healthy() bool { return n.catalog.Load() != nil }

// canRun tells whether a job could ever run here.
func (n *Node) canRun(s *wire.Spec, types []wire.MachineType) bool {
	for i := range n.cfg.Settings.Teams {
		t := &n.cfg.Settings.Teams[i]
		if t.Name != s.Team {
			continue
		}
		need := quota.Amount{CPUs: s.CPUs, GPUs: s.GPUs}
		if s.Service || s.Gang {
			need = need.Times(s.Tasks)
		}
		if !need.Within(limitOf(*t)) {
			return false
		}
		return slices.ContainsFunc(types, func(t wire.MachineType) bool {
			return placement.Fits(s, &t) && (s.Zone == "" || slices.Contains(t.Zones, s.Zone))
		})
	}
	return false
}

// Submit implements server.Service.
func (n *Node) Submit(ctx context.Context, id ids.JobID, spec *wire.Spec) server.Answer {
	if s, ok := n.terminalJobs.get(id); ok {
		return server.Answer{Code: 200, Body: s}
	}
	types := n.catalog.Load()
	if types == nil {
		return server.RetryLater(retryDelay)
	}
	ctx, cancel := context.WithTimeout(ctx, userRequestTimeout)
	defer cancel()
	if !n.canRun(spec, *types) {
		// A job that was accepted stays so, whatever has changed since.
		if a := n.Status(ctx, id); a.Code != 404 {
			return a
		}
		return server.Answer{Code: 422}
	}
	// Names that no machine type has would only make the record larger.
	spec.Types = slices.DeleteFunc(spec.Types, func(name ids.MachineType) bool {
		return !slices.ContainsFunc(*types, func(t wire.MachineType) bool { return t.Name == name })
	})
	if n.intake.Waiting() >= maxIntake {
		return server.RetryLater(retryDelay)
	}
	rec := ledger.Job{Nonce: rand.Uint64(), Status: wire.StatusQueued, Tasks: spec.Tasks, Spec: spec,
		SubmittedMS: time.Now().UnixMilli()}
	if len(spec.DependsOn) > 0 {
		doomed, a := n.checkDependencies(ctx, id, spec.DependsOn)
		if a.Code != 0 {
			return a
		}
		if doomed {
			rec.Status = wire.StatusCancelled
		}
	}
	// With room for what a withdrawal changes. A list that is too long to be kept
	// is refused whole.
	if wire.Exceeds(rec, n.valueBytes()-recordSlack) {
		if a := n.Status(ctx, id); a.Code != 404 {
			return a
		}
		return server.Answer{Code: 422}
	}
	out, err := n.commit(ctx, ledger.SubmitChange(id, rec))
	if err != nil {
		n.log.Debug("submission not taken", "job", id, "err", err)
		return server.RetryLater(retryDelay)
	}
	if out.Applied {
		n.notifyLeader(id, &rec, out.Revision)
		return server.Answer{Code: 201, Body: wire.JobStatus{ID: id, Status: rec.Status}}
	}
	if out.Refused {
		return server.RetryLater(refusedLater)
	}
	return n.Status(ctx, id)
}

const (
	// recordSlack is by how much rewriting a job's record may lengthen it.
	recordSlack = 64
	// refusedLater is when to come back with what the state service would not
	// take although it keeps to all its limits that are known.
	refusedLater = 5 * time.Second
)

// judgeNeeds decides on a submission that names other jobs: the answer, or that it
// may be accepted (code 0), and whether it is then withdrawn at once. What has been
// accepted before is answered from its record, whatever it names. That a named job
// was never accepted is said only on the strength of a copy that is as new as the
// question.
func (n *Node) checkDependencies(ctx context.Context, id ids.JobID, needs []ids.JobID) (doomed bool, _ server.Answer) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	a := n.statusReads.ask(ctx, id, needs)
	switch {
	case a.err != nil:
		n.log.Debug("named jobs not read", "job", id, "err", a.err)
		return false, server.RetryLater(retryDelay)
	case a.found:
		return false, n.jobAnswer(ctx, id, a)
	case !a.accepted:
		return false, server.Answer{Code: 422}
	case !n.upgrade.done():
		// An older leader would not wait for them.
		return false, server.RetryLater(retryDelay)
	}
	return a.dependencyCancelled, server.Answer{}
}

// commit brings one user's change to its outcome, or to an error after which
// the user must ask again.
func (n *Node) commit(ctx context.Context, ch ledger.Change) (ledger.Outcome, error) {
	type result struct {
		out ledger.Outcome
		err error
	}
	done := make(chan result, 1)
	until, _ := ctx.Deadline()
	n.intake.Submit(ch, until, func(o ledger.Outcome, err error) { done <- result{o, err} })
	select {
	case r := <-done:
		return r.out, r.err
	case <-ctx.Done():
		return ledger.Outcome{}, ctx.Err()
	}
}

// Status implements server.Service. What is over may be told from memory;
// everything else is read, since another node may have told something newer.
func (n *Node) Status(ctx context.Context, id ids.JobID) server.Answer {
	if s, ok := n.terminalJobs.get(id); ok {
		return server.Answer{Code: 200, Body: s}
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	a := n.statusReads.ask(ctx, id, nil)
	if a.err != nil {
		n.log.Debug("job not read", "job", id, "err", a.err)
		return server.RetryLater(retryDelay)
	}
	if !a.found {
		return server.Answer{Code: 404}
	}
	return n.jobAnswer(ctx, id, a)
}

// told is the answer about a job that was found.
func (n *Node) jobAnswer(ctx context.Context, id ids.JobID, a queryAnswer) server.Answer {
	if a.job.terminal() {
		return n.terminalAnswer(ctx, id, a.job)
	}
	s := wire.JobStatus{ID: id, Status: a.job.Status, Done: a.Done, Running: a.Running}
	if s.Running > 0 {
		s.Status = wire.StatusRunning
	}
	return server.Answer{Code: 200, Body: s}
}

// over is the answer about a job that is done or withdrawn, if it may be told.
func (n *Node) terminalAnswer(ctx context.Context, id ids.JobID, job jobSnapshot) server.Answer {
	s := wire.JobStatus{ID: id, Status: job.Status}
	switch {
	case job.Status == wire.StatusDone:
		s.Done = job.Tasks
	case !job.orphan && !n.cancelVisible(ctx, id, &ledger.Job{Status: job.Status, Tasks: job.Tasks}, job.revision):
		a := server.RetryLater(retryDelay)
		a.Close = true // another node may reach the leader
		return a
	}
	n.terminalJobs.put(s)
	return server.Answer{Code: 200, Body: s}
}

// recordOf is what a job's own record tells.
func snapshotOf(rec *ledger.Job, stamp ids.Revision) jobSnapshot {
	// Only the leader withdraws without the description: what never had a task.
	return jobSnapshot{Status: rec.Status, Tasks: rec.Tasks, revision: stamp,
		orphan: rec.Status == wire.StatusCancelled && rec.Spec == nil}
}

func (n *Node) readJob(ctx context.Context, id ids.JobID) (*ledger.Job, ids.Revision, bool, error) {
	e, found, err := n.userState.Get(ctx, ledger.JobKey(id))
	if err != nil || !found {
		return nil, 0, false, err
	}
	rec := new(ledger.Job)
	if err := wire.Decode(e.Value, rec); err != nil {
		return nil, 0, false, err
	}
	return rec, e.Revision, true, nil
}

// progress asks the leader how many tasks of each job are done and running. It
// is for display; without an answer nothing is known to run.
func (n *Node) progress(ctx context.Context, list []ids.JobID) []progress {
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	if t := n.term.Load(); t != nil {
		return t.progress(ctx, list)
	}
	var ans []progress
	if p := n.leaderPeer(); p != nil && p.Call(ctx, "progress", list, &ans) == nil {
		return ans
	}
	return nil
}

func (t *term) progress(ctx context.Context, list []ids.JobID) []progress {
	out := make([]progress, len(list))
	if !t.ask(ctx, func() {
		for i, id := range list {
			s, _ := t.core.Status(id)
			out[i] = progress{s.Done, s.Running}
		}
	}) {
		return nil
	}
	return out
}

type progress struct {
	Done    int `cbor:"1,keyasint"`
	Running int `cbor:"2,keyasint"`
}

// Withdraw implements server.Service.
func (n *Node) Cancel(ctx context.Context, id ids.JobID) server.Answer {
	if s, ok := n.terminalJobs.get(id); ok {
		return server.Answer{Code: 200, Body: s}
	}
	ctx, cancel := context.WithTimeout(ctx, userRequestTimeout)
	defer cancel()
	for ctx.Err() == nil {
		rec, stamp, found, err := n.readJob(ctx, id)
		if err != nil {
			return server.RetryLater(retryDelay)
		}
		if !found {
			return server.Answer{Code: 404}
		}
		if rec.Over() {
			return n.terminalAnswer(ctx, id, snapshotOf(rec, stamp))
		}
		out, err := n.commit(ctx, ledger.CancelChange(id, stamp, rand.Uint64(), *rec, n.valueBytes()))
		if err != nil {
			return server.RetryLater(retryDelay)
		}
		if out.Refused {
			return server.RetryLater(refusedLater)
		}
		if out.Applied {
			return n.terminalAnswer(ctx, id, jobSnapshot{Status: wire.StatusCancelled, Tasks: rec.Tasks, revision: out.Revision})
		}
	}
	return server.RetryLater(retryDelay)
}

// announcement tells the leader about a job at once. The leader's watch finds
// it too, only later. The answer tells whether the leader had taken it in while it
// held its key; see cancelVisible. Older leaders say so once it is in the core's queue.
type jobNotice struct {
	ID       ids.JobID    `cbor:"1,keyasint"`
	Record   []byte       `cbor:"2,keyasint"`
	Revision ids.Revision `cbor:"3,keyasint"`
}

func newJobNotice(id ids.JobID, rec *ledger.Job, stamp ids.Revision) jobNotice {
	return jobNotice{id, wire.Encode(rec), stamp}
}

// announce tells of a submission. Nothing hangs on its being heard.
func (n *Node) notifyLeader(id ids.JobID, rec *ledger.Job, stamp ids.Revision) {
	if t := n.term.Load(); t != nil {
		go t.post(t.ctx, func() { t.core.ObserveJob(n.clock.Now(), id, rec, stamp) })
		return
	}
	if p := n.leaderPeer(); p != nil {
		a := newJobNotice(id, rec, stamp)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if err := p.Call(ctx, "job", a, nil); err != nil {
				n.log.Debug("not announced", "job", id, "err", err)
			}
		}()
	}
}

// Hello implements server.Service.
func (n *Node) Report(ctx context.Context, raw []byte, rep *wire.Report) server.Answer {
	now := n.clock.Now()
	t := n.term.Load()
	leading := t != nil && t.key.MayAnswer()
	if l, ok := n.election.Leader(); !leading && (!ok || l.Name == n.cfg.HostName) {
		return server.Answer{Code: 503}
	}
	n.balancer.reported(rep.Host, now)
	if to, ok := n.redirectTarget(now, leading); ok {
		return server.Answer{Code: 421, Body: wire.Redirect{Leader: to}}
	}
	if leading {
		return n.reportToCore(ctx, t, rep)
	}
	return n.relay.relay(ctx, raw)
}

// leaderWeight is how many workers the leader should have for each that
// another node has: it decides for all of them.
const leaderWeight = 0.5

// balancerWindow is how long a worker counts as one of a node's after a report.
func (n *Node) balancerWindow() time.Duration {
	return ids.Seconds(2 * n.cfg.Settings.Workers.ReportS)
}

// elsewhere tells to which node a worker should go, if this one has too many.
func (n *Node) redirectTarget(now ids.Instant, leading bool) (ids.NodeName, bool) {
	weigh := func(leads bool) float64 {
		if leads {
			return leaderWeight
		}
		return 1
	}
	leader, _ := n.election.Leader()
	var others []nodeLoad
	for _, p := range n.peers {
		// Only nodes that can pass reports on to the same leader.
		if now < ids.Instant(p.lastHeard.Load()).Add(1500*time.Millisecond) && p.leaderRevision.Load() == uint64(leader.Revision) {
			others = append(others, nodeLoad{p.Name, int(p.workers.Load()), weigh(p.Name == leader.Name)})
		}
	}
	return n.balancer.chooseTarget(nodeLoad{n.cfg.HostName, int(n.workerCount.Load()), weigh(leading)}, others, now)
}

// report gives a worker's report to the leader's core.
func (n *Node) reportToCore(ctx context.Context, t *term, rep *wire.Report) server.Answer {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	var orders wire.ReportAnswer
	var ok bool
	if !t.ask(ctx, func() { orders, ok = t.core.Report(n.clock.Now(), rep, false) }) || !ok || !t.key.MayAnswer() {
		return server.Answer{Code: 503}
	}
	return server.Answer{Code: 200, Body: orders}
}

var errNotLeading = errors.New("not leading")

// handle answers the other controllers.
func (n *Node) handle(ctx context.Context, op string, body []byte) (any, error) {
	switch op {
	case "ping":
		var p ping
		if err := mesh.Decode(body, &p); err != nil {
			return nil, err
		}
		n.observePing(p)
		if from := n.peerNamed(p.From); from != nil {
			from.observeVersion(p)
		}
		return n.ping(), nil
	case "state":
		var c stateCall
		if err := mesh.Decode(body, &c); err != nil {
			return nil, err
		}
		status, ans, err := (&directRoute{n}).Do(ctx, c.Method, c.Path, c.Body, time.Duration(c.TimeoutMS)*time.Millisecond)
		if err != nil {
			return stateAnswer{NotSent: statestore.NotSent(err), Unknown: !statestore.NotSent(err)}, nil
		}
		return stateAnswer{Status: status, Body: ans}, nil
	}
	t := n.term.Load()
	if t == nil || !t.key.MayAnswer() {
		return nil, errNotLeading
	}
	switch op {
	case "progress":
		var list []ids.JobID
		if err := mesh.Decode(body, &list); err != nil {
			return nil, err
		}
		ans := t.progress(ctx, list)
		if ans == nil {
			return nil, errNotLeading
		}
		return ans, nil
	case "job":
		var a jobNotice
		if err := mesh.Decode(body, &a); err != nil {
			return nil, err
		}
		rec := new(ledger.Job)
		if err := wire.Decode(a.Record, rec); err != nil {
			return nil, err
		}
		return t.acknowledge(ctx, a.ID, rec, a.Revision), nil
	case "reports":
		var raws [][]byte
		if err := mesh.Decode(body, &raws); err != nil {
			return nil, err
		}
		return n.relayedReports(ctx, t, raws)
	}
	return nil, errors.New("unknown request " + op)
}
