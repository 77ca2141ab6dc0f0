package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// While a previous leader may go on answering workers, a cancellation is acknowledged only once
// that leader cannot keep a task of the job running: each of its machines has shown a fencing
// token of this leader or was terminated, all controllers follow this leader, or the previous
// leader's time ends early enough.
func TestCancellationWaitsForPreviousLeaders(t *testing.T) {
	const grace = simCancelDeadline // well beyond the margin
	margin := CancelMargin(simCancelDeadline, simAgentLease)
	for _, c := range []struct {
		name         string
		bring        func(b *harness)
		acknowledged bool
	}{
		{"its machine was not heard", func(*harness) {}, false},
		{"one of its machines was heard", func(b *harness) { b.heartbeat("n-1", "a", ids.NewFencingToken(5, 0)) }, false},
		{"its machines were heard", func(b *harness) {
			b.heartbeat("n-1", "a", ids.NewFencingToken(5, 0))
			b.heartbeat("n-2", "a", ids.NewFencingToken(5, 0))
		}, true},
		{"they have yet to show this leader's token", func(b *harness) {
			b.heartbeat("n-1", "a", ids.NewFencingToken(4, 0))
			b.heartbeat("n-2", "a", ids.NewFencingToken(4, 0))
		}, false},
		{"its machines were terminated", func(b *harness) { b.c.MachinesTerminated(b.now, []ids.MachineID{"n-1", "n-2"}) }, true},
		{"all controllers follow", func(b *harness) { b.c.AllControllersFollow(b.now) }, true},
		{"just before the margin", func(b *harness) { b.now = b.now.Add(grace - margin - time.Second) }, false},
		{"within the margin", func(b *harness) { b.now = b.now.Add(grace - margin) }, true},
	} {
		b := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: grace}})
		b.inherit(wire.JobSpec{Service: true, Tasks: 2}, records.AdmissionSlice{Hosts: []ids.MachineID{"n-1", "n-2"}, Zones: []ids.Zone{"a", "a"}, Tasks: []int{0, 1, 0, 1, 1, 1}})
		b.c.Begin(b.now)
		spec := wire.JobSpec{Service: true, Tasks: 2, Class: "c", Team: "red", CPUs: 2, Image: "i"}
		b.c.ObserveJob(b.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 2, Spec: &spec}, 50)
		c.bring(b)
		if got := b.c.CanAcknowledgeCancel(b.now, "job-1"); got != c.acknowledged {
			t.Errorf("%s: acknowledged: %v", c.name, got)
		}
		if !b.c.CanAcknowledgeCancel(b.now, "job-2") {
			t.Errorf("%s: a job without tasks is held back", c.name)
		}
	}
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	if !b.c.PreviousLeadersHarmless(b.now) {
		t.Error("the first leader waits for previous ones")
	}
}

// An earlier leader answers machines without replicas for the margin alone, so what is on
// them holds no cancellation back, and moves on sooner.
func TestMachinesWithoutReplicasAreReleasedSooner(t *testing.T) {
	margin := CancelMargin(simCancelDeadline, simAgentLease)
	for _, c := range []struct {
		name    string
		service bool
		unclear bool
		free    time.Duration // after the term began, give or take two seconds
	}{
		{"an array", false, false, margin + simAgentLease},
		{"a service", true, false, margin + 45*time.Second + simAgentLease},
		{"an array beside a record that cannot be read", false, true, margin + 45*time.Second + simAgentLease},
	} {
		b := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: margin + 45*time.Second, PreviousLeaderGraceWithoutReplicas: margin}})
		if c.unclear {
			b.c.LoadUnreadableJob("job-9")
		}
		b.inherit(wire.JobSpec{Service: c.service, Tasks: 1}, records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
		b.c.Begin(b.now)
		began, held := b.now, c.service || c.unclear
		if got := b.c.CanAcknowledgeCancel(b.now, "job-1"); got == held {
			t.Errorf("%s: its cancellation is acknowledged: %v", c.name, got)
		}
		for len(b.c.cluster.Job("job-1").Active()) > 0 && b.now < began.Add(3*time.Minute) {
			b.now = b.now.Add(500 * time.Millisecond)
			b.step()
		}
		if free := b.now.Sub(began); free < c.free || free > c.free+2*time.Second {
			t.Errorf("%s: free after %v, want %v", c.name, free, c.free)
		}
	}
}

// A leader that cannot rule out a later one answers machines with recorded replicas alone
// once it may not answer all: later copies of their reports included.
func TestOnlyMachinesWithReplicasAreAnswered(t *testing.T) {
	b := newHarness(t, Options{})
	b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Service: true, Tasks: 1})
	b.c.Step(b.now) // the replica is placed, and its record on its way
	report := func(host ids.MachineID, sequence ids.Sequence) bool {
		_, ok := b.c.Heartbeat(b.now, newHeartbeat(host, 1, sequence, 0))
		return ok
	}
	b.c.RestrictToReplicas(true)
	if report("n-1", 100) {
		t.Error("answered for a replica that is not recorded")
	}
	b.c.RestrictToReplicas(false)
	b.step()
	b.c.CommitResult(b.now, records.CommitResult{Change: records.Change{ID: 1}, Revision: 900})
	report("n-2", 1)
	b.c.RestrictToReplicas(true)
	if !report("n-1", 101) {
		t.Error("a machine with a recorded replica is not answered")
	}
	if report("n-2", 2) || report("n-2", 1) || report("n-3", 1) {
		t.Error("a machine without one is answered")
	}
	b.c.MachinesTerminated(b.now, []ids.MachineID{"n-2"})
	if report("n-2", 3) {
		t.Error("a terminated machine is answered")
	}
	b.c.RestrictToReplicas(false)
	if !report("n-3", 2) {
		t.Error("not answered although all may be")
	}
}

// A leader that lost the store and its peers, but not its workers, goes on answering them. The
// next leader sends the workers its fencing token, and their next heartbeat ends the previous
// leader's term.
func TestNextLeaderTakesWorkersFromAnActivePreviousLeader(t *testing.T) {
	old := newHarness(t, Options{Revision: 5})
	oldToken, run := old.runTask()

	next := newHarness(t, Options{Revision: 9, LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
	next.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	next.c.Begin(next.now)
	// It knows the address from the list, and has no report: all of them go
	// to the old leader. The same holds of a machine without tasks.
	list := []wire.Machine{{ID: "n-1", Endpoint: "n-1", Type: "m", Zone: "a", Status: "running", AgeS: 60},
		{ID: "n-2", Endpoint: "n-2", Type: "m", Zone: "a", Status: "running", AgeS: 60}}
	next.c.MachineList(next.now, next.now, list)
	token := map[ids.MachineID]ids.FencingToken{"n-1": oldToken, "n-2": oldToken}
	tick := ids.Sequence(50)
	for range 10 {
		next.now = next.now.Add(time.Second)
		e := next.step()
		for _, h := range e.RequestHeartbeats {
			tick++
			next.c.HeartbeatRequestResult(next.now, h, newHeartbeat(h, 1, tick, token[h]))
		}
		for _, h := range e.SendCommands {
			if d, _, ok := next.c.TakeCommands(next.now, h); ok {
				token[h] = max(token[h], d.FencingToken)
				tick++
				next.c.CommandsResult(next.now, h, newHeartbeat(h, 1, tick, token[h]))
			}
		}
	}
	if m := next.c.cluster.Machine("n-2"); m == nil || !m.Agent.HeartbeatThisTerm {
		t.Error("a machine without tasks was not asked")
	}
	if token["n-1"].Revision() != 9 || !next.c.cluster.Machine("n-1").Agent.Fenced {
		t.Fatalf("n-1 was not fenced by the next leader: token %d", token["n-1"])
	}
	if _, ok := old.c.Heartbeat(old.now, newHeartbeat("n-1", 1, tick+1, token["n-1"], run)); ok || !old.c.Superseded() {
		t.Fatal("the previous leader goes on")
	}
}
