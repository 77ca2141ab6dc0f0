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

// A delayed duplicate heartbeat must not renew a lease. Its machine may have failed long before, and
// the machine's tasks must then be released so that they can be placed elsewhere.
func TestDuplicateHeartbeatsDoNotRenewALease(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	response := h.heartbeat("n-1", "a", 0)
	h.submit("job-1", wire.JobSpec{Tasks: 1, Service: true})
	h.step()
	response = h.heartbeat("n-1", "a", response.FencingToken)
	run := wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskRunning}
	h.heartbeat("n-1", "a", response.FencingToken, run)
	last := h.sequence
	for s := range 60 {
		h.now = h.now.Add(time.Second)
		for sequence := last - 1; sequence <= last; sequence++ { // an older heartbeat, and the newest one again
			h.c.Heartbeat(h.now, newHeartbeat("n-1", 1, sequence, response.FencingToken, run))
		}
		h.step()
		if m := h.c.cluster.Machine("n-1"); m == nil || len(m.Assignments()) == 0 {
			if time.Duration(s)*time.Second < simAgentLease {
				t.Fatalf("the task was released after %d s, within the lease", s)
			}
			return
		}
		if s > 3 && h.c.health.usable(h.c.cluster.Machine("n-1")) && time.Duration(s)*time.Second > 2*simHeartbeatInterval {
			t.Fatalf("the machine is usable after %d s of duplicates alone", s)
		}
	}
	t.Fatal("duplicate heartbeats renewed the lease of a failed machine")
}

// A duplicate heartbeat must not make the leader recreate a machine that it has terminated.
func TestDuplicateHeartbeatsDoNotRecreateTerminatedMachines(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	h.c.registry.terminateMachine(h.c.cluster.Machine("n-1"), "test")
	h.step()
	h.c.MachinesTerminated(h.now, []ids.MachineID{"n-1"})
	h.heartbeat("n-1", "a", 0)
	if h.c.cluster.Machine("n-1") != nil {
		t.Fatal("the terminated machine was recreated")
	}
}

// A new leader does not know which machines were terminated before its term, and a delayed heartbeat
// may come from one of them. It must place tasks only on a machine that shows the leader's fencing
// token.
func TestNextLeaderNeedsProofThatAMachineExists(t *testing.T) {
	h := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", ids.NewFencingToken(4, 7))
	h.submit("job-1", wire.JobSpec{Tasks: 1})
	h.step()
	if h.c.cluster.Job("job-1").Task(0).Assignment() != nil {
		t.Fatal("the next leader placed a task on a machine that showed only an old fencing token")
	}
	h.heartbeat("n-1", "a", ids.NewFencingToken(5, 0))
	h.c.rounds.MarkDue()
	h.step()
	if h.c.cluster.Job("job-1").Task(0).Assignment() == nil {
		t.Fatal("no task was placed on a machine that showed this leader's fencing token")
	}
}

// Most machines count as missing heartbeats only if at least three do, and more than half of those
// that sent a heartbeat in this term. Otherwise the failure of a few machines would be attributed to
// the controller's network, and the machines would not be terminated.
func TestMostMissHeartbeats(t *testing.T) {
	for _, c := range []struct {
		name                    string
		missing, alive, booting int
		want                    bool
	}{
		{"all of three", 3, 0, 0, true},
		{"both of two", 2, 0, 0, false},
		{"half", 3, 3, 0, false},
		{"more than half", 4, 3, 0, true},
		{"machines that boot do not count", 4, 3, 9, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := monotonic.Instant(time.Hour)
			testClock := clock.New(0)
			testClock.Set(now)
			l := &machineLiveness{clock: testClock, settings: testHealthSettings}
			var machines []*cluster.Machine
			add := func(count int, agent cluster.AgentStatus) {
				for range count {
					machines = append(machines, &cluster.Machine{Agent: agent})
				}
			}
			add(c.missing, cluster.AgentStatus{HeartbeatThisTerm: true, LastHeartbeat: now.Add(-simAgentLease/2 - 1)})
			add(c.alive, cluster.AgentStatus{HeartbeatThisTerm: true, LastHeartbeat: now.Add(-simAgentLease / 2)})
			add(c.booting, cluster.AgentStatus{})
			if got := l.mostMissHeartbeats(machines); got != c.want {
				t.Errorf("mostMissHeartbeats = %v", got)
			}
		})
	}
}

// A machine that a previous leader may have terminated must get tasks only once it has proved that it
// exists. Its heartbeats may otherwise all be delayed messages.
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
				t.Errorf("provenAlive = %v", got)
			}
		})
	}
}
