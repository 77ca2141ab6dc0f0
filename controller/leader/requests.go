package leader

import (
	"context"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/wire"
)

// Revision returns the revision of the leader key, which identifies the term.
func (l *Leader) Revision() ids.Revision { return l.term.Revision }

// MayAnswerHeartbeats reports whether this leader may answer workers now. While it may not, it
// must not answer any request.
func (l *Leader) MayAnswerHeartbeats() bool { return l.term.MayAnswerHeartbeats() }

// Heartbeats has the core answer heartbeats in their order. A nil heartbeat gets no answer. It fails
// with peerapi.ErrNotLeading if the context or the term ends first, and if the leader's authority
// to answer heartbeats was reduced while the core decided.
func (l *Leader) Heartbeats(ctx context.Context, heartbeats []*wire.Heartbeat) ([]peerapi.HeartbeatAnswer, error) {
	reply := make(chan heartbeatAnswers, 1)
	decided, err := request(ctx, l.mailbox, heartbeatsReceived{heartbeats: heartbeats, reply: reply}, reply)
	if err != nil {
		return nil, err
	}
	if !l.term.MayAnswerHeartbeats() || !decided.replicasOnly && l.term.RestrictedToReplicas() {
		return nil, peerapi.ErrNotLeading
	}
	return decided.answers, nil
}

// NotifyJob posts a job's record to the core without waiting for it. The record may be lost if the
// term ends, since the next leader reads it from the store.
func (l *Leader) NotifyJob(job JobRecord) {
	// The goroutine ends with the term at the latest, since that closes the mailbox.
	go l.mailbox.post(context.Background(), jobRecordObserved{job})
}

// AcknowledgeCancellation has the core observe the record of a cancelled job, and reports whether
// the cancellation may be reported to users: no earlier leader can keep tasks of the job for too
// long, and the lease was still valid after the core observed the record.
func (l *Leader) AcknowledgeCancellation(ctx context.Context, job JobRecord) bool {
	reply := make(chan bool, 1)
	harmless, err := request(ctx, l.mailbox, cancellationAcknowledgementAsked{job: job, reply: reply}, reply)
	return err == nil && harmless && l.term.HoldsLease()
}

// AcknowledgedRevision returns the revision up to which all cancellations may be reported to users.
// ok is false unless the lease is valid after the core observed them.
func (l *Leader) AcknowledgedRevision() (revision ids.Revision, ok bool) {
	applied := ids.Revision(l.applied.Load())
	return applied, l.term.HoldsLease()
}

// Progress returns the progress of those of the jobs that the core knows, for display. It fails
// with peerapi.ErrNotLeading if the context or the term ends first.
func (l *Leader) Progress(ctx context.Context, jobs []ids.JobID) (map[ids.JobID]scheduler.Progress, error) {
	reply := make(chan map[ids.JobID]scheduler.Progress, 1)
	return request(ctx, l.mailbox, progressAsked{jobs: jobs, reply: reply}, reply)
}

// SetCatalog posts new machine types and prices to the core. It blocks while the event queue is
// full, until the context or the term ends.
func (l *Leader) SetCatalog(ctx context.Context, types []wire.MachineType) {
	l.mailbox.post(ctx, catalogRead{types})
}

// OpenVersionGate notifies the core that every controller can read split records. It blocks while
// the event queue is full, until the context or the term ends.
func (l *Leader) OpenVersionGate(ctx context.Context) {
	l.mailbox.post(ctx, versionGateOpened{})
}
