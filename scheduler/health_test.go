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
	h := newHarness(t, Options{})
	h.heartbeat("n-0", "a", 0)
	h.submit("job-1", wire.JobSpec{Class: "c", Tasks: 1, EstimateS: 5})
	h.step()
	run := func() wire.TaskStatus {
		for _, command := range h.heartbeat("n-0", "a", 0).Commands {
			if command.Verb == wire.VerbRun {
				return wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskRunning}
			}
		}
		t.Fatal("no run command was sent")
		return wire.TaskStatus{}
	}
	task := run()
	h.c.ProvisioningGranted(h.now, wire.ProvisionRequest{Type: "m", Zone: "a", Count: 1}, []ids.MachineID{"n-1"})
	h.c.cluster.Machine("n-1").Lifecycle.BootDeadline = h.now.Add(10 * time.Second)

	h.now = h.now.Add(20 * time.Second) // the leader is paused
	h.heartbeat("n-0", "a", 0)          // sent before the agent received the run command
	if h.c.cluster.Machine("n-0").Health.Unreachable {
		t.Error("the machine became unreachable because of the leader's pause")
	}
	if e := h.step(); len(e.Terminate) > 0 {
		t.Errorf("terminated %v before they could send a heartbeat", e.Terminate)
	}
	h.heartbeat("n-0", "a", 0, task)
	a := h.c.cluster.Job("job-1").Active()[0]
	h.now = h.now.Add(500 * time.Millisecond)
	h.step()
	h.now = h.now.Add(20 * time.Second) // the leader is paused again
	h.step()
	if ran := runTime(h.c.clock, a); ran > time.Second {
		t.Errorf("run time is %v", ran)
	}
	h.now = h.now.Add(900 * time.Millisecond)
	h.step()
	if ran := runTime(h.c.clock, a); ran < time.Second || ran > 2*time.Second {
		t.Errorf("run time is %v", ran)
	}
}

// testHealthSettings holds the settings for tests of a single part of the health policy.
var testHealthSettings = healthSettings{
	agentLease:        simAgentLease,
	heartbeatInterval: simHeartbeatInterval,
	cancelDeadline:    simCancelDeadline,
}
