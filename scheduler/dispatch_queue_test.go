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

func TestNextActionOfAMachineThatIsUp(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *dispatchFixture, m *cluster.Machine)
		want   dispatchAction
	}{
		{"idle", func(*dispatchFixture, *cluster.Machine) {}, leaveQueue},
		{"a task to run", func(f *dispatchFixture, _ *cluster.Machine) { f.assign() }, sendCommands},
		{"a task that was sent", func(f *dispatchFixture, _ *cluster.Machine) { f.assignSent() }, leaveQueue},
		{"a task to kill", func(f *dispatchFixture, _ *cluster.Machine) {
			f.cluster.Stop(f.assignSent(), cluster.StopPreempted)
		}, sendCommands},
		{"terminating", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign()
			m.Lifecycle.Terminating = true
		}, leaveQueue},
		{"removed", func(f *dispatchFixture, m *cluster.Machine) { f.cluster.RemoveMachine(m) }, leaveQueue},
		{"call in flight", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign()
			m.Commands.CallInFlight = true
		}, leaveQueue},
		{"silent since a call failed", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign()
			m.Commands.CallFailed = true
		}, leaveQueue},
		{"a call failed a moment ago", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign()
			m.Commands.CallRetryAt = f.clock.Now().Add(time.Millisecond)
		}, stayQueued},
		{"not fenced, never answered", func(f *dispatchFixture, m *cluster.Machine) {
			f.assignSent()
			m.Agent.Fenced = false
		}, sendCommands},
		{"not fenced, answered", func(f *dispatchFixture, m *cluster.Machine) {
			f.assignSent()
			m.Agent.Fenced, m.Agent.AnsweredAt = false, f.clock.Now()
		}, stayQueued},
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

func TestNextActionOfAMachineWithoutHeartbeat(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *dispatchFixture, m *cluster.Machine)
		want   dispatchAction
	}{
		{"booting", func(_ *dispatchFixture, m *cluster.Machine) {
			m.Lifecycle.ListedStatus, m.Lifecycle.ProvisionedThisTerm = wire.MachineRunning, true
		}, leaveQueue},
		{"left running by a previous leader", func(_ *dispatchFixture, m *cluster.Machine) {
			m.Lifecycle.ListedStatus = wire.MachineRunning
		}, requestHeartbeat},
		{"tasks of a previous leader", func(f *dispatchFixture, _ *cluster.Machine) {
			f.assign().Delivery.Inherited = true
		}, requestHeartbeat},
		{"already asked for a heartbeat", func(f *dispatchFixture, m *cluster.Machine) {
			f.assign().Delivery.Inherited = true
			m.Commands.HeartbeatRequested = true
		}, leaveQueue},
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

// Machines beyond the bound of calls wait in the queue, in order, until calls have ended.
func TestDispatchBoundsCallsInFlight(t *testing.T) {
	f := newDispatchFixture(t)
	f.settings.maxCallsInFlight = 2
	var machines []ids.MachineID
	for n := range 5 {
		m := f.addMachine(ids.MachineID(fmt.Sprintf("left-%d", n)))
		m.Agent.HeartbeatThisTerm = false
		m.Lifecycle.ListedStatus = wire.MachineRunning
		f.queueCommands(m)
		f.queueCommands(m) // a machine is queued once
		machines = append(machines, m.ID)
	}
	if got := f.dispatch().requestHeartbeats; !slices.Equal(got, machines[:2]) {
		t.Fatalf("first requests: %v", got)
	}
	if got := f.dispatch().requestHeartbeats; len(got) != 0 {
		t.Fatalf("requests beyond the bound: %v", got)
	}
	f.heartbeatRequestEnded(machines[0])
	if got := f.dispatch().requestHeartbeats; !slices.Equal(got, machines[2:3]) {
		t.Errorf("requests after one ended: %v", got)
	}
}

// A machine that was asked in vain is asked again after an interval, not at once.
func TestHeartbeatIsRequestedAgain(t *testing.T) {
	f := newDispatchFixture(t)
	f.machine.Agent.HeartbeatThisTerm = false
	f.machine.Lifecycle.ListedStatus = wire.MachineRunning
	f.queueCommands(f.machine)
	f.dispatch()
	f.heartbeatRequestEnded("n-1")
	f.advance(heartbeatRequestInterval - time.Millisecond)
	if f.needsHeartbeatRequest(f.machine) {
		t.Error("asked again before the interval ended")
	}
	f.advance(time.Millisecond)
	if !f.needsHeartbeatRequest(f.machine) {
		t.Error("not asked again after the interval")
	}
}
