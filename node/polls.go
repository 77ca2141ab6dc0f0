package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/ledger"
	"ospreystile.example/ospreystile/pipeline"
	"ospreystile.example/ospreystile/statestore"
	"ospreystile.example/ospreystile/wire"
)

// Users' polls are answered from a copy of the jobs that is brought up to the
// present first. One call to the state service does that for every poll that
// came before the call was sent, so the cost does not grow with the polls.
// Another node may have told a user something newer just before: that was
// committed before this call was sent, so the call brings it.

// jobReader is what the copy needs of the state service.
type jobReader interface {
	List(ctx context.Context, prefix string, each func(statestore.Entry) error) (ids.Revision, error)
	Watch(ctx context.Context, prefix string, since ids.Revision, hold time.Duration) (ids.Revision, []statestore.Event, error)
}

// known is what the copy holds of a job.
type jobSnapshot struct {
	Status   string
	Tasks    int
	revision ids.Revision
	// orphan: it is withdrawn with a job that it needs and so never had a task,
	// whether or not its own record says so yet.
	orphan bool
}

func (k jobSnapshot) terminal() bool {
	return k.Status == wire.StatusDone || k.Status == wire.StatusCancelled
}

// jobCopy is a node's copy of all jobs. One goroutine alone uses it.
type jobReplica struct {
	read     jobReader
	jobs     map[ids.JobID]jobSnapshot
	graph    *pipeline.Graph
	revision ids.Revision
	loaded   bool
}

// refresh makes the copy at least as new as the moment of the call.
func (c *jobReplica) refresh(ctx context.Context) error {
	if !c.loaded {
		c.jobs, c.graph = map[ids.JobID]jobSnapshot{}, pipeline.New()
		epoch, err := c.read.List(ctx, ledger.JobPrefix, func(e statestore.Entry) error {
			c.put(e.Key, e.Value, e.Revision)
			return nil
		})
		if err != nil {
			return err
		}
		c.revision, c.loaded = epoch, true
	}
	epoch, events, err := c.read.Watch(ctx, ledger.JobPrefix, c.revision, 0)
	if errors.Is(err, statestore.ErrTooOld) {
		c.loaded = false
	}
	if err != nil {
		return err
	}
	for _, ev := range events {
		if ev.Write != "" {
			c.put(ev.Write, ev.Value, ev.Revision)
		}
	}
	c.revision = max(c.revision, epoch)
	return nil
}

// put takes a record in. One that can't be read is still that of a job which
// was accepted: its user must never be told that it is unknown.
func (c *jobReplica) put(key string, raw []byte, stamp ids.Revision) {
	var rec ledger.Job
	if err := wire.Decode(raw, &rec); err != nil || rec.Status == "" {
		rec = ledger.Job{Status: wire.StatusQueued}
	}
	id := ids.JobID(key[len(ledger.JobPrefix):])
	c.jobs[id] = snapshotOf(&rec, stamp)
	c.graph.Put(id, rec.Dependencies())
}

// get tells what is known of a job. One is withdrawn as soon as a job that it
// needs is, whether or not its own record says so yet.
func (c *jobReplica) get(id ids.JobID) (jobSnapshot, bool) {
	k, found := c.jobs[id]
	if found && !k.terminal() && c.graph.Of(id).State == pipeline.Cancelled {
		k.Status, k.orphan = wire.StatusCancelled, true
	}
	return k, found
}

// named tells whether all jobs of a list were accepted, and whether one of them is
// withdrawn.
func (c *jobReplica) dependencyState(list []ids.JobID) (all, withdrawn bool) {
	all = true
	for _, id := range list {
		k, found := c.get(id)
		all = all && found
		withdrawn = withdrawn || k.Status == wire.StatusCancelled
	}
	return all, withdrawn
}

// poll is one question that waits: about a job and, before it is accepted, about
// those that it names.
type statusQuery struct {
	id        ids.JobID
	dependsOn []ids.JobID
	done      chan<- queryAnswer
}

type queryAnswer struct {
	job   jobSnapshot
	found bool
	err   error
	// accepted tells that all named jobs were, doomed that one is withdrawn.
	accepted, dependencyCancelled bool
	progress
}

// polls answers questions about jobs, round by round.
type statusReader struct {
	replica jobReplica
	// gap is the least time between two calls, so that all nodes together
	// leave the state service to those who change something.
	gap time.Duration
	// progress asks the leader how far jobs are.
	progress func(ctx context.Context, list []ids.JobID) []progress

	mu      sync.Mutex
	waiting []statusQuery
	wake    chan struct{}
}

// maxWaitingQueries bounds the questions that wait.
const maxWaitingQueries = 512

var errBusy = errors.New("too many questions wait")

func newStatusReader(read jobReader, gap time.Duration, ask func(context.Context, []ids.JobID) []progress) *statusReader {
	return &statusReader{replica: jobReplica{read: read}, gap: gap, progress: ask, wake: make(chan struct{}, 1)}
}

// ask waits for the answer to one question.
func (p *statusReader) ask(ctx context.Context, id ids.JobID, needs []ids.JobID) queryAnswer {
	done := make(chan queryAnswer, 1)
	p.mu.Lock()
	if len(p.waiting) >= maxWaitingQueries {
		p.mu.Unlock()
		return queryAnswer{err: errBusy}
	}
	p.waiting = append(p.waiting, statusQuery{id, needs, done})
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	select {
	case a := <-done:
		// Both may be ready at once after this process stood still. What was
		// true before is then older than what others may have told since.
		if d, ok := ctx.Deadline(); ok && time.Now().After(d) {
			return queryAnswer{err: context.DeadlineExceeded}
		}
		return a
	case <-ctx.Done():
		return queryAnswer{err: ctx.Err()}
	}
}

// run answers until the context ends. One call is under way at a time; what
// comes meanwhile waits for the next.
func (p *statusReader) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		}
		p.mu.Lock()
		round := p.waiting
		p.waiting = nil
		p.mu.Unlock()
		if len(round) == 0 {
			continue
		}
		p.round(ctx, round)
		if !ids.Pause(ctx, p.gap) {
			return ctx.Err()
		}
	}
}

func (p *statusReader) round(ctx context.Context, round []statusQuery) {
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := p.replica.refresh(call); err != nil {
		for _, q := range round {
			q.done <- queryAnswer{err: err}
		}
		return
	}
	var open []statusQuery
	var list []ids.JobID
	var answers []queryAnswer
	for _, q := range round {
		k, found := p.replica.get(q.id)
		a := queryAnswer{job: k, found: found}
		a.accepted, a.dependencyCancelled = p.replica.dependencyState(q.dependsOn)
		if !found || k.terminal() {
			q.done <- a
			continue
		}
		open, list, answers = append(open, q), append(list, q.id), append(answers, a)
	}
	if len(open) == 0 {
		return
	}
	// The leader may be slow to answer; the next round need not wait for it.
	go func() {
		far := p.progress(ctx, list)
		for i, q := range open {
			if i < len(far) {
				answers[i].progress = far[i]
			}
			q.done <- answers[i]
		}
	}()
}
