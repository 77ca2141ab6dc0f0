package controller

import (
	"context"
	"sync"
	"time"

	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// relayedReport is one report on its way to the leader.
type relayedReport struct {
	raw  []byte
	done chan<- server.Response
}

// reportRelay passes workers' reports on to the leader. Every node takes reports, so that
// one node's sockets and processor need not do for all workers. A follower sends them in
// batches, and each answer waits for the leader's: it alone decides, and nobody else
// renews a worker's lease.
type reportRelay struct {
	n *Controller

	mu      sync.Mutex
	waiting []relayedReport
	wake    chan struct{}
}

const (
	// maxBatch bounds the reports in one batch, and batches how many are on
	// their way at once.
	maxBatch           = 48
	maxBatchesInFlight = 4
	// relayTimeout is how long a report may take here, of the 4 s that workers
	// wait.
	relayTimeout = 2500 * time.Millisecond
	// minWaitingReports is how many reports may wait on the smallest node. A larger one
	// lets one wait for each socket: each holds one, so a fleet that comes back all at once
	// is not refused for a limit below its connections.
	minWaitingReports = 1000
)

// maxWaitingReports bounds the reports that wait on a node with so many sockets.
func maxWaitingReports(sockets int) int { return max(minWaitingReports, sockets) }

// relayedAnswer is the leader's answer to one report of a batch.
type relayedAnswer struct {
	OK     bool                   `cbor:"1,keyasint"`
	Orders wire.HeartbeatResponse `cbor:"2,keyasint"`
}

// relay hands a report to the leader and waits for the answer.
func (e *reportRelay) relay(ctx context.Context, raw []byte) server.Response {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	done := make(chan server.Response, 1)
	e.mu.Lock()
	if len(e.waiting) >= maxWaitingReports(e.n.cfg.Settings.Resources.Sockets) {
		e.mu.Unlock()
		return server.Response{Status: 503}
	}
	e.waiting = append(e.waiting, relayedReport{raw, done})
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return server.Response{Status: 503}
	}
}

// take removes the next batch from the queue.
func (e *reportRelay) take() []relayedReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := min(len(e.waiting), maxBatch)
	batch := e.waiting[:n:n]
	e.waiting = e.waiting[n:]
	return batch
}

// run sends batches until the context ends.
func (e *reportRelay) run(ctx context.Context) error {
	slots := make(chan struct{}, maxBatchesInFlight)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.wake:
		}
		for batch := e.take(); len(batch) > 0; batch = e.take() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case slots <- struct{}{}:
			}
			go func() {
				defer func() { <-slots }()
				e.send(ctx, batch)
			}()
		}
	}
}

// send passes one batch on and answers its reports.
func (e *reportRelay) send(ctx context.Context, batch []relayedReport) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var answers []relayedAnswer
	if p := e.n.leaderPeer(); p != nil {
		raws := make([][]byte, len(batch))
		for i := range batch {
			raws[i] = batch[i].raw
		}
		if err := p.Call(ctx, opReports, raws, &answers); err != nil {
			e.n.log.Debug("heartbeat relay failed", "count", len(batch), "err", err)
		}
	}
	for i, b := range batch {
		a := server.Response{Status: 503}
		if i < len(answers) && answers[i].OK {
			a = server.Response{Status: 200, Body: answers[i].Orders}
		}
		b.done <- a
	}
}

// relayedReports gives a batch from a follower to the leader's core.
func (n *Controller) relayedReports(ctx context.Context, t *term, raws [][]byte) ([]relayedAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answers := make([]relayedAnswer, len(raws))
	reps := make([]*wire.Heartbeat, len(raws))
	for i, raw := range raws {
		rep := new(wire.Heartbeat)
		if err := wire.Decode(raw, rep); err == nil && rep.Machine != "" && rep.Incarnation != 0 {
			reps[i] = rep
		}
	}
	if !t.askReports(ctx, func() {
		for i, rep := range reps {
			if rep != nil {
				answers[i].Orders, answers[i].OK = t.core.Heartbeat(n.clock.Now(), rep)
			}
		}
	}) {
		return nil, errNotLeading
	}
	return answers, nil
}
