package controller

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/internal/workqueue"
	"ospreystile.example/ospreystile/server"
)

const (
	// maxBatch bounds the heartbeats in one batch, and maxBatchesInFlight the batches in
	// flight.
	maxBatchSize       = 48
	maxBatchesInFlight = 4
	// relayTimeout is how long a heartbeat may take at the follower and at the leader, of the
	// 4 s that workers wait.
	relayTimeout = 2500 * time.Millisecond
	// minWaitingHeartbeats is how many heartbeats may wait on the smallest controller. On a
	// larger one as many may wait as it has sockets. Each waiting heartbeat holds a socket, so
	// no heartbeat is refused that has a connection when all workers reconnect at once.
	minHeartbeatQueueCapacity = 1000
)

// relayedHeartbeat is one heartbeat that waits for the leader's answer.
type relayedHeartbeat struct {
	encoded []byte
	// reply has a buffer of one.
	reply chan<- server.Response
}

// heartbeatRelay forwards heartbeats to the leader, so that the sockets of all controllers serve
// workers. Heartbeats are sent in batches, and each waits for the leader's answer: only the
// leader renews the leases of workers. The method run owns the goroutines that send batches.
type heartbeatRelay struct {
	leaders *leaderClient
	log     *slog.Logger
	// waiting holds the heartbeats that are in no batch yet.
	queue *workqueue.Queue[relayedHeartbeat]
}

// newHeartbeatRelay makes the relay of a controller that may open a number of sockets.
func newHeartbeatRelay(leaders *leaderClient, sockets int, log *slog.Logger) *heartbeatRelay {
	return &heartbeatRelay{leaders: leaders, log: log, queue: workqueue.New[relayedHeartbeat](heartbeatQueueCapacity(sockets))}
}

// maxWaitingHeartbeats returns how many heartbeats may wait on a controller that may open a number
// of sockets.
func heartbeatQueueCapacity(sockets int) int { return max(minHeartbeatQueueCapacity, sockets) }

// relay forwards a heartbeat to the leader and waits for its answer. It responds with 503 at
// once if too many heartbeats wait, and if there is no answer in time.
func (r *heartbeatRelay) relay(ctx context.Context, encoded []byte) server.Response {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply := make(chan server.Response, 1)
	if !r.queue.Add(relayedHeartbeat{encoded: encoded, reply: reply}) {
		return server.Response{Status: http.StatusServiceUnavailable}
	}
	select {
	case response := <-reply:
		return response
	case <-ctx.Done():
		return server.Response{Status: http.StatusServiceUnavailable}
	}
}

// run sends batches until the context ends, and waits for those in flight.
func (r *heartbeatRelay) run(ctx context.Context) error {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	slots := make(chan struct{}, maxBatchesInFlight)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.queue.Added():
		}
		for batch := r.queue.Take(maxBatchSize); len(batch) > 0; batch = r.queue.Take(maxBatchSize) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case slots <- struct{}{}:
			}
			inFlight.Go(func() {
				defer func() { <-slots }()
				r.send(ctx, batch)
			})
		}
	}
}

// send forwards one batch and answers its heartbeats.
func (r *heartbeatRelay) send(ctx context.Context, batch []relayedHeartbeat) {
	answers := r.callLeader(ctx, batch)
	for i, heartbeat := range batch {
		response := server.Response{Status: http.StatusServiceUnavailable}
		if i < len(answers) && answers[i].OK {
			response = server.Response{Status: http.StatusOK, Body: answers[i].Response}
		}
		heartbeat.reply <- response
	}
}

// callLeader returns the leader's answers to a batch, or none without an answer in time.
func (r *heartbeatRelay) callLeader(ctx context.Context, batch []relayedHeartbeat) []peerapi.HeartbeatAnswer {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	p := r.leaders.peer()
	if p == nil {
		return nil
	}
	encoded := make([][]byte, len(batch))
	for i := range batch {
		encoded[i] = batch[i].encoded
	}
	var answers []peerapi.HeartbeatAnswer
	if err := p.Call(ctx, peerapi.OpHeartbeats, encoded, &answers); err != nil {
		r.log.Debug("heartbeat relay failed", "count", len(batch), "err", err)
		return nil
	}
	return answers
}
