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
	// maxBatchSize is the maximum number of heartbeats in a batch, and maxBatchesInFlight the
	// maximum number of batches in flight.
	maxBatchSize       = 48
	maxBatchesInFlight = 4
	// relayTimeout bounds the time that a heartbeat takes at the follower, and the time that it
	// takes at the leader. Workers wait 4 s for the response.
	relayTimeout = 2500 * time.Millisecond
	// minHeartbeatQueueCapacity is the minimum capacity of the queue of heartbeats. The capacity
	// on a larger controller is its number of sockets. Each queued heartbeat holds a socket, so no
	// heartbeat that has a connection is refused when all workers reconnect simultaneously.
	minHeartbeatQueueCapacity = 1000
)

// relayedHeartbeat represents a heartbeat that waits for the leader's answer.
type relayedHeartbeat struct {
	encoded []byte
	// reply has a buffer of one, so sending the response never blocks.
	reply chan<- server.Response
}

// heartbeatRelay forwards heartbeats to the leader, so that the sockets of all controllers serve
// workers. It sends heartbeats in batches. Each heartbeat waits for the leader's answer, since only the
// leader renews the leases of workers. The method run owns the goroutines that send batches.
type heartbeatRelay struct {
	leaderClient *leaderClient
	log          *slog.Logger
	// queue holds the heartbeats that are not in a batch yet.
	queue *workqueue.Queue[relayedHeartbeat]
}

// newHeartbeatRelay returns the relay of a controller that may open the given number of sockets.
func newHeartbeatRelay(client *leaderClient, sockets int, log *slog.Logger) *heartbeatRelay {
	return &heartbeatRelay{leaderClient: client, log: log, queue: workqueue.New[relayedHeartbeat](heartbeatQueueCapacity(sockets))}
}

// heartbeatQueueCapacity returns how many heartbeats may be queued on a controller that may open the
// given number of sockets.
func heartbeatQueueCapacity(sockets int) int { return max(minHeartbeatQueueCapacity, sockets) }

// relay forwards a heartbeat to the leader and waits for its answer. It responds with 503 immediately if
// the queue is full, and also if the leader does not answer within relayTimeout.
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

// run sends batches until the context ends. It returns after the batches in flight have ended.
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

// callLeader returns the leader's answers to a batch, or nil if the leader does not answer in time.
func (r *heartbeatRelay) callLeader(ctx context.Context, batch []relayedHeartbeat) []peerapi.HeartbeatAnswer {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	p := r.leaderClient.peer()
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
