package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// What began or ended while the leader itself was paused is reported only after it: tasks did
// not run for that long, machines are not unreachable, and none took too long to boot.
func TestProcessPauseCountsAsNeitherRunTimeNorMissedHeartbeats(t *testing.T) {
	b := newHarness(t, Options{})
	b.heartbeat("n-0", "a", 0)
	b.submit("job-1", wire.JobSpec{Class: "c", Tasks: 1, EstimateS: 5})
	b.step()
	run := func() wire.TaskStatus {
		for _, o := range b.heartbeat("n-0", "a", 0).Commands {
			if o.Verb == wire.VerbRun {
				return wire.TaskStatus{Name: o.Name, Attempt: o.Attempt, State: wire.TaskRunning}
			}
		}
		t.Fatal("nothing started")
		return wire.TaskStatus{}
	}
	task := run()
	b.c.ProvisioningGranted(b.now, wire.ProvisionRequest{Type: "m", Zone: "a", Count: 1}, []ids.MachineID{"n-1"})
	b.c.cluster.Machine("n-1").Lifecycle.BootDeadline = b.now.Add(10 * time.Second)

	b.now = b.now.Add(20 * time.Second) // it is paused
	b.heartbeat("n-0", "a", 0)          // on its way since before the command came
	if b.c.cluster.Machine("n-0").Health.Unreachable {
		t.Error("a machine counts as unreachable for the time of the leader's pause")
	}
	if e := b.step(); len(e.Terminate) > 0 {
		t.Errorf("terminated %v before they could send a heartbeat", e.Terminate)
	}
	b.heartbeat("n-0", "a", 0, task)
	a := b.c.cluster.Job("job-1").Active()[0]
	b.now = b.now.Add(500 * time.Millisecond)
	b.step()
	b.now = b.now.Add(20 * time.Second) // and again
	b.step()
	if ran := runTime(b.c.clock, a); ran > time.Second {
		t.Errorf("ran for %v", ran)
	}
	b.now = b.now.Add(900 * time.Millisecond)
	b.step()
	if ran := runTime(b.c.clock, a); ran < time.Second || ran > 2*time.Second {
		t.Errorf("ran for %v", ran)
	}
}

// testHealthSettings are the settings of tests that make a part of the health policy alone.
var testHealthSettings = healthSettings{
	agentLease:        simAgentLease,
	heartbeatInterval: simHeartbeatInterval,
	cancelDeadline:    simCancelDeadline,
}
