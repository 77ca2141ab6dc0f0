package scheduler

import (
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// A machine that misses heartbeats runs no tasks once its lease has expired. If it hung or was
// partitioned, it often sends heartbeats again before a replacement could boot, so it must not be
// terminated as soon as its lease expires.
func TestMachineThatMissesHeartbeatsIsNotTerminatedImmediately(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	start := h.now
	for ; h.now < start.Add(3*simAgentLease); h.now = h.now.Add(time.Second) {
		if e := h.step(); len(e.Terminate) > 0 {
			if after := h.now.Sub(start); after < missedHeartbeatLeases*simAgentLease {
				t.Errorf("terminated after %v, too early", after)
			}
			return
		}
	}
	t.Error("never terminated")
}

// A machine that never boots must be terminated after its boot deadline. Otherwise it incurs costs
// indefinitely.
func TestMachineThatNeverBootsIsTerminated(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.ProvisioningGranted(h.now, wire.ProvisionRequest{Type: "m", Zone: "a", Count: 1}, []ids.MachineID{"n-9"})
	for range 120 {
		h.now = h.now.Add(500 * time.Millisecond)
		if len(h.step().Terminate) > 0 {
			return
		}
	}
	t.Error("never terminated")
}

// The task of a cancelled job must end within the cancel deadline even if its machine sends heartbeats
// but does not carry out commands. The machine must then be terminated.
func TestCancelledTaskOnAnUnreachableMachine(t *testing.T) {
	h := newHarness(t, Options{})
	token, running := h.runTask()
	h.c.ObserveJob(h.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: h.c.cluster.Job("job-1").Spec}, 500)
	for s := range 52 {
		h.now = h.now.Add(time.Second)
		h.heartbeat("n-1", "a", token, running)
		if slices.Contains(h.step().TerminateCancelled, "n-1") {
			if s < 10 {
				t.Fatalf("terminated after %d s, before the agent had time to end the task", s)
			}
			return
		}
	}
	t.Fatal("the machine with the cancelled task was not terminated within the cancel deadline")
}
