package scheduler

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// No commands are sent to a machine that is removed or terminating, whose agent's incarnation is not
// known, or to which a call is in flight. Such a batch must not count as a call.
func TestTakeBatchRefuses(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *dispatchFixture, m *cluster.Machine)
	}{
		{"a removed machine", func(f *dispatchFixture, m *cluster.Machine) { f.cluster.RemoveMachine(m) }},
		{"a call in flight", func(_ *dispatchFixture, m *cluster.Machine) { m.Commands.CallInFlight = true }},
		{"an agent whose incarnation is not known", func(_ *dispatchFixture, m *cluster.Machine) { m.Agent.HeartbeatThisTerm = false }},
		{"a terminating machine", func(_ *dispatchFixture, m *cluster.Machine) { m.Lifecycle.Terminating = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newDispatchFixture(t)
			tc.change(f, f.machine)
			if batch, _, ok := f.takeBatch("n-1"); ok || f.callsInFlight != 0 {
				t.Errorf("batch %+v, %d calls in flight", batch, f.callsInFlight)
			}
		})
	}
}

// A batch names one incarnation of the agent and carries the machine's fencing token.
func TestTakeBatch(t *testing.T) {
	f := newDispatchFixture(t)
	f.assign()
	f.machine.Commands.TokenCounter, f.machine.Agent.Incarnation = 3, 9
	batch, endpoint, ok := f.takeBatch("n-1")
	token := ids.NewFencingToken(fixtureRevision, 3)
	if !ok || endpoint != "n-1:80" || batch.Incarnation != 9 || batch.FencingToken != token {
		t.Errorf("batch %+v for %q, ok %v", batch, endpoint, ok)
	}
	if got := commandsWith(batch.Commands, wire.VerbRun); len(got) != 1 {
		t.Errorf("run commands: %v", got)
	}
	if f.machine.Commands.DirectRunToken != token || f.callsInFlight != 1 {
		t.Errorf("commands state: %+v, %d calls in flight", f.machine.Commands, f.callsInFlight)
	}
}

// After a failed call a machine is called again only once it has sent a heartbeat and the
// delay has passed.
func TestFailedCallIsRetriedLater(t *testing.T) {
	f := newDispatchFixture(t)
	f.assign()
	f.takeBatch("n-1")
	f.commandCallFailed("n-1")
	f.assign()
	if calls := f.dispatch(); len(calls.sendCommands) != 0 {
		t.Fatalf("called without a heartbeat: %+v", calls)
	}
	f.allowCalls(f.machine)
	f.queueMachine(f.machine)
	if calls := f.dispatch(); len(calls.sendCommands) != 0 {
		t.Fatalf("called before the delay has passed: %+v", calls)
	}
	f.advance(callRetryDelay)
	if calls := f.dispatch(); len(calls.sendCommands) != 1 {
		t.Errorf("not called after the delay: %+v", calls)
	}
}

// A call is counted as ended even if its machine was removed in the meantime. Otherwise it would
// count against the limit on calls in flight indefinitely.
func TestCallOfARemovedMachineEnds(t *testing.T) {
	f := newDispatchFixture(t)
	f.takeBatch("n-1")
	f.cluster.RemoveMachine(f.machine)
	f.commandCallAnswered("n-1")
	if f.callsInFlight != 0 {
		t.Errorf("%d calls in flight", f.callsInFlight)
	}
}

// The address of a called machine may belong to another machine now. The answer of that machine
// must not count as a heartbeat of either.
func TestAnswerOfAnotherMachineIsIgnored(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	h.c.TakeCommands(h.now, "n-1")
	h.c.CommandsResult(h.now, "n-1", &wire.Heartbeat{Machine: "n-2", Incarnation: 1, Sequence: 1})
	if h.c.cluster.Machine("n-2") != nil {
		t.Error("the answer was applied as a heartbeat")
	}
	if m := h.c.cluster.Machine("n-1"); m.Commands.CallInFlight || m.Agent.AnsweredCall {
		t.Errorf("call in flight: %v, answered: %v", m.Commands.CallInFlight, m.Agent.AnsweredCall)
	}
}
