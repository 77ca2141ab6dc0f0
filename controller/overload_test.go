package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/server"
)

// overload fills a controller's queues of changes and queries. The queries wait until the context ends.
func overload(ctx context.Context, t *testing.T, c *Controller) {
	t.Helper()
	for range maxQueuedCommits { // no goroutine commits the changes
		c.commits.committer.Submit(records.Change{}, time.Time{}, func(records.CommitResult) {})
	}
	for range maxQueuedQueries { // no goroutine answers the queries
		go c.statusReader.query(ctx, "job-1", nil)
	}
	synctest.Wait()
}

// A request that arrives while a queue is full must be refused immediately, with a delay after which the
// user should retry. It must not wait for its deadline first.
func TestOverloadedControllerRefusesImmediately(t *testing.T) {
	const id ids.JobID = "job-2"
	for name, request := range map[string]func(ctx context.Context, c *Controller) server.Response{
		"submission":   func(ctx context.Context, c *Controller) server.Response { return c.service.Submit(ctx, id, testSpec()) },
		"status query": func(ctx context.Context, c *Controller) server.Response { return c.service.Status(ctx, id) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestController(t, testConfig("127.0.0.1:1"))
				setTestCatalog(c)
				waiting, stop := context.WithCancel(t.Context())
				overload(waiting, t, c)
				began := time.Now()
				if answer := request(t.Context(), c); answer.Status != 503 || answer.RetryAfter <= 0 {
					t.Errorf("answer %+v", answer)
				}
				if waited := time.Since(began); waited > 0 {
					t.Errorf("refused after %v", waited)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
