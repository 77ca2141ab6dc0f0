package scheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// newHeartbeat returns a heartbeat of an agent in zone a with the given incarnation and sequence
// number, so that tests can deliver heartbeats out of order.
func newHeartbeat(machine ids.MachineID, incarnation ids.AgentIncarnation, sequence ids.Sequence, token ids.FencingToken, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: machine, Endpoint: string(machine), Type: "m", Zone: "a", Incarnation: incarnation, Sequence: sequence, FencingToken: token, Tasks: tasks}
}

// A machine whose heartbeats arrive, but which receives no commands, could be assigned tasks
// indefinitely without running any. It must get no further tasks and must be terminated. Its tasks
// must be placed elsewhere only after the termination.
func TestUnreachableMachineIsTerminated(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	h.submit("job-1", wire.JobSpec{Tasks: 1})
	h.step()
	h.step()
	h.awaitTerminationOfUnreachable()
	h.heartbeat("n-2", "a", 0)
	h.c.MachinesTerminated(h.now, []ids.MachineID{"n-1"})
	h.step()
	if a := h.assignmentOf("job-1"); a == nil || a.Machine.ID != "n-2" {
		t.Fatal("the task was not placed on the other machine")
	}
}

// awaitTerminationOfUnreachable steps until n-1, which receives no command, is terminated. It fails the
// test if the task of job-1 is released before, or if job-2, submitted in the meantime, is placed.
func (h *harness) awaitTerminationOfUnreachable() {
	h.t.Helper()
	for s := range 40 {
		h.now = h.now.Add(time.Second)
		e := h.step()
		h.dropCommands(e)
		if s%3 == 0 {
			h.heartbeat("n-1", "a", 0)
		}
		if s == 16 {
			h.submit("job-2", wire.JobSpec{Tasks: 1})
		}
		if h.assignmentOf("job-2") != nil {
			h.t.Fatalf("after %d s: a new task was placed on the unreachable machine", s)
		}
		if h.assignmentOf("job-1") == nil {
			h.t.Fatalf("after %d s: the task was released before its machine was terminated", s)
		}
		if slices.Contains(e.Terminate, "n-1") {
			return
		}
	}
	h.t.Fatal("the unreachable machine was not terminated")
}

// dropCommands takes the commands that a step sends, and reports that no call got a response.
func (h *harness) dropCommands(e Decisions) {
	for _, machine := range e.SendCommands {
		if _, _, ok := h.c.TakeCommands(h.now, machine); ok {
			h.c.CommandsResult(h.now, machine, nil)
		}
	}
}

// assignmentOf returns the assignment of a job's first task, or nil if the job does not exist or the
// task has no assignment.
func (h *harness) assignmentOf(id ids.JobID) *cluster.Assignment {
	if j := h.c.cluster.Job(id); j != nil {
		return j.Task(0).Assignment()
	}
	return nil
}

// A lease that expires although every heartbeat was answered shows that the machine receives no
// messages. It must get no tasks, and must be terminated unless it shows the raised fencing token,
// which proves that it receives messages again.
func TestLeaseExpiryDespiteAnsweredHeartbeats(t *testing.T) {
	for _, c := range []struct {
		name       string
		shows      ids.FencingToken // 0: the first token that the machine was given
		terminated bool
	}{
		{"receives no messages", 0, true},
		{"receives messages again", ids.NewFencingToken(5, 1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.c.Begin(h.now)
			first := h.heartbeat("n-1", "a", 0).FencingToken
			h.heartbeat("n-1", "a", first)
			h.now = h.now.Add(simHeartbeatInterval)
			h.secondIncarnation(first)
			h.submit("job-1", wire.JobSpec{Tasks: 1})
			h.step()
			if h.assignmentOf("job-1") != nil {
				t.Fatal("a task was placed on a machine that may receive no messages")
			}
			var terminated bool
			for s := 0; s < 20 && h.assignmentOf("job-1") == nil; s++ {
				h.now = h.now.Add(time.Second)
				h.secondIncarnation(cmp.Or(c.shows, first))
				terminated = terminated || slices.Contains(h.step().Terminate, "n-1")
			}
			if placed := h.assignmentOf("job-1") != nil; terminated != c.terminated || placed == c.terminated {
				t.Errorf("terminated: %v, task placed: %v", terminated, placed)
			}
		})
	}
}

// secondIncarnation sends a heartbeat of the second incarnation of n-1's agent.
func (h *harness) secondIncarnation(token ids.FencingToken) {
	h.sequence++
	h.c.Heartbeat(h.now, newHeartbeat("n-1", 2, h.sequence, token))
}

// countingTokens counts how often the fencing token was raised.
type countingTokens struct{ raised uint64 }

func (c *countingTokens) fencingToken(*cluster.Machine) ids.FencingToken {
	return ids.NewFencingToken(5, c.raised)
}

func (c *countingTokens) raiseToken(*cluster.Machine) { c.raised++ }

// A new incarnation shows that the agent lost its lease. Only if a heartbeat was answered recently does
// this prove that the response did not arrive, and only then must the machine become unreachable.
func TestNewIncarnationAfterAnAnswer(t *testing.T) {
	const answeredAt = monotonic.Instant(time.Hour)
	for _, c := range []struct {
		name        string
		incarnation ids.AgentIncarnation
		after       time.Duration // since the response
		unreachable bool
	}{
		{"same incarnation", 1, time.Second, false},
		{"new incarnation, answered recently", 2, simAgentLease*2/3 - 1, true},
		{"new incarnation, answered long ago", 2, simAgentLease * 2 / 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			testClock, tokens := clock.New(0), &countingTokens{}
			testClock.Set(answeredAt.Add(c.after))
			d := &reachabilityDetector{clock: testClock, rounds: &clock.RoundTrigger{}, tokens: tokens, settings: testHealthSettings}
			m := &cluster.Machine{Agent: cluster.AgentStatus{HeartbeatThisTerm: true, Incarnation: 1, AnsweredAt: answeredAt}}
			d.observe(m, newHeartbeat("n-1", c.incarnation, 7, tokens.fencingToken(m)))
			if m.Health.Unreachable != c.unreachable {
				t.Errorf("Unreachable = %v", m.Health.Unreachable)
			}
			if raised := tokens.raised > 0; raised != c.unreachable {
				t.Errorf("fencing token raised: %v", raised)
			}
		})
	}
}

// An unreachable machine must become reachable again once it shows its newest fencing token or answers
// a call. Otherwise it must become overdue after the acknowledge timeout, so that it is terminated.
func TestUnreachableMachineBecomesReachableAgain(t *testing.T) {
	const since = monotonic.Instant(time.Hour)
	newest := ids.NewFencingToken(5, 3)
	for _, c := range []struct {
		name    string
		show    func(d *reachabilityDetector, m *cluster.Machine)
		overdue bool
	}{
		{"an older token", func(d *reachabilityDetector, m *cluster.Machine) {
			d.observe(m, newHeartbeat("n-1", 1, 7, newest-1))
		}, true},
		{"the newest token", func(d *reachabilityDetector, m *cluster.Machine) {
			d.observe(m, newHeartbeat("n-1", 1, 7, newest))
		}, false},
		{"an answered call", (*reachabilityDetector).markReachable, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			testClock := clock.New(0)
			d := &reachabilityDetector{clock: testClock, rounds: &clock.RoundTrigger{}, tokens: &countingTokens{raised: 3}, settings: testHealthSettings}
			m := &cluster.Machine{Agent: cluster.AgentStatus{HeartbeatThisTerm: true, Incarnation: 1}}
			m.Health.Unreachable, m.Health.UnreachableSince = true, since
			testClock.Set(since.Add(d.acknowledgeTimeout()))
			c.show(d, m)
			if d.overdue(m) {
				t.Error("overdue within the acknowledge timeout")
			}
			testClock.Set(since.Add(d.acknowledgeTimeout() + 1))
			if got := d.overdue(m); got != c.overdue {
				t.Errorf("overdue = %v", got)
			}
		})
	}
}
