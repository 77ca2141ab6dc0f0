package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// A duplicate heartbeat that comes late does not renew a lease: its machine may be long dead,
// and its tasks must be able to move.
func TestDuplicateHeartbeatsDoNotRenewALease(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	o := b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Tasks: 1, Service: true})
	b.step()
	o = b.heartbeat("n-1", "a", o.FencingToken)
	run := wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskRunning}
	b.heartbeat("n-1", "a", o.FencingToken, run)
	last := b.sequence
	for s := range 60 {
		b.now = b.now.Add(time.Second)
		for tick := last - 1; tick <= last; tick++ { // older ones, and the newest once more
			b.c.Heartbeat(b.now, newHeartbeat("n-1", 1, tick, o.FencingToken, run))
		}
		b.step()
		if m := b.c.cluster.Machine("n-1"); m == nil || len(m.Assignments()) == 0 {
			if time.Duration(s)*time.Second < simAgentLease {
				t.Fatalf("its task was released after %d s, within the lease", s)
			}
			return
		}
		if s > 3 && b.c.health.usable(b.c.cluster.Machine("n-1")) && time.Duration(s)*time.Second > 2*simHeartbeatInterval {
			t.Fatalf("after %d s of duplicates alone it counts as usable", s)
		}
	}
	t.Fatal("duplicates renewed a dead machine's lease")
}

// A duplicate heartbeat must not bring back a terminated machine: not at the leader that
// terminated it, and not at the next one, which never knew of it.
func TestDuplicateHeartbeatsDoNotReviveTerminatedMachines(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	b.c.registry.returnMachine(b.c.cluster.Machine("n-1"), "test")
	b.step()
	b.c.MachinesTerminated(b.now, []ids.MachineID{"n-1"})
	b.heartbeat("n-1", "a", 0)
	if b.c.cluster.Machine("n-1") != nil {
		t.Fatal("it came back at the leader that terminated it")
	}

	b = newHarness(t, Options{PreviousLeader: true, PreviousLeaderGrace: time.Minute})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", ids.NewFencingToken(4, 7))
	b.submit("job-1", wire.JobSpec{Tasks: 1})
	b.step()
	if b.c.cluster.Job("job-1").Task(0).Assignment() != nil {
		t.Fatal("the next leader placed work on a machine of which it has only an old heartbeat")
	}
	b.heartbeat("n-1", "a", ids.NewFencingToken(5, 0))
	b.c.rounds.MarkDue()
	b.step()
	if b.c.cluster.Job("job-1").Task(0).Assignment() == nil {
		t.Fatal("a machine that shows this leader's token is not used")
	}
}
