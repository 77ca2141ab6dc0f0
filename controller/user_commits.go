package controller

import (
	"context"

	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/records/commit"
)

// maxQueuedCommits bounds the changes that wait before submissions are refused.
const maxQueuedCommits = 128

// userCommitter commits the changes that users ask for. Its committer has no fence: any
// controller may write jobs' records.
type userCommitter struct{ committer *commit.Committer }

// run commits until the context ends.
func (c *userCommitter) run(ctx context.Context) error { return c.committer.Run(ctx) }

// overloaded tells whether too many changes wait.
func (c *userCommitter) overloaded() bool { return c.committer.QueueLength() >= maxQueuedCommits }

// commit brings a change to its result. If the result is not resolved, the user must ask again.
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
