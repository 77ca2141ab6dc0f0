package leader

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/wire"
)

// A cancellation must not be acknowledged to users while a previous leader can keep the job's tasks
// running beyond the cancel deadline. Until that is excluded, the leader publishes no revision up to
// which all cancellations are acknowledged.
func TestAcknowledgedRevisionWaitsForPreviousLeaders(t *testing.T) {
	dependencies := testDependencies(t, "127.0.0.1:1")
	options := dependencies.schedulerOptions(5, true)
	options.CancelDeadline, options.AgentLease = 52*time.Second, 27*time.Second
	options.PreviousLeaderGrace, options.PreviousLeaderGraceWithoutReplicas = time.Minute, time.Second
	acknowledged := new(atomic.Uint64)
	loop := &eventLoop{core: scheduler.New(options, nil), clock: dependencies.Clock, acknowledged: acknowledged}
	loop.core.Begin(loop.clock.Now())
	watchAdvanced{revision: 50}.applyTo(loop)
	loop.publishAcknowledged()
	if got := acknowledged.Load(); got != 0 {
		t.Errorf("published %d while a previous leader may answer heartbeats", got)
	}
	followersConfirmed{}.applyTo(loop)
	loop.publishAcknowledged()
	if got := acknowledged.Load(); got != 50 {
		t.Errorf("published %d after all controllers follow this leader, want 50", got)
	}
}

// countingEvent counts how often it is applied, and queues itself again.
type countingEvent struct{ applied *int }

func (e countingEvent) applyTo(loop *eventLoop) {
	*e.applied++
	loop.mailbox.events <- e
}

// A high rate of events must not starve the steps of the core: a step follows after at most as many
// events as the mailbox holds.
func TestEventsDoNotStarveSteps(t *testing.T) {
	applied := 0
	loop := &eventLoop{mailbox: newMailbox()}
	loop.mailbox.events <- countingEvent{&applied}
	loop.applyQueued()
	if applied != maxQueuedEvents {
		t.Errorf("%d events applied before a step, want maxQueuedEvents", applied)
	}
}

// Once a term has ended, nothing reads its mailbox. Senders to a full mailbox and requesters without an
// answer must then return instead of blocking indefinitely.
func TestClosedMailboxReleasesSenders(t *testing.T) {
	fullMailbox := newMailbox()
	for range maxQueuedEvents {
		if !fullMailbox.post(t.Context(), watchAdvanced{}) {
			t.Fatal("post failed before the mailbox is full")
		}
	}
	unanswered := newMailbox()
	fullMailbox.close()
	unanswered.close()
	if fullMailbox.post(t.Context(), watchAdvanced{}) {
		t.Error("post to a full, closed mailbox succeeded")
	}
	reply := make(chan bool, 1)
	if _, err := request(t.Context(), unanswered, cancellationAcknowledgementRequested{reply: reply}, reply); !errors.Is(err, peerapi.ErrNotLeading) {
		t.Errorf("request to a closed mailbox: %v, want peerapi.ErrNotLeading", err)
	}
}

// withoutLease is the authority of a leader that has lost its lease and still answers heartbeats.
type withoutLease struct{}

func (withoutLease) HoldsLease() bool           { return false }
func (withoutLease) MayAnswerHeartbeats() bool  { return true }
func (withoutLease) RestrictedToReplicas() bool { return true }

// A leader without its lease must not acknowledge a cancellation, even if it regains the lease before the answer
// arrives: its core does not count the cancellation as known under the lease yet, so nothing would terminate a
// machine on which a task of the job goes on.
func TestCancellationIsNotAcknowledgedWithoutTheLease(t *testing.T) {
	dependencies := testDependencies(t, "127.0.0.1:1")
	options := dependencies.schedulerOptions(5, true)
	options.CancelDeadline, options.AgentLease = 52*time.Second, 27*time.Second
	loop := &eventLoop{core: scheduler.New(options, nil), clock: dependencies.Clock, term: withoutLease{}}
	loop.core.Begin(loop.clock.Now())
	reply := make(chan bool, 1)
	job := JobRecord{ID: "job-1", Record: &records.Job{Status: wire.JobCancelled, Tasks: 1}, Revision: 60}
	cancellationAcknowledgementRequested{job: job, reply: reply}.applyTo(loop)
	if <-reply {
		t.Error("acknowledged without the lease")
	}
}
