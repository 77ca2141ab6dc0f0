package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// statusQuery is one question that waits: about a job and, before it is accepted, about
// those that it depends on.
type statusQuery struct {
	id        ids.JobID
	dependsOn []ids.JobID
	done      chan<- queryAnswer
}

// queryAnswer is the answer to a statusQuery.
type queryAnswer struct {
	job   jobSnapshot
	found bool
	err   error
	// accepted tells that all named jobs were, and dependencyCancelled that one of
	// them is cancelled.
	accepted, dependencyCancelled bool
	progress                      peerapi.JobProgress
}

// statusReader answers questions about jobs from a replica that is brought up to the
// present first. One call to the state service does that for every question that came
// before the call was sent, so the cost does not grow with the questions. Another node may
// have told a user something newer just before: that was committed before this call was
// sent, so the call brings it.
type statusReader struct {
	replica jobReplica
	// gap is the least time between two calls, so that all nodes together
	// leave the state service to those who change something.
	gap time.Duration
	// progress asks the leader how far jobs are.
	progress func(ctx context.Context, list []ids.JobID) []peerapi.JobProgress

	mu      sync.Mutex
	waiting []statusQuery
	wake    chan struct{}
}

// maxWaitingQueries bounds the questions that wait.
const maxWaitingQueries = 512

// errBusy refuses a question when too many wait.
var errBusy = errors.New("too many questions wait")

// newStatusReader makes a reader whose calls are at least gap apart.
func newStatusReader(read jobReader, gap time.Duration, ask func(context.Context, []ids.JobID) []peerapi.JobProgress) *statusReader {
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
		// Both may be ready at once after this process was paused. What was
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
		if !monotonic.Sleep(ctx, p.gap) {
			return ctx.Err()
		}
	}
}

// round answers all questions of one round.
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
