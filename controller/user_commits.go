package controller

import (
	"context"

	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/records/commit"
)

// maxQueuedCommits is the number of queued changes at which submissions are refused.
const maxQueuedCommits = 128

// userCommitter commits the changes that users request. Its committer has no fence, since every
// controller may write the records of jobs.
type userCommitter struct{ committer *commit.Committer }

// run commits changes until the context ends.
func (c *userCommitter) run(ctx context.Context) error { return c.committer.Run(ctx) }

// overloaded reports whether too many changes are queued.
func (c *userCommitter) overloaded() bool { return c.committer.QueueLength() >= maxQueuedCommits }

// commit commits a change and returns the result. If the result is not resolved, the user must retry the
// request.
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
