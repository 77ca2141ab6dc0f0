package controller

import (
	"context"

	"ospreystile.example/ospreystile/records"
)

// maxQueuedCommits bounds the changes that wait before submissions are refused.
const maxQueuedCommits = 128

// userCommitter commits the changes that users ask for. Its committer has no fence: any
// controller may write jobs' records.
type userCommitter struct{ committer *records.Committer }

// run commits until the context ends.
func (c *userCommitter) run(ctx context.Context) error { return c.committer.Run(ctx) }

// overloaded tells whether too many changes wait.
func (c *userCommitter) overloaded() bool { return c.committer.QueueLength() >= maxQueuedCommits }

// commit brings a change to a definite result. After an error, which may be the context's, the
// result is not known, and the user must ask again.
func (c *userCommitter) commit(ctx context.Context, change records.Change) (records.CommitResult, error) {
	type resolved struct {
		result records.CommitResult
		err    error
	}
	done := make(chan resolved, 1)
	deadline, _ := ctx.Deadline()
	c.committer.Submit(change, deadline, func(result records.CommitResult, err error) { done <- resolved{result, err} })
	select {
	case r := <-done:
		return r.result, r.err
	case <-ctx.Done():
		return records.CommitResult{}, ctx.Err()
	}
}
