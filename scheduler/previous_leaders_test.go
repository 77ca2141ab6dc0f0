package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// While a previous leader may continue to answer agents, a cancellation must be acknowledged only once
// that leader cannot keep a task of the job running beyond the cancel deadline: each of the job's
// machines has shown a fencing token of this leader or was terminated, all controllers follow this
// leader, or the previous leader stops answering within the cancel margin.
func TestCancellationWaitsForPreviousLeaders(t *testing.T) {
	const grace = simCancelDeadline // much longer than the margin
	margin := CancelMargin(simCancelDeadline, simAgentLease)
	for _, c := range []struct {
		name         string
		arrange      func(h *harness)
		acknowledged bool
	}{
		{"no machine sent a heartbeat", func(*harness) {}, false},
		{"one machine showed this leader's token", func(h *harness) { h.heartbeat("n-1", "a", ids.NewFencingToken(5, 0)) }, false},
		{"both machines showed this leader's token", func(h *harness) {
			h.heartbeat("n-1", "a", ids.NewFencingToken(5, 0))
			h.heartbeat("n-2", "a", ids.NewFencingToken(5, 0))
		}, true},
		{"both machines showed a previous leader's token", func(h *harness) {
			h.heartbeat("n-1", "a", ids.NewFencingToken(4, 0))
			h.heartbeat("n-2", "a", ids.NewFencingToken(4, 0))
		}, false},
		{"its machines were terminated", func(h *harness) { h.c.MachinesTerminated(h.now, []ids.MachineID{"n-1", "n-2"}) }, true},
		{"all controllers follow", func(h *harness) { h.c.AllControllersFollow(h.now) }, true},
		{"just before the margin", func(h *harness) { h.now = h.now.Add(grace - margin - time.Second) }, false},
		{"within the margin", func(h *harness) { h.now = h.now.Add(grace - margin) }, true},
	} {
		h := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: grace}})
		h.inherit(wire.JobSpec{Service: true, Tasks: 2}, records.AdmissionSlice{Machines: []ids.MachineID{"n-1", "n-2"}, Zones: []ids.Zone{"a", "a"}, Tasks: []int{0, 1, 0, 1, 1, 1}})
		h.c.Begin(h.now)
		spec := wire.JobSpec{Service: true, Tasks: 2, Class: "c", Team: "red", CPUs: 2, Image: "i"}
		h.c.ObserveJob(h.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 2, Spec: &spec}, 50)
		c.arrange(h)
		if got := h.c.CanAcknowledgeCancel(h.now, "job-1"); got != c.acknowledged {
			t.Errorf("%s: acknowledged: %v", c.name, got)
		}
		if !h.c.CanAcknowledgeCancel(h.now, "job-2") {
			t.Errorf("%s: the cancellation of a job without tasks was not acknowledged", c.name)
		}
	}
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	if !h.c.PreviousLeadersWithinCancelMargin(h.now) {
		t.Error("the first leader waits for previous leaders although there are none")
	}
}

// A previous leader answers machines without replicas for the cancel margin only. Tasks on such machines
// must not delay the acknowledgement of a cancellation, and must be released sooner than replicas.
func TestTasksOnMachinesWithoutReplicasAreReleasedSooner(t *testing.T) {
	margin := CancelMargin(simCancelDeadline, simAgentLease)
	for _, c := range []struct {
		name    string
		service bool
		// unreadable reports whether the record of another job cannot be read.
		unreadable bool
		// released is the least time after the term began at which the task is released. It may be
		// exceeded by two seconds.
		released time.Duration
	}{
		{"an array", false, false, margin + simAgentLease},
		{"a service", true, false, margin + 45*time.Second + simAgentLease},
		{"an array, and another record that cannot be read", false, true, margin + 45*time.Second + simAgentLease},
	} {
		h := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: margin + 45*time.Second, PreviousLeaderGraceWithoutReplicas: margin}})
		if c.unreadable {
			h.c.LoadUnreadableJob("job-9")
		}
		h.inherit(wire.JobSpec{Service: c.service, Tasks: 1}, records.AdmissionSlice{Machines: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
		h.c.Begin(h.now)
		began, delayed := h.now, c.service || c.unreadable
		if got := h.c.CanAcknowledgeCancel(h.now, "job-1"); got == delayed {
			t.Errorf("%s: cancellation acknowledged: %v", c.name, got)
		}
		for len(h.c.cluster.Job("job-1").Active()) > 0 && h.now < began.Add(3*time.Minute) {
			h.now = h.now.Add(500 * time.Millisecond)
			h.step()
		}
		if released := h.now.Sub(began); released < c.released || released > c.released+2*time.Second {
			t.Errorf("%s: released after %v, want %v", c.name, released, c.released)
		}
	}
}

// A leader that cannot rule out a later leader is restricted to machines with recorded replicas. It must
// then answer no other machine, not even a duplicate of a heartbeat that it has answered before.
func TestOnlyMachinesWithReplicasAreAnswered(t *testing.T) {
	h := newHarness(t, Options{})
	h.heartbeat("n-1", "a", 0)
	h.submit("job-1", wire.JobSpec{Service: true, Tasks: 1})
	h.c.Step(h.now) // the replica is placed, and the write of its record is in flight
	answered := func(machine ids.MachineID, sequence ids.Sequence) bool {
		_, ok := h.c.Heartbeat(h.now, newHeartbeat(machine, 1, sequence, 0))
		return ok
	}
	h.c.RestrictToReplicas(true)
	if answered("n-1", 100) {
		t.Error("a machine whose replica is not recorded was answered")
	}
	h.c.RestrictToReplicas(false)
	h.step()
	h.c.CommitResult(h.now, records.CommitResult{Change: records.Change{ID: 1}, Revision: 900})
	answered("n-2", 1)
	h.c.RestrictToReplicas(true)
	if !answered("n-1", 101) {
		t.Error("a machine with a recorded replica was not answered")
	}
	if answered("n-2", 2) || answered("n-2", 1) || answered("n-3", 1) {
		t.Error("a machine without a recorded replica was answered")
	}
	h.c.MachinesTerminated(h.now, []ids.MachineID{"n-2"})
	if answered("n-2", 3) {
		t.Error("a terminated machine was answered")
	}
	h.c.RestrictToReplicas(false)
	if !answered("n-3", 2) {
		t.Error("a machine was not answered after the restriction was lifted")
	}
}

// A leader that is partitioned from the key-value store and its peers, but not from its agents,
// continues to answer heartbeats, so the next leader receives none. The next leader must send the agents
// its fencing token, and their next heartbeat must end the previous leader's term.
func TestNextLeaderFencesAgentsOfAnActivePreviousLeader(t *testing.T) {
	previous := newHarness(t, Options{Revision: 5})
	previousToken, run := previous.runTask()

	next := newHarness(t, Options{Revision: 9, LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
	next.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Machines: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	next.c.Begin(next.now)
	// The next leader knows the addresses from the cloud's list. It receives no heartbeats, since all
	// of them go to the previous leader. n-2 has no tasks, but must be asked as well.
	list := []wire.Machine{{ID: "n-1", Endpoint: "n-1", Type: "m", Zone: "a", Status: "running", AgeS: 60},
		{ID: "n-2", Endpoint: "n-2", Type: "m", Zone: "a", Status: "running", AgeS: 60}}
	next.c.MachineList(next.now, next.now, list)
	token := map[ids.MachineID]ids.FencingToken{"n-1": previousToken, "n-2": previousToken}
	sequence := ids.Sequence(50)
	for range 10 {
		next.now = next.now.Add(time.Second)
		e := next.step()
		for _, machine := range e.RequestHeartbeats {
			sequence++
			next.c.HeartbeatRequestResult(next.now, machine, newHeartbeat(machine, 1, sequence, token[machine]))
		}
		for _, machine := range e.SendCommands {
			if commands, _, ok := next.c.TakeCommands(next.now, machine); ok {
				token[machine] = max(token[machine], commands.FencingToken)
				sequence++
				next.c.CommandsResult(next.now, machine, newHeartbeat(machine, 1, sequence, token[machine]))
			}
		}
	}
	if m := next.c.cluster.Machine("n-2"); m == nil || !m.Agent.HeartbeatThisTerm {
		t.Error("no heartbeat was requested from the machine without tasks")
	}
	if token["n-1"].Revision() != 9 || !next.c.cluster.Machine("n-1").Agent.Fenced {
		t.Fatalf("the next leader did not fence n-1: token %d", token["n-1"])
	}
	if _, ok := previous.c.Heartbeat(previous.now, newHeartbeat("n-1", 1, sequence+1, token["n-1"], run)); ok || !previous.c.Superseded() {
		t.Fatal("the previous leader was not superseded")
	}
}

// A zone is partitioned together with its leader, services there are cancelled, and the later leaders end one after
// the other. If each of them waited anew for the isolated leader, and counted the time until a machine is terminated
// anew, then no cancellation would be acknowledged, and no machine terminated, for as long as that goes on.
func TestCancellationIsAcknowledgedAcrossFailovers(t *testing.T) {
	for _, term := range []time.Duration{5 * second, 15 * second, 25 * second} {
		t.Run(term.String(), func(t *testing.T) {
			for seed := range uint64(6) {
				testCancellationsAcrossFailovers(t, 3000+seed, term)
			}
		})
	}
}

func testCancellationsAcrossFailovers(t *testing.T, seed uint64, term time.Duration) {
	t.Helper()
	s := newScenario(t, seed)
	s.outlivingLeaders = true
	s.submitJobs(8, func(spec *wire.JobSpec) { asService(spec); spec.Spread, spec.Zone, spec.OneZone = false, "a", true })
	s.run(40 * second)
	s.faults = false
	s.failOverWithPreviousLeaderActive()
	s.isolatedZone, s.isolatedZoneUntil, s.unconfirmedUntil = "a", s.fromNow(130*second), s.fromNow(130*second)
	s.run(5 * second)
	s.cancelEachNth(2)
	limit := s.fromNow(unacknowledgedLimit)
	for s.now < limit {
		s.run(term)
		s.failOver()
	}
	for id := range s.cancelled {
		if at, acknowledged := s.cancelAcknowledgedAt[id]; !acknowledged || at > limit {
			t.Errorf("seed %d: the cancellation of %s is not acknowledged within %v", seed, id, unacknowledgedLimit)
		}
	}
	s.requireNoViolations()
}

// unacknowledgedLimit is the time after which a job about which no question is answered counts as forgotten, less
// the time between two questions of a user.
const unacknowledgedLimit = 70 * time.Second
