package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// While the leader's process is paused it receives no heartbeats, so it learns of changes only after
// the pause. The pause must not count as run time of tasks, must not make machines unreachable, and
// must not exceed the boot deadline of a machine.
func TestProcessPauseCountsAsNeitherRunTimeNorMissedHeartbeats(t *testing.T) {
	b := newHarness(t, Options{})
	b.heartbeat("n-0", "a", 0)
	b.submit("job-1", wire.JobSpec{Class: "c", Tasks: 1, EstimateS: 5})
	b.step()
	run := func() wire.TaskStatus {
		for _, command := range b.heartbeat("n-0", "a", 0).Commands {
			if command.Verb == wire.VerbRun {
				return wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskRunning}
			}
		}
		t.Fatal("no run command was sent")
		return wire.TaskStatus{}
	}
	task := run()
	b.c.ProvisioningGranted(b.now, wire.ProvisionRequest{Type: "m", Zone: "a", Count: 1}, []ids.MachineID{"n-1"})
	b.c.cluster.Machine("n-1").Lifecycle.BootDeadline = b.now.Add(10 * time.Second)

	b.now = b.now.Add(20 * time.Second) // the leader is paused
	b.heartbeat("n-0", "a", 0)          // sent before the agent received the run command
	if b.c.cluster.Machine("n-0").Health.Unreachable {
		t.Error("the machine became unreachable because of the leader's pause")
	}
	if e := b.step(); len(e.Terminate) > 0 {
		t.Errorf("terminated %v before they could send a heartbeat", e.Terminate)
	}
	b.heartbeat("n-0", "a", 0, task)
	a := b.c.cluster.Job("job-1").Active()[0]
	b.now = b.now.Add(500 * time.Millisecond)
	b.step()
	b.now = b.now.Add(20 * time.Second) // the leader is paused again
	b.step()
	if ran := runTime(b.c.clock, a); ran > time.Second {
		t.Errorf("run time is %v", ran)
	}
	b.now = b.now.Add(900 * time.Millisecond)
	b.step()
	if ran := runTime(b.c.clock, a); ran < time.Second || ran > 2*time.Second {
		t.Errorf("run time is %v", ran)
	}
}

// testHealthSettings holds the settings for tests of a single part of the health policy.
var testHealthSettings = healthSettings{
	agentLease:        simAgentLease,
	heartbeatInterval: simHeartbeatInterval,
	cancelDeadline:    simCancelDeadline,
}
