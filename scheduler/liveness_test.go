package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
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

// A duplicate heartbeat must not bring back a machine that this leader terminated.
func TestDuplicateHeartbeatsDoNotReviveTerminatedMachines(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	b.c.registry.terminateMachine(b.c.cluster.Machine("n-1"), "test")
	b.step()
	b.c.MachinesTerminated(b.now, []ids.MachineID{"n-1"})
	b.heartbeat("n-1", "a", 0)
	if b.c.cluster.Machine("n-1") != nil {
		t.Fatal("it came back at the leader that terminated it")
	}
}

// The next leader does not know which machines were terminated before, and a duplicate
// heartbeat may be of one of them. It places work on a machine that shows its token.
func TestNextLeaderNeedsProofThatAMachineExists(t *testing.T) {
	b := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
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

// Most machines count as silent only if they are at least three and more than half of those
// that were heard before.
func TestMostSilent(t *testing.T) {
	for _, c := range []struct {
		name                   string
		silent, heard, booting int
		mostSilent             bool
	}{
		{"all of three", 3, 0, 0, true},
		{"both of two", 2, 0, 0, false},
		{"half", 3, 3, 0, false},
		{"more than half", 4, 3, 0, true},
		{"machines that boot do not count", 4, 3, 9, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := monotonic.Instant(time.Hour)
			present := clock.New(0)
			present.Set(now)
			l := &machineLiveness{clock: present, settings: testHealthSettings}
			var machines []*cluster.Machine
			add := func(count int, agent cluster.AgentStatus) {
				for range count {
					machines = append(machines, &cluster.Machine{Agent: agent})
				}
			}
			add(c.silent, cluster.AgentStatus{HeartbeatThisTerm: true, LastHeartbeat: now.Add(-simAgentLease/2 - 1)})
			add(c.heard, cluster.AgentStatus{HeartbeatThisTerm: true, LastHeartbeat: now.Add(-simAgentLease / 2)})
			add(c.booting, cluster.AgentStatus{})
			if got := l.mostSilent(machines); got != c.mostSilent {
				t.Errorf("most silent %v", got)
			}
		})
	}
}

// A machine that a previous leader may have terminated takes tasks only once it has shown that
// it exists.
func TestProvenAlive(t *testing.T) {
	for _, c := range []struct {
		name           string
		previousLeader bool
		machine        cluster.Machine
		proven         bool
	}{
		{"no previous leader", false, cluster.Machine{}, true},
		{"previous leader, heartbeats alone", true, cluster.Machine{Agent: cluster.AgentStatus{HeartbeatThisTerm: true}}, false},
		{"provisioned in this term", true, cluster.Machine{Lifecycle: cluster.MachineLifecycle{ProvisionedThisTerm: true}}, true},
		{"answered a call", true, cluster.Machine{Agent: cluster.AgentStatus{AnsweredCall: true}}, true},
		{"showed this leader's token", true, cluster.Machine{Agent: cluster.AgentStatus{Fenced: true}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &machineLiveness{clock: clock.New(0), settings: healthSettings{previousLeader: c.previousLeader}}
			if got := l.provenAlive(&c.machine); got != c.proven {
				t.Errorf("proven alive %v", got)
			}
		})
	}
}
