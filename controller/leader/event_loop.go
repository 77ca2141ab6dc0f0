package leader

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler"
)

const (
	// stepInterval is the time between two steps of the core while no event arrives.
	stepInterval = 200 * time.Millisecond
	// summaryInterval is the minimum time between two status summaries in the log.
	summaryInterval = 5 * time.Second
)

// authority reports what the leader may do now. election.Term implements it.
type authority interface {
	HoldsLease() bool
	MayAnswerHeartbeats() bool
	RestrictedToReplicas() bool
}

// eventLoop owns the scheduler core. Only the goroutine of run uses the core, directly and through
// the events that it applies. It blocks only while it waits for an event or for the next step.
type eventLoop struct {
	core      *scheduler.Core
	executors *executors
	term      authority
	peers     []Peer
	clock     monotonic.Clock
	mailbox   *mailbox
	log       *slog.Logger
	// observedRevision is the revision up to which the core has observed the jobs' records.
	observedRevision ids.Revision
	// acknowledged points to Leader.acknowledged.
	acknowledged *atomic.Uint64
	// lastSummaryAt is the time at which the last status summary was logged.
	lastSummaryAt monotonic.Instant
}

// run applies events and takes steps until the context or the term ends.
func (l *eventLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	l.lastSummaryAt = l.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case e := <-l.mailbox.events:
			e.applyTo(l)
			l.applyQueued()
		}
		if err := l.step(ctx); err != nil {
			return err
		}
	}
}

// applyQueued applies the queued events, but at most as many as the mailbox holds, so that a high
// rate of events cannot starve the steps of the core.
func (l *eventLoop) applyQueued() {
	for range cap(l.mailbox.events) {
		select {
		case e := <-l.mailbox.events:
			e.applyTo(l)
		default:
			return
		}
	}
}

// step takes a step of the core and dispatches its decisions, unless the leader may not answer
// heartbeats now. An error ends the term.
func (l *eventLoop) step(ctx context.Context) error {
	if err := l.core.RecordsError(); err != nil {
		return err
	}
	if l.core.Superseded() {
		return election.ErrSuperseded
	}
	if !l.term.MayAnswerHeartbeats() {
		return nil
	}
	holdsLease := l.observeLease()
	l.core.ObserveConnectivity(connectivity(holdsLease, l.peers, l.clock.Now()))
	l.dispatch(ctx, l.core.Step(l.clock.Now()))
	if holdsLease {
		l.publishAcknowledged()
	}
	l.logSummary()
	return nil
}

// observeLease tells the core if the lease is valid now, and reports whether it is.
func (l *eventLoop) observeLease() bool {
	now := l.clock.Now()
	if !l.term.HoldsLease() {
		return false
	}
	l.core.ObserveLease(now)
	return true
}

// dispatch passes decisions to the executors. It does not block.
func (l *eventLoop) dispatch(ctx context.Context, decisions scheduler.Decisions) {
	for _, change := range decisions.RecordChanges {
		l.executors.records.write(ctx, change)
	}
	for _, machine := range decisions.SendCommands {
		if commands, endpoint, ok := l.core.TakeCommands(l.clock.Now(), machine); ok {
			l.executors.workers.sendCommands(ctx, machine, endpoint, commands)
		}
	}
	for _, machine := range decisions.RequestHeartbeats {
		l.executors.workers.requestHeartbeat(ctx, machine, l.core.Endpoint(machine))
	}
	l.executors.execute(ctx, &decisions)
}

// publishAcknowledged acknowledges all cancellations that the core observed while the lease was valid, once no
// previous leader can keep tasks of a cancelled job running beyond the cancel deadline. Until then, each
// cancellation is acknowledged separately; see Leader.AcknowledgeCancellation.
func (l *eventLoop) publishAcknowledged() {
	observed := uint64(l.observedRevision)
	if observed > l.acknowledged.Load() && l.core.PreviousLeadersWithinCancelMargin(l.clock.Now()) {
		l.acknowledged.Store(observed)
	}
}

// logSummary logs the status summary if summaryInterval has passed since the last one.
func (l *eventLoop) logSummary() {
	now := l.clock.Now()
	if now <= l.lastSummaryAt.Add(summaryInterval) {
		return
	}
	l.lastSummaryAt = now
	l.log.Info("status summary", "summary", l.core.Summary())
}
