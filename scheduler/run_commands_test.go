package scheduler

import (
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// Responses to heartbeats repeat run commands that were already sent. Direct calls do not. A task
// that is not recorded, or may have run already, is not sent at all.
func TestRunCommands(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		change                 func(f *dispatchFixture, a *cluster.Assignment)
		inAnswer, inDirectCall bool
	}{
		{"recorded", func(*dispatchFixture, *cluster.Assignment) {}, true, true},
		{"sent before", func(_ *dispatchFixture, a *cluster.Assignment) { a.Delivery.Sent = true }, true, false},
		{"not recorded", func(_ *dispatchFixture, a *cluster.Assignment) { a.Record.Committed = false }, false, false},
		{"stopped", func(f *dispatchFixture, a *cluster.Assignment) { f.cluster.Stop(a, cluster.StopDrained) }, false, false},
		{"inherited", func(_ *dispatchFixture, a *cluster.Assignment) { a.Delivery.Inherited = true }, false, false},
		{"seen", func(_ *dispatchFixture, a *cluster.Assignment) { a.Delivery.Reported = true }, false, false},
		{"in the newest heartbeat", func(f *dispatchFixture, a *cluster.Assignment) {
			f.report(a.Ref(), a.Attempt, wire.TaskFetching)
		}, false, false},
		{"on a terminating machine", func(f *dispatchFixture, _ *cluster.Assignment) {
			f.machine.Lifecycle.Terminating = true
		}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			answer, direct := newDispatchFixture(t), newDispatchFixture(t)
			tc.change(answer, answer.assign())
			if got := len(answer.runCommands(answer.machine, maxCommands)) == 1; got != tc.inAnswer {
				t.Errorf("run command in the response to a heartbeat: %v, want %v", got, tc.inAnswer)
			}
			tc.change(direct, direct.assign())
			if got := len(direct.unsentRunCommands(direct.machine, maxCommands)) == 1; got != tc.inDirectCall {
				t.Errorf("run command in a direct call: %v, want %v", got, tc.inDirectCall)
			}
		})
	}
}

// A task beyond the limit on run commands does not count as sent.
func TestRunCommandsStayWithinTheirLimit(t *testing.T) {
	f := newDispatchFixture(t)
	for range 3 {
		f.assign()
	}
	got := commandsWith(f.runCommands(f.machine, 2), wire.VerbRun)
	if want := []string{"job-1/0#1", "job-1/1#1"}; !slices.Equal(got, want) {
		t.Errorf("run commands: %v, want %v", got, want)
	}
	if f.job.Task(2).Assignment().Delivery.Sent {
		t.Error("a task beyond the limit counts as sent")
	}
}

// Repeating a run command keeps the time of the first one, and records the highest token.
func TestRepeatedRunUpdatesTheDelivery(t *testing.T) {
	f := newDispatchFixture(t)
	a := f.assign()
	f.runCommands(f.machine, maxCommands)
	sentAt := a.Delivery.SentAt
	f.raiseToken(f.machine)
	f.machine.Agent.Incarnation++
	f.advance(time.Second)
	f.runCommands(f.machine, maxCommands)
	want := cluster.Delivery{Sent: true, SentAt: sentAt, Token: f.fencingToken(f.machine), Incarnation: 2}
	if a.Delivery != want {
		t.Errorf("delivery: %+v, want %+v", a.Delivery, want)
	}
}
