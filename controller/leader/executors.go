package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/scheduler"
)

// executors executes the core's decisions. Only the event loop calls it, and no method blocks. The
// goroutines that it starts end with the context and post their results as events.
type executors struct {
	records     recordWriter
	workers     workerCaller
	jobs        jobReader
	provisioner provisioner
	// terminations terminates machines while the leader holds its lease, and cancelledTerminations
	// those that hold tasks of cancelled jobs. Neither waits for the other.
	terminations, cancelledTerminations *terminator
	log                                 *slog.Logger
}

// execute executes the decisions that need no further query of the core; eventLoop.dispatch executes
// the others.
func (x *executors) execute(ctx context.Context, decisions *scheduler.Decisions) {
	for _, id := range decisions.RereadJobs {
		x.jobs.reread(ctx, id)
	}
	for _, request := range decisions.Provision {
		x.provisioner.provision(ctx, request)
	}
	x.terminations.add(decisions.Terminate)
	x.cancelledTerminations.add(decisions.TerminateCancelled)
	for _, e := range decisions.ZoneEvents {
		x.log.Info("zone condition changed", "zone", e.Zone, "from", e.From, "to", e.To, "step", e.Step, "reason", e.Reason)
	}
	for _, address := range decisions.ForgetAddresses {
		x.workers.client.Forget(address)
	}
}

// recordWriter commits changes of records. The commits are fenced by the revision of the leader key.
type recordWriter struct {
	committer *commit.Committer
	term      *election.Term
	mailbox   *mailbox
	log       *slog.Logger
}

// write queues one change. If the change is not resolved, because it is fenced or its result is
// indeterminate, the term ends, and the next leader reads the records again.
func (w *recordWriter) write(ctx context.Context, change records.Change) {
	w.committer.Submit(change, time.Time{}, func(result records.CommitResult) {
		switch {
		case result.Resolved():
			w.mailbox.post(ctx, commitResolved{result})
		case ctx.Err() == nil:
			w.log.Warn("commit failed", "err", result.Err)
			w.term.End(result.Err)
		}
	})
}
