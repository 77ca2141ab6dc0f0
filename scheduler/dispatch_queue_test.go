package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// A machine that is up is called only if its agent needs a command or a token before its next
// heartbeat and may be called now.
func TestNextActionOfAMachineThatIsUp(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *dispatchFixture, m *cluster.Machine)
		want   dispatchAction
	}{
		{"idle", func(*dispatchFixture, *cluster.Machine) {}, dequeue},
		{"a task to run", func(f *dispatchFixture, _ *cluster.Machine) { f.assign() }, sendCommands},
		{"a task that was sent", func(f *dispatchFixture, _ *cluster.Machine) { f.assignSent() }, dequeue},
		{"a task to kill", func(f *dispatchFixture, _ *cluster.Machine) {
			f.cluster.Stop(f.assignSent(), cluster.StopPreempted)
		}, sendCommands},
		{"terminating", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign()
			m.Lifecycle.Terminating = true
		}, dequeue},
		{"removed", func(f *dispatchFixture, m *cluster.Machine) { f.cluster.RemoveMachine(m) }, dequeue},
		{"call in flight", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign()
			m.Commands.CallInFlight = true
		}, dequeue},
		{"no heartbeat since a call failed", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign()
			m.Commands.CallFailed = true
		}, dequeue},
		{"within the retry delay of a failed call", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign()
			m.Commands.CallRetryAt = f.clock.Now().Add(time.Millisecond)
		}, keepQueued},
		{"not fenced, never answered", func(f *dispatchFixture, m *cluster.Machine) {
			f.assignSent()
			m.Agent.Fenced = false
		}, sendCommands},
		{"not fenced, answered", func(f *dispatchFixture, m *cluster.Machine) {
			f.assignSent()
			m.Agent.Fenced, m.Agent.AnsweredAt = false, f.clock.Now()
		}, keepQueued},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newDispatchFixture(t)
			tc.change(f, f.machine)
			if got := f.nextAction(f.machine); got != tc.want {
				t.Errorf("action %d, want %d", got, tc.want)
			}
		})
	}
}

// Only a machine from a previous leader's term is asked for a heartbeat. A booting machine sends
// its first heartbeat unasked.
func TestNextActionOfAMachineWithoutHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *dispatchFixture, m *cluster.Machine)
		want   dispatchAction
	}{
		{"booting", func(_ *dispatchFixture, m *cluster.Machine) {
			m.Lifecycle.ListedStatus, m.Lifecycle.ProvisionedThisTerm = wire.MachineRunning, true
		}, dequeue},
		{"running since a previous leader's term", func(_ *dispatchFixture, m *cluster.Machine) {
			m.Lifecycle.ListedStatus = wire.MachineRunning
		}, requestHeartbeat},
		{"tasks of a previous leader", func(f *dispatchFixture, _ *cluster.Machine) {
			f.assign().Delivery.Inherited = true
		}, requestHeartbeat},
		{"already asked for a heartbeat", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign().Delivery.Inherited = true
			m.Commands.HeartbeatRequested = true
		}, dequeue},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newDispatchFixture(t)
			f.machine.Agent.HeartbeatThisTerm = false
			tc.change(f, f.machine)
			if got := f.nextAction(f.machine); got != tc.want {
				t.Errorf("action %d, want %d", got, tc.want)
			}
		})
	}
}

// Machines beyond the limit on calls in flight wait in the queue, in order, until calls have ended.
func TestDispatchBoundsCallsInFlight(t *testing.T) {
	f := newDispatchFixture(t)
	f.settings.maxCallsInFlight = 2
	var machines []ids.MachineID
	for n := range 5 {
		m := f.addMachine(ids.MachineID(fmt.Sprintf("left-%d", n)))
		m.Agent.HeartbeatThisTerm = false
		m.Lifecycle.ListedStatus = wire.MachineRunning
		f.queueMachine(m)
		f.queueMachine(m) // a machine is queued once
		machines = append(machines, m.ID)
	}
	if got := f.dispatch().requestHeartbeats; !slices.Equal(got, machines[:2]) {
		t.Fatalf("first requests: %v", got)
	}
	if got := f.dispatch().requestHeartbeats; len(got) != 0 {
		t.Fatalf("requests beyond the limit: %v", got)
	}
	f.heartbeatRequestEnded(machines[0])
	if got := f.dispatch().requestHeartbeats; !slices.Equal(got, machines[2:3]) {
		t.Errorf("requests after one ended: %v", got)
	}
}

// A machine that did not answer a request for a heartbeat is asked again after
// heartbeatRequestInterval, not immediately.
func TestHeartbeatIsRequestedAgain(t *testing.T) {
	f := newDispatchFixture(t)
	f.machine.Agent.HeartbeatThisTerm = false
	f.machine.Lifecycle.ListedStatus = wire.MachineRunning
	f.queueMachine(f.machine)
	f.dispatch()
	f.heartbeatRequestEnded("n-1")
	f.advance(heartbeatRequestInterval - time.Millisecond)
	if f.needsHeartbeatRequest(f.machine) {
		t.Error("requested again before the interval ended")
	}
	f.advance(time.Millisecond)
	if !f.needsHeartbeatRequest(f.machine) {
		t.Error("not requested again after the interval")
	}
}
