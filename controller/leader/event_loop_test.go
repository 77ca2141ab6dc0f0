package leader

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/scheduler"
)

// A leader publishes a revision up to which all cancellations may be reported only once no earlier
// leader can keep tasks of cancelled jobs.
func TestNothingIsPublishedBesideAnEarlierLeader(t *testing.T) {
	dependencies := testDependencies(t, "127.0.0.1:1")
	options := dependencies.schedulerOptions(5, true)
	options.CancelDeadline, options.AgentLease = 52*time.Second, 27*time.Second
	options.PreviousLeaderGrace, options.PreviousLeaderGraceWithoutReplicas = time.Minute, time.Second
	applied := new(atomic.Uint64)
	loop := &eventLoop{core: scheduler.New(options, nil), clock: dependencies.Clock, applied: applied}
	loop.core.Begin(loop.clock.Now())
	watchAdvanced{revision: 50}.applyTo(loop)
	loop.publishApplied()
	if got := applied.Load(); got != 0 {
		t.Errorf("published %d beside an earlier leader", got)
	}
	followersConfirmed{}.applyTo(loop)
	loop.publishApplied()
	if got := applied.Load(); got != 50 {
		t.Errorf("published %d once all follow", got)
	}
}

// countingEvent counts how often it is applied, and posts itself again.
type countingEvent struct{ applied *int }

func (e countingEvent) applyTo(loop *eventLoop) {
	*e.applied++
	loop.mailbox.events <- e
}

// However many events come, a step has its turn after at most as many as the mailbox holds.
func TestStepsHaveTheirTurn(t *testing.T) {
	applied := 0
	loop := &eventLoop{mailbox: newMailbox()}
	loop.mailbox.events <- countingEvent{&applied}
	loop.applyQueued()
	if applied != maxQueuedEvents {
		t.Errorf("%d events before a step", applied)
	}
}

// After the end of a term nothing waits for its event loop.
func TestClosedMailboxReleasesSenders(t *testing.T) {
	full := newMailbox()
	for range maxQueuedEvents {
		if !full.post(t.Context(), watchAdvanced{}) {
			t.Fatal("refused before the mailbox is full")
		}
	}
	answered := newMailbox()
	full.close()
	answered.close()
	if full.post(t.Context(), watchAdvanced{}) {
		t.Error("posted to a full mailbox")
	}
	reply := make(chan bool, 1)
	if _, err := request(t.Context(), answered, cancellationAcknowledgementAsked{reply: reply}, reply); !errors.Is(err, peerapi.ErrNotLeading) {
		t.Errorf("request: %v", err)
	}
}
