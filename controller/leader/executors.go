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

// executors carry out the core's decisions. They belong to the event loop, which calls them;
// none of them waits. What they start ends with the context, and reports back as events.
type executors struct {
	records      recordWriter
	workers      workerCaller
	jobs         jobReader
	provisioner  provisioner
	terminations *terminator
	log          *slog.Logger
}

// execute carries out the decisions that need nothing more of the core.
func (x *executors) execute(ctx context.Context, decisions *scheduler.Decisions) {
	for _, id := range decisions.RereadJobs {
		x.jobs.reread(ctx, id)
	}
	for _, request := range decisions.Provision {
		x.provisioner.provision(ctx, request)
	}
	if len(decisions.Terminate) > 0 {
		x.terminations.add(decisions.Terminate)
	}
	for _, e := range decisions.ZoneEvents {
		x.log.Info("zone condition changed", "zone", e.Zone, "from", e.From, "to", e.To, "step", e.Step, "reason", e.Reason)
	}
	for _, address := range decisions.ForgetAddresses {
		x.workers.client.Forget(address)
	}
}

// recordWriter commits changes of records, fenced by the leader's key.
type recordWriter struct {
	committer *commit.Committer
	term      *election.Term
	mailbox   *mailbox
	log       *slog.Logger
}

// write queues one change. If its result cannot be known the term ends, and the next leader
// reads the records again.
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
