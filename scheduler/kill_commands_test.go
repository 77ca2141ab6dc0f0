package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// A task has one grace period, which starts with the first kill command. Repeated kill commands do
// not extend it.
func TestKillGraceEndsAfterItsTime(t *testing.T) {
	for _, tc := range []struct {
		name    string
		elapsed time.Duration
		want    float64
	}{
		{"repeated immediately", 0, 5},
		{"repeated within the grace period", 5 * time.Second, 5},
		{"repeated after the grace period", 5*time.Second + time.Millisecond, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newDispatchFixture(t)
			a := f.assignSent()
			f.cluster.Stop(a, cluster.StopPreempted)
			a.Delivery.KillGraceS = 5
			if first := f.killCommands(f.machine); len(first) != 1 || first[0].GraceS != 5 {
				t.Fatalf("first kill commands: %+v", first)
			}
			f.advance(tc.elapsed)
			if again := f.killCommands(f.machine); len(again) != 1 || again[0].GraceS != tc.want {
				t.Errorf("repeated kill commands: %+v, want a grace period of %v s", again, tc.want)
			}
		})
	}
}

// The token is raised only where a run command in flight could start the stopped task later.
func TestStoppedTaskRaisesTheToken(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *dispatchFixture, a *cluster.Assignment)
		want   uint64
	}{
		{"its run command may be in flight", func(*dispatchFixture, *cluster.Assignment) {}, 1},
		{"the machine reports it", func(f *dispatchFixture, a *cluster.Assignment) {
			f.report(a.Ref(), a.Attempt, wire.TaskRunning)
		}, 0},
		{"a call is in flight", func(f *dispatchFixture, _ *cluster.Assignment) {
			f.machine.Commands.CallInFlight = true
		}, 0},
		{"a previous leader sent it", func(_ *dispatchFixture, a *cluster.Assignment) {
			a.Delivery.Inherited = true
		}, 0},
		{"it was sent under an older token", func(f *dispatchFixture, _ *cluster.Assignment) {
			f.machine.Commands.TokenCounter = 1
		}, 1},
		{"it was never sent", func(_ *dispatchFixture, a *cluster.Assignment) {
			a.Delivery.Sent = false
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newDispatchFixture(t)
			a := f.assignSent()
			tc.change(f, a)
			f.cluster.Stop(a, cluster.StopCancelled)
			f.killCommands(f.machine)
			if got := f.machine.Commands.TokenCounter; got != tc.want {
				t.Errorf("the token counter is %d, want %d", got, tc.want)
			}
		})
	}
}

// An attempt without an assignment is killed unless it has ended.
func TestKillsUnassignedAttempts(t *testing.T) {
	f := newDispatchFixture(t)
	a := f.assignSent()
	f.report(a.Ref(), a.Attempt, wire.TaskRunning)
	f.report(ids.TaskRef{Job: "job-1", Index: 1}, 7, wire.TaskEnded)
	f.report(ids.TaskRef{Job: "job-1", Index: 2}, 3, wire.TaskRunning)
	f.report(ids.TaskRef{Job: "job-1", Index: a.Index}, a.Attempt+1, wire.TaskRunning)
	got := commandsWith(f.killCommands(f.machine), wire.VerbKill)
	if len(got) != 2 || got[0] != "job-1/2#3" || got[1] != "job-1/0#2" {
		t.Errorf("killed: %v", got)
	}
}

// Stopped tasks come first, and all kill commands together are within maxKillCommands.
func TestKillCommandsAreBounded(t *testing.T) {
	f := newDispatchFixture(t)
	a := f.assignSent()
	f.cluster.Stop(a, cluster.StopCancelled)
	for index := range maxCommands {
		f.report(ids.TaskRef{Job: "job-unknown", Index: index}, 1, wire.TaskRunning)
	}
	commands := f.killCommands(f.machine)
	if len(commands) != maxKillCommands {
		t.Fatalf("%d kill commands, want %d", len(commands), maxKillCommands)
	}
	if commands[0].Name != "job-1/0" {
		t.Errorf("the first kill command is for %s", commands[0].Name)
	}
}

// The protocol requires a list of commands in each message, even an empty one.
func TestKillCommandsAreNeverNil(t *testing.T) {
	f := newDispatchFixture(t)
	if commands := f.killCommands(f.machine); commands == nil || len(commands) != 0 {
		t.Errorf("kill commands of an idle machine: %#v", commands)
	}
}
