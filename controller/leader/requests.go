package leader

import (
	"context"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/wire"
)

// Revision is the revision of the leader's key, which names the term.
func (l *Leader) Revision() ids.Revision { return l.term.Revision }

// MayAnswerHeartbeats tells whether this leader may answer workers now. While it may not, it
// must answer no request at all.
func (l *Leader) MayAnswerHeartbeats() bool { return l.term.MayAnswerHeartbeats() }

// Heartbeats has the core answer heartbeats, in their order; a nil one gets no answer. It fails
// with peerapi.ErrNotLeading if the context or the term ends first, and if no answer may be
// sent any more: the leader must hold the same right to answer after it decided as before.
func (l *Leader) Heartbeats(ctx context.Context, heartbeats []*wire.Heartbeat) ([]peerapi.HeartbeatAnswer, error) {
	reply := make(chan heartbeatAnswers, 1)
	decided, err := request(ctx, l.mailbox, heartbeatsReceived{heartbeats: heartbeats, reply: reply}, reply)
	if err != nil {
		return nil, err
	}
	if !l.term.MayAnswerHeartbeats() || !decided.replicasOnly && l.term.MayAnswerReplicasOnly() {
		return nil, peerapi.ErrNotLeading
	}
	return decided.answers, nil
}

// NotifyJob hands a job's record to the core without waiting for it. The watch on jobs brings
// the record again, so it may be lost if the term ends.
func (l *Leader) NotifyJob(job JobRecord) {
	// The goroutine ends with the term at the latest, since that closes the mailbox.
	go l.mailbox.post(context.Background(), jobRecordObserved{job})
}

// AcknowledgeCancellation has the core take in the record of a cancelled job, and tells whether
// users may be told: no earlier leader can keep tasks of the job for too long, and the lease
// was held after the core took the record in.
func (l *Leader) AcknowledgeCancellation(ctx context.Context, job JobRecord) bool {
	reply := make(chan bool, 1)
	harmless, err := request(ctx, l.mailbox, cancellationAcknowledgementAsked{job: job, reply: reply}, reply)
	return err == nil && harmless && l.term.HoldsLease()
}

// AcknowledgedRevision is the revision up to which users may be told of all cancellations. ok is
// false unless the lease is held after the core took them in.
func (l *Leader) AcknowledgedRevision() (revision ids.Revision, ok bool) {
	applied := ids.Revision(l.applied.Load())
	return applied, l.term.HoldsLease()
}

// Progress tells the progress of those of the jobs that the core knows, for display. It fails
// with peerapi.ErrNotLeading if the context or the term ends first.
func (l *Leader) Progress(ctx context.Context, jobs []ids.JobID) (map[ids.JobID]scheduler.Progress, error) {
	reply := make(chan map[ids.JobID]scheduler.Progress, 1)
	return request(ctx, l.mailbox, progressAsked{jobs: jobs, reply: reply}, reply)
}

// SetCatalog hands new machine types and prices to the core. It waits while the event loop is
// behind, until the context or the term ends.
func (l *Leader) SetCatalog(ctx context.Context, types []wire.MachineType) {
	l.mailbox.post(ctx, catalogRead{types})
}

// OpenVersionGate tells the core that every controller can read split records. It waits while
// the event loop is behind, until the context or the term ends.
func (l *Leader) OpenVersionGate(ctx context.Context) {
	l.mailbox.post(ctx, versionGateOpened{})
}
