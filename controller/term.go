package controller

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/scheduler"
)

// term is the work of one time of leading. Its loop alone touches the core;
// everyone else posts events to it.
type term struct {
	n         *Controller
	key       *election.Term
	core      *scheduler.Core
	events    chan func()
	committer *commit.Committer
	cloud     *cloud.Client
	// observed is the revision up to which the core has taken in the jobs' records;
	// only the loop uses it. applied is the same once all cancellations up to it may
	// be told to users.
	observed ids.Revision
	applied  atomic.Uint64
	// returns are the machines to give back.
	returns returnQueue
	ctx     context.Context
	tasks   *errgroup.Group
}

// post hands an event to the loop. It waits while the loop is behind: that
// holds back whoever posts. False means that the term is over.
func (t *term) post(ctx context.Context, f func()) bool {
	select {
	case t.events <- f:
		return true
	case <-t.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// ask runs f in the loop and waits for it.
func (t *term) ask(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	if !t.post(ctx, func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-t.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// newTerm prepares the work of one term.
func newTerm(n *Controller, key *election.Term) *term {
	fence := &kv.Precondition{Key: records.LeaderKey, Revision: key.Revision}
	return &term{n: n, key: key, events: make(chan func(), 64), cloud: n.cloud.AuthorizedBy(key.MayAnswerHeartbeats),
		returns:   returnQueue{wake: make(chan struct{}, 1)},
		committer: commit.New(n.leaderState, n.limits(), fence, n.log)}
}

// lead does the work of one term until its context ends.
func (n *Controller) lead(ctx context.Context, key *election.Term) error {
	t := newTerm(n, key)
	var g *errgroup.Group
	g, t.ctx = errgroup.WithContext(ctx)
	t.tasks = g
	since, err := t.load()
	if err != nil {
		return fmt.Errorf("taking over: %w", err)
	}
	t.observed = since
	n.term.Store(t)
	if n.upgrade.done() { // perhaps only since the records were read
		t.core.EnableSplitRecords(n.clock.Now())
	}
	defer n.term.CompareAndSwap(t, nil)
	n.log.Info("records loaded", "leader_revision", key.Revision, "summary", t.core.Summary())
	g.Go(func() error { return t.committer.Run(t.ctx) })
	g.Go(func() error { return t.watchJobs(since) })
	g.Go(t.listMachines)
	g.Go(t.returnMachines)
	g.Go(t.awaitPeers)
	g.Go(t.loop)
	err = g.Wait()
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// stepInterval is how often the core looks at the time when nothing happens.
const stepInterval = 200 * time.Millisecond

// loop owns the core.
func (t *term) loop() error {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	lastLog := t.n.clock.Now()
	for {
		select {
		case <-t.ctx.Done():
			return t.ctx.Err()
		case <-tick.C:
		case f := <-t.events:
			f()
			// Steps have their turn however many events come.
			for n := 0; n < cap(t.events); n++ {
				select {
				case f := <-t.events:
					f()
					continue
				default:
				}
				break
			}
		}
		if err := t.core.RecordsError(); err != nil {
			return err
		}
		if t.core.Superseded() {
			return election.ErrSuperseded
		}
		if !t.key.MayAnswerHeartbeats() {
			continue
		}
		t.core.ObserveConnectivity(t.view())
		t.dispatch(t.core.Step(t.n.clock.Now()))
		t.publishApplied()
		if now := t.n.clock.Now(); now > lastLog.Add(5*time.Second) {
			lastLog = now
			t.n.log.Info("status summary", "summary", t.core.Summary())
		}
	}
}

// publishApplied lets all cancellations that the core has taken in be told to users,
// once no earlier leader stands in the way. Until then each of them is asked for on its
// own; see acknowledge.
func (t *term) publishApplied() {
	if observed := uint64(t.observed); observed > t.applied.Load() && t.core.PreviousLeadersHarmless(t.n.clock.Now()) {
		t.applied.Store(observed)
	}
}

// directCallTimeout is how long a call to a worker may take.
const directCallTimeout = 2 * time.Second

// dispatch sends the core's decisions on their way. It never waits.
func (t *term) dispatch(e scheduler.Decisions) {
	for _, change := range e.RecordChanges {
		t.commit(change)
	}
	for _, host := range e.SendCommands {
		t.callWorker(host)
	}
	for _, host := range e.RequestHeartbeats {
		t.requestReport(host)
	}
	for _, id := range e.RereadJobs {
		t.tasks.Go(func() error { t.refresh(id); return nil })
	}
	for _, rental := range e.Provision {
		t.tasks.Go(func() error { t.rent(rental); return nil })
	}
	if len(e.Terminate) > 0 {
		t.returns.add(e.Terminate)
	}
	t.logZoneEvents(e.ZoneEvents)
	for _, address := range e.ForgetAddresses {
		t.n.workers.Forget(address)
	}
}

// commit submits one change. If its outcome cannot be known the term ends, and the next
// one reads the records again.
func (t *term) commit(change records.Change) {
	t.committer.Submit(change, time.Time{}, func(result records.CommitResult) {
		switch {
		case result.Resolved():
			t.post(t.ctx, func() { t.core.CommitResult(t.n.clock.Now(), result) })
		case t.ctx.Err() == nil:
			t.n.log.Warn("commit failed", "err", result.Err)
			t.key.End(result.Err)
		}
	})
}

// callWorker sends a worker its commands.
func (t *term) callWorker(host ids.MachineID) {
	command, address, ok := t.core.TakeCommands(t.n.clock.Now(), host)
	if !ok {
		return
	}
	t.tasks.Go(func() error {
		report, err := t.n.workers.SendCommands(t.ctx, address, command, directCallTimeout)
		if err != nil {
			t.n.log.Debug("worker call failed", "machine", host, "err", err)
			report = nil
		}
		t.post(t.ctx, func() { t.core.CommandsResult(t.n.clock.Now(), host, report) })
		return nil
	})
}

// requestReport asks a worker for its report.
func (t *term) requestReport(host ids.MachineID) {
	address := t.core.Endpoint(host)
	t.tasks.Go(func() error {
		report, err := t.n.workers.RequestHeartbeat(t.ctx, address, directCallTimeout)
		if err != nil {
			report = nil
		}
		t.post(t.ctx, func() { t.core.HeartbeatRequestResult(t.n.clock.Now(), host, report) })
		return nil
	})
}
