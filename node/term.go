package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"ospreystile.example/ospreystile/cloud"
	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/ledger"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/statestore"
	"ospreystile.example/ospreystile/wire"
)

// term is the work of one time of leading. Its loop alone touches the core;
// everyone else posts events to it.
type term struct {
	n      *Node
	key    *election.Term
	core   *scheduler.Core
	events chan func()
	ledger *ledger.Committer
	cloud  *cloud.Client
	// applied is the revision up to which the core has taken in the jobs' records.
	applied atomic.Uint64
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

const (
	roundInterval = 50 * time.Millisecond
	// roundCostPerMachine is what looking at one machine costs a whole core, three times
	// over: passes take a third of the processor at most.
	roundCostPerMachine = 300 * time.Nanosecond
	// lazyWriteDelay is how long the record of a task that ended may wait. Were its
	// machine lost together with the leader, the task would run again.
	lazyWriteDelay = 3 * time.Second
	// maxDirectCalls bounds the calls to workers under way.
	maxDirectCalls = 64
)

func (n *Node) options(stamp ids.Revision, predecessor bool) scheduler.Options {
	s, op := &n.cfg.Settings, n.op
	// What an earlier leader may do follows from its version.
	grace := op.Grace()
	if n.upgrade.done() {
		grace = min(grace, n.isolatedBound())
	}
	o := scheduler.Options{
		Revision:            stamp,
		Predecessor:         predecessor,
		Report:              ids.Seconds(s.Workers.ReportS),
		Lease:               ids.Seconds(s.Workers.LeaseS),
		Cancel:              ids.Seconds(s.Workers.CancelS),
		Grace:               grace,
		ListLag:             ids.Seconds(s.Cloud.ListLagS),
		TxnOps:              n.limits().Ops,
		ValueBytes:          n.valueBytes(),
		SplitRecords:        n.upgrade.done(),
		SliceTasks:          op.Quota.SliceTasks,
		MaxSkippedJobs:      op.Quota.PassOver,
		ReclaimHold:         ids.Seconds(op.Quota.ReclaimHoldS),
		Idle:                ids.Seconds(op.Fleet.IdleS),
		SpotIdleFactor:      op.Fleet.SpotIdle,
		HeadroomIdle:        ids.Seconds(op.Fleet.HeadroomIdle),
		Headroom:            op.Fleet.Headroom,
		BootFactor:          op.Fleet.BootFactor,
		CapacityBackoff:     ids.Seconds(op.Fleet.CapacityBack),
		MaxMachines:         op.Fleet.MaxMachines,
		LatencySensitive:    map[string]time.Duration{},
		ReserveAfter:        ids.Seconds(op.Quota.KeepAfterS),
		ReserveFor:          ids.Seconds(op.Quota.KeepForS),
		RoundInterval:       roundInterval,
		RoundCostPerMachine: time.Duration(float64(roundCostPerMachine) / s.Resources.CPUShare),
		LazyWriteDelay:      lazyWriteDelay,
		WriteRate:           0.7 * s.State.Planned().WriteRPS,
		MaxDirectCalls:      min(maxDirectCalls, max(8, s.Resources.Sockets/16)),
	}
	for _, t := range s.Teams {
		nominal := quota.Amount{CPUs: t.CPUs, GPUs: t.GPUs}
		lend := nominal
		if l, ok := op.Quota.LendingLimits[t.Name]; ok {
			lend.CPUs = min(l, lend.CPUs)
		}
		o.Teams = append(o.Teams, quota.Team{Name: t.Name, Nominal: nominal,
			Limit: limitOf(t), Lend: lend})
	}
	for _, a := range s.Objectives {
		// No machine boots within a few seconds, whatever the catalog says.
		if a.Kind == "wait" && a.WithinS <= 10 {
			o.LatencySensitive[a.Class] = ids.Seconds(a.WithinS)
		}
	}
	return o
}

// limitOf is the most that a team's tasks may use at any time.
func limitOf(t config.Team) quota.Amount {
	if !t.Limited() {
		return quota.Unlimited
	}
	return quota.Amount{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
}

func newTerm(n *Node, key *election.Term) *term {
	fence := &statestore.Guard{Key: ledger.LeaderKey, Revision: key.Revision}
	return &term{n: n, key: key, events: make(chan func(), 64), cloud: n.cloud.While(key.MayAnswer),
		returns: returnQueue{wake: make(chan struct{}, 1)},
		ledger:  ledger.NewCommitter(n.leaderState, n.limits(), fence, n.log)}
}

// lead does the work of one term until its context ends.
func (n *Node) lead(ctx context.Context, key *election.Term) error {
	t := newTerm(n, key)
	var g *errgroup.Group
	g, t.ctx = errgroup.WithContext(ctx)
	t.tasks = g
	since, err := t.load()
	if err != nil {
		return fmt.Errorf("taking over: %w", err)
	}
	t.applied.Store(uint64(since))
	n.term.Store(t)
	if n.upgrade.done() { // perhaps only since the records were read
		t.core.EnableSplitRecords(n.clock.Now())
	}
	defer n.term.CompareAndSwap(t, nil)
	n.log.Info("records read", "stamp", key.Revision, "state", t.core.Summary())
	g.Go(func() error { return t.ledger.Run(t.ctx) })
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

// load reads the records, which nobody else can change any more, and the jobs.
func (t *term) load() (ids.Revision, error) {
	n := t.n
	// The leader's commits are fenced by its stamp from here on, so the
	// admissions stand still; jobs go on changing and are watched.
	types := n.catalog.Load()
	for types == nil {
		if !ids.Pause(t.ctx, 100*time.Millisecond) {
			return 0, t.ctx.Err()
		}
		types = n.catalog.Load()
	}
	if err := n.readUpgrade(t.ctx, n.leaderState); err != nil {
		return 0, err
	}
	_, before, err := n.leaderState.Get(t.ctx, ledger.FleetKey)
	if err != nil {
		return 0, err
	}
	if !before {
		out, err := n.leaderState.Commit(t.ctx, statestore.Txn{
			Guards: []statestore.Guard{{Key: ledger.LeaderKey, Revision: t.key.Revision}},
			Apply:  []statestore.Op{{Write: ledger.FleetKey, Value: map[string]uint64{"first": uint64(t.key.Revision)}}},
		})
		if err != nil {
			return 0, err
		}
		if !out.Applied {
			return 0, ledger.ErrFenced
		}
	}
	opt := n.options(t.key.Revision, before)
	opt.WallClockMS = time.Now().UnixMilli()
	t.core = scheduler.New(opt, *types)
	since, err := n.leaderState.List(t.ctx, ledger.JobPrefix, func(e statestore.Entry) error {
		var rec ledger.Job
		if err := wire.Decode(e.Value, &rec); err != nil {
			n.unreadable(e.Key, err)
			t.core.LoadUnreadableJob(ids.JobID(e.Key[len(ledger.JobPrefix):]))
			return nil
		}
		t.core.LoadJob(ids.JobID(e.Key[len(ledger.JobPrefix):]), &rec, e.Revision)
		return nil
	})
	if err != nil {
		return 0, err
	}
	_, err = n.leaderState.List(t.ctx, ledger.AdmissionPrefix, func(e statestore.Entry) error {
		id, num, ok := ledger.ParseAdmissionKey(e.Key)
		if !ok {
			return fmt.Errorf("record %s: malformed key", e.Key)
		}
		var rec ledger.Slice
		err := wire.Decode(e.Value, &rec)
		if err == nil {
			err = t.core.LoadSlice(id, num, &rec, e.Revision)
		}
		if err != nil {
			n.unreadable(e.Key, err)
			t.core.Suspend(id)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	t.core.Begin(n.clock.Now())
	return since, nil
}

// unreadable reports a record that makes no sense. It is never taken for absent.
// Ending the term for a job's record would end every later term too, and forget all
// other jobs.
func (n *Node) unreadable(key string, err error) {
	n.log.Error("record unreadable, what it is about waits", "key", key, "err", err)
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
		if err := t.core.Broken(); err != nil {
			return err
		}
		if t.core.Deposed() {
			return election.ErrReplaced
		}
		if !t.key.MayAnswer() {
			continue
		}
		t.dispatch(t.core.Step(t.n.clock.Now()))
		if now := t.n.clock.Now(); now > lastLog.Add(5*time.Second) {
			lastLog = now
			t.n.log.Info("state of things", "sum", t.core.Summary())
		}
	}
}

// dispatch sends the core's decisions on their way. It never waits.
func (t *term) dispatch(e scheduler.Effects) {
	for _, ch := range e.Changes {
		t.ledger.Submit(ch, time.Time{}, func(o ledger.Outcome, err error) {
			if err != nil {
				if t.ctx.Err() == nil {
					t.n.log.Warn("change not committed", "err", err)
					t.key.End(err)
				}
				return
			}
			t.post(t.ctx, func() { t.core.ChangeResult(t.n.clock.Now(), o) })
		})
	}
	for _, h := range e.Direct {
		d, addr, ok := t.core.TakeDirect(t.n.clock.Now(), h)
		if !ok {
			continue
		}
		t.tasks.Go(func() error {
			rep, err := t.n.workers.Do(t.ctx, addr, d, 2*time.Second)
			if err != nil {
				t.n.log.Debug("direct command unanswered", "host", h, "err", err)
				rep = nil
			}
			t.post(t.ctx, func() { t.core.DirectResult(t.n.clock.Now(), h, rep) })
			return nil
		})
	}
	for _, h := range e.Show {
		addr := t.core.Endpoint(h)
		t.tasks.Go(func() error {
			rep, err := t.n.workers.Show(t.ctx, addr, 2*time.Second)
			if err != nil {
				rep = nil
			}
			t.post(t.ctx, func() { t.core.ShowResult(t.n.clock.Now(), h, rep) })
			return nil
		})
	}
	for _, id := range e.Refresh {
		t.tasks.Go(func() error { t.refresh(id); return nil })
	}
	for _, r := range e.Rent {
		t.tasks.Go(func() error { t.rent(r); return nil })
	}
	if len(e.Return) > 0 {
		t.returns.add(e.Return)
	}
	for _, addr := range e.Forget {
		t.n.workers.Forget(addr)
	}
}

// refresh reads a job's record again.
func (t *term) refresh(id ids.JobID) {
	for t.ctx.Err() == nil {
		e, found, err := t.n.leaderState.Get(t.ctx, ledger.JobKey(id))
		var rec ledger.Job
		if err == nil && found {
			err = wire.Decode(e.Value, &rec)
		}
		if err == nil {
			if found {
				t.post(t.ctx, func() { t.core.ObserveJob(t.n.clock.Now(), id, &rec, e.Revision) })
			}
			return
		}
		t.n.log.Debug("job not read", "job", id, "err", err)
		ids.Pause(t.ctx, 300*time.Millisecond)
	}
}

// rent brings one rental to its end. Without an answer it is repeated under
// the same name, which rents nothing twice.
func (t *term) rent(r wire.Rental) {
	for t.ctx.Err() == nil {
		hosts, err := t.cloud.Rent(t.ctx, r)
		switch {
		case err == nil, errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrRefused):
			t.n.log.Info("rental", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(hosts))
			t.post(t.ctx, func() { t.core.RentResult(t.n.clock.Now(), r, hosts, err == nil) })
			return
		}
		t.n.log.Info("rental unanswered", "booking", r.Request, "err", err)
		ids.Pause(t.ctx, time.Second)
	}
}

// returnQueue collects the machines to give back, so that those that become due
// one by one share a call: rentals need the others.
type returnQueue struct {
	mu    sync.Mutex
	hosts []ids.Host
	wake  chan struct{}
}

func (q *returnQueue) add(hosts []ids.Host) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hosts = append(q.hosts, hosts...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *returnQueue) take() []ids.Host {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.hosts), cloud.MaxReturn)
	part := q.hosts[:n:n]
	q.hosts = q.hosts[n:]
	return part
}

// returnInterval is the least time between two calls that give machines back.
const returnInterval = 400 * time.Millisecond

// returnMachines gives machines back, until the cloud says that they are gone.
func (t *term) returnMachines() error {
	for {
		select {
		case <-t.ctx.Done():
			return t.ctx.Err()
		case <-t.returns.wake:
		}
		for hosts := t.returns.take(); len(hosts) > 0; hosts = t.returns.take() {
			for {
				err := t.cloud.Return(t.ctx, hosts)
				if err == nil {
					break
				}
				t.n.log.Info("return unanswered", "err", err)
				if !ids.Pause(t.ctx, time.Second) {
					return t.ctx.Err()
				}
			}
			t.n.log.Info("returned", "hosts", hosts)
			t.post(t.ctx, func() { t.core.ReturnResult(t.n.clock.Now(), hosts, true) })
			if !ids.Pause(t.ctx, returnInterval) {
				return t.ctx.Err()
			}
		}
	}
}

// watchJobs is the safety net under the peers' announcements.
func (t *term) watchJobs(since ids.Revision) error {
	for {
		epoch, events, err := t.n.leaderState.Watch(t.ctx, ledger.JobPrefix, since, 10*time.Second)
		if errors.Is(err, statestore.ErrTooOld) {
			return fmt.Errorf("watch on jobs: %w", err)
		}
		if err != nil {
			if !ids.Pause(t.ctx, 200*time.Millisecond) {
				return t.ctx.Err()
			}
			continue
		}
		for _, ev := range events {
			if ev.Write == "" {
				continue
			}
			var rec ledger.Job
			if err := wire.Decode(ev.Value, &rec); err != nil {
				t.n.unreadable(ev.Write, err)
				continue
			}
			id := ids.JobID(ev.Write[len(ledger.JobPrefix):])
			t.post(t.ctx, func() { t.core.ObserveJob(t.n.clock.Now(), id, &rec, ev.Revision) })
		}
		since = max(since, epoch)
		upTo := uint64(since)
		t.post(t.ctx, func() { t.applied.Store(upTo) })
	}
}

// awaitPeers waits until all other controllers follow this leader, and tells
// the core.
func (t *term) awaitPeers() error {
	follows := func(p *peer) bool { return p.leaderRevision.Load() >= uint64(t.key.Revision) }
	for _, p := range t.n.peers {
		for !follows(p) {
			if !ids.Pause(t.ctx, 200*time.Millisecond) {
				return t.ctx.Err()
			}
		}
	}
	t.post(t.ctx, func() { t.core.AllFollow(t.n.clock.Now()) })
	return nil
}

// listMachines reads the cloud's list.
func (t *term) listMachines() error {
	for {
		asked := t.n.clock.Now()
		list, err := t.cloud.List(t.ctx)
		if err == nil {
			t.post(t.ctx, func() { t.core.MachineList(t.n.clock.Now(), asked, list) })
		} else {
			t.n.log.Debug("machines not listed", "err", err)
		}
		// Reading the list takes a fifth of the calls at most, however long
		// it is: rentals and returns need the rest.
		pages := float64(1 + len(list)/cloud.PageSize)
		if !ids.Pause(t.ctx, max(2*time.Second, ids.Seconds(5*pages/t.n.cfg.Settings.Cloud.RPS))) {
			return t.ctx.Err()
		}
	}
}
