package scheduler

import (
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// A silent machine whose lease has expired runs nothing any more, but often comes back sooner
// than another one boots: it hung, or was partitioned.
func TestMachineThatMissesHeartbeatsIsNotTerminatedImmediately(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	start := b.now
	for ; b.now < start.Add(3*simAgentLease); b.now = b.now.Add(time.Second) {
		if e := b.step(); len(e.Terminate) > 0 {
			if silent := b.now.Sub(start); silent < missedHeartbeatLeases*simAgentLease {
				t.Errorf("terminated after %v", silent)
			}
			return
		}
	}
	t.Error("never terminated")
}

// A machine that never boots is terminated in the end, and costs no more.
func TestMachineThatNeverBootsIsTerminated(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.ProvisioningGranted(b.now, wire.ProvisionRequest{Type: "m", Zone: "a", Count: 1}, []ids.MachineID{"n-9"})
	for range 120 {
		b.now = b.now.Add(500 * time.Millisecond)
		if len(b.step().Terminate) > 0 {
			return
		}
	}
	t.Error("never terminated")
}

// A cancelled job's task on a machine that sends heartbeats but does not carry out commands must
// end in time as well.
func TestCancelledTaskOnAnUnreachableMachine(t *testing.T) {
	b := newHarness(t, Options{})
	token, running := b.runTask()
	b.c.ObserveJob(b.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: b.c.cluster.Job("job-1").Spec}, 500)
	for s := range 52 {
		b.now = b.now.Add(time.Second)
		b.heartbeat("n-1", "a", token, running)
		if slices.Contains(b.step().Terminate, "n-1") {
			if s < 10 {
				t.Fatalf("terminated after %d s, before it could end the task", s)
			}
			return
		}
	}
	t.Fatal("the task was left on its machine beyond the time for cancellations")
}
