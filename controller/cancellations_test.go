package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// historyChecker checks that no answer about a job is older than an answer that was given before the
// request was sent.
type historyChecker struct {
	id ids.JobID

	// mu guards newest, which is the rank of the newest status in any answer.
	mu     sync.Mutex
	newest int
}

// check sends a request and checks the answer.
func (h *historyChecker) check(t *testing.T, what string, request func(context.Context) server.Response) {
	t.Helper()
	rank := map[wire.JobState]int{wire.JobQueued: 1, wire.JobCancelled: 2}
	h.mu.Lock()
	before := h.newest
	h.mu.Unlock()
	answer := request(t.Context())
	status, _ := answer.Body.(wire.JobStatus)
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer.Status == 503 {
		return
	}
	if now := rank[status.Status]; now < before {
		t.Errorf("%s %s: answer %+v is older than status rank %d", h.id, what, answer, before)
	} else {
		h.newest = max(h.newest, now)
	}
}

// checkRepeatedly submits a job at one controller and queries it repeatedly, before and after the given
// requests.
func (h *historyChecker) checkRepeatedly(t *testing.T, c *Controller, requests ...func(context.Context) server.Response) {
	t.Helper()
	const repetitions = 5
	submit := func(ctx context.Context) server.Response { return c.service.Submit(ctx, h.id, testSpec()) }
	query := func(ctx context.Context) server.Response { return c.service.Status(ctx, h.id) }
	h.check(t, "submitted", submit)
	for range repetitions {
		h.check(t, "queried", query)
	}
	for _, request := range requests {
		h.check(t, "cancelled", request)
	}
	for range repetitions {
		h.check(t, "queried", query)
		h.check(t, "submitted again", submit)
	}
}

// The key-value store executes a transaction and its response is lost, while other controllers read the
// new record and write it again. No later request may be answered with an older status, by any
// controller, including the one that waited for the lost response.
func TestStatusNeverGoesBackAfterLostResponses(t *testing.T) {
	const rounds, cancelledRank = 40, 2
	store := newTestStore(t)
	leading := startController(t, "n-0", store.Address())
	address := startLeading(t, leading)
	controllers := []*Controller{leading, startFollower(t, store.Address(), leading, address), startFollower(t, store.Address(), leading, address)}
	for round := range rounds {
		history := &historyChecker{id: ids.JobID(fmt.Sprintf("job-%d", round))}
		canceller := controllers[round%3]
		cancel := func(ctx context.Context) server.Response { return canceller.service.Cancel(ctx, history.id) }
		store.LoseResponses(round % 4)
		var users sync.WaitGroup
		for _, c := range controllers {
			users.Go(func() {
				if c == canceller {
					history.checkRepeatedly(t, c, cancel)
				} else {
					history.checkRepeatedly(t, c)
				}
			})
		}
		users.Wait()
		history.check(t, "cancelled again", cancel)
		if history.newest != cancelledRank {
			t.Errorf("%s: newest status rank %d, want cancelled", history.id, history.newest)
		}
	}
}
