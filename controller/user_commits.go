package controller

import (
	"context"

	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/records/commit"
)

// maxQueuedCommits bounds the changes that wait before submissions are refused.
const maxQueuedCommits = 128

// userCommitter commits the changes of users' requests. Its committer has no fence, because every
// controller may write jobs' records.
type userCommitter struct{ committer *commit.Committer }

// run commits until the context ends.
func (c *userCommitter) run(ctx context.Context) error { return c.committer.Run(ctx) }

// overloaded reports whether too many changes are queued.
func (c *userCommitter) overloaded() bool { return c.committer.QueueLength() >= maxQueuedCommits }

// commit commits a change and returns its result. If the result is not resolved, the user must
// retry.
func (c *userCommitter) commit(ctx context.Context, change records.Change) records.CommitResult {
	results := make(chan records.CommitResult, 1)
	deadline, _ := ctx.Deadline()
	c.committer.Submit(change, deadline, func(result records.CommitResult) { results <- result })
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		return records.CommitResult{Change: change, Err: ctx.Err()}
	}
}
