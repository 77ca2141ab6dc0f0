package leader

import (
	"context"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/wire"
)

// Revision returns the revision of the leader key during this term. It identifies the term.
func (l *Leader) Revision() ids.Revision { return l.term.Revision }

// MayAnswerHeartbeats reports whether this leader may answer workers now. While it may not, it must
// not answer any other request either.
func (l *Leader) MayAnswerHeartbeats() bool { return l.term.MayAnswerHeartbeats() }

// AnswerHeartbeats returns the core's answers to heartbeats, in their order. The answer to a nil
// heartbeat is the zero value. It returns peerapi.ErrNotLeading if the context or the term ends first,
// or if the leader's authority to answer heartbeats is reduced in the meantime.
func (l *Leader) AnswerHeartbeats(ctx context.Context, heartbeats []*wire.Heartbeat) ([]peerapi.HeartbeatAnswer, error) {
	reply := make(chan heartbeatAnswers, 1)
	response, err := request(ctx, l.mailbox, heartbeatsReceived{heartbeats: heartbeats, reply: reply}, reply)
	if err != nil {
		return nil, err
	}
	if !l.term.MayAnswerHeartbeats() || !response.replicasOnly && l.term.RestrictedToReplicas() {
		return nil, peerapi.ErrNotLeading
	}
	return response.answers, nil
}

// NotifyJob posts a job's record to the core and does not block. If the term ends, the record may be
// dropped: the next leader reads it from the key-value store.
func (l *Leader) NotifyJob(job JobRecord) {
	// The goroutine ends with the term at the latest, because the end of the term closes the mailbox.
	go l.mailbox.post(context.Background(), jobRecordObserved{job})
}

// AcknowledgeCancellation passes the record of a cancelled job to the core, and reports whether the
// cancellation may be acknowledged to users. It may if no previous leader can keep tasks of the job
// running beyond the cancel deadline, and the lease is still valid after the core has observed the
// record.
func (l *Leader) AcknowledgeCancellation(ctx context.Context, job JobRecord) bool {
	reply := make(chan bool, 1)
	allowed, err := request(ctx, l.mailbox, cancellationAcknowledgementRequested{job: job, reply: reply}, reply)
	return err == nil && allowed && l.term.HoldsLease()
}

// AcknowledgedRevision returns the revision up to which all cancellations may be acknowledged to users.
// ok reports whether the lease is still valid after the core has observed them.
func (l *Leader) AcknowledgedRevision() (revision ids.Revision, ok bool) {
	acknowledged := ids.Revision(l.acknowledged.Load())
	return acknowledged, l.term.HoldsLease()
}

// Progress returns the progress of jobs, for display. The result omits the jobs that the core does not
// know. It returns peerapi.ErrNotLeading if the context or the term ends first.
func (l *Leader) Progress(ctx context.Context, jobs []ids.JobID) (map[ids.JobID]scheduler.Progress, error) {
	reply := make(chan map[ids.JobID]scheduler.Progress, 1)
	return request(ctx, l.mailbox, progressRequested{jobs: jobs, reply: reply}, reply)
}

// SetCatalog posts new machine types and prices to the core. While the event queue is full, it blocks
// until the context or the term ends.
func (l *Leader) SetCatalog(ctx context.Context, types []wire.MachineType) {
	l.mailbox.post(ctx, catalogRead{types})
}

// OpenVersionGate notifies the core that every controller can read split records. While the event
// queue is full, it blocks until the context or the term ends.
func (l *Leader) OpenVersionGate(ctx context.Context) {
	l.mailbox.post(ctx, versionGateOpened{})
}
