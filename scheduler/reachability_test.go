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

// newHeartbeat is a heartbeat as an agent in zone a would send it, for messages out of order.
func newHeartbeat(host ids.MachineID, tenure ids.AgentIncarnation, tick ids.Sequence, token ids.FencingToken, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: host, Endpoint: string(host), Type: "m", Zone: "a", Incarnation: tenure, Sequence: tick, FencingToken: token, Tasks: tasks}
}

// A machine whose heartbeats arrive, but which receives nothing, would take work for ever
// and do none. It gets no more, is terminated, and its work moves only then.
func TestUnreachableMachineIsTerminated(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Tasks: 1})
	b.step()
	b.step()
	b.awaitTerminationOfUnreachable()
	b.heartbeat("n-2", "a", 0)
	b.c.MachinesTerminated(b.now, []ids.MachineID{"n-1"})
	b.step()
	if a := b.assignmentOf("job-1"); a == nil || a.Machine.ID != "n-2" {
		t.Fatal("its task did not move")
	}
}

// awaitTerminationOfUnreachable steps until n-1 is terminated, which gets no command. The
// task of job-1 stays on it, and job-2, submitted meanwhile, is not placed on it.
func (b *harness) awaitTerminationOfUnreachable() {
	b.t.Helper()
	for s := range 40 {
		b.now = b.now.Add(time.Second)
		e := b.step()
		b.loseCommands(e)
		if s%3 == 0 {
			b.heartbeat("n-1", "a", 0)
		}
		if s == 16 {
			b.submit("job-2", wire.JobSpec{Tasks: 1})
		}
		if b.assignmentOf("job-2") != nil {
			b.t.Fatalf("after %d s: new work was placed on it", s)
		}
		if b.assignmentOf("job-1") == nil {
			b.t.Fatalf("after %d s: its task was released before it was terminated", s)
		}
		if slices.Contains(e.Terminate, "n-1") {
			return
		}
	}
	b.t.Fatal("never terminated")
}

// loseCommands takes the commands that a step sends, and gives no response to them.
func (b *harness) loseCommands(e Decisions) {
	for _, machine := range e.SendCommands {
		if _, _, ok := b.c.TakeCommands(b.now, machine); ok {
			b.c.CommandsResult(b.now, machine, nil)
		}
	}
}

// assignmentOf is the assignment of a job's first task, or nil if it or the job has none.
func (b *harness) assignmentOf(id ids.JobID) *cluster.Assignment {
	if j := b.c.cluster.Job(id); j != nil {
		return j.Task(0).Assignment()
	}
	return nil
}

// A lease that expires although every heartbeat was answered shows that the machine receives
// nothing. One that then shows the new token has only missed something.
func TestLeaseLostWhileAnswered(t *testing.T) {
	for _, c := range []struct {
		name       string
		shows      ids.FencingToken // 0: the first one it was told
		terminated bool
	}{
		{"receives nothing", 0, true},
		{"receives again", ids.NewFencingToken(5, 1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.c.Begin(b.now)
			first := b.heartbeat("n-1", "a", 0).FencingToken
			b.heartbeat("n-1", "a", first)
			b.now = b.now.Add(simHeartbeatInterval)
			b.secondIncarnation(first)
			b.submit("job-1", wire.JobSpec{Tasks: 1})
			b.step()
			if b.assignmentOf("job-1") != nil {
				t.Fatal("work was placed on a machine that may receive nothing")
			}
			var terminated bool
			for s := 0; s < 20 && b.assignmentOf("job-1") == nil; s++ {
				b.now = b.now.Add(time.Second)
				b.secondIncarnation(cmp.Or(c.shows, first))
				terminated = terminated || slices.Contains(b.step().Terminate, "n-1")
			}
			if placed := b.assignmentOf("job-1") != nil; terminated != c.terminated || placed == c.terminated {
				t.Errorf("terminated %v, work placed %v", terminated, placed)
			}
		})
	}
}

// secondIncarnation has n-1 send a heartbeat of its agent's second incarnation.
func (b *harness) secondIncarnation(token ids.FencingToken) {
	b.sequence++
	b.c.Heartbeat(b.now, newHeartbeat("n-1", 2, b.sequence, token))
}

// countingTokens counts how often a machine was given a new fencing token.
type countingTokens struct{ raised uint64 }

func (c *countingTokens) tokenOf(*cluster.Machine) ids.FencingToken {
	return ids.NewFencingToken(5, c.raised)
}

func (c *countingTokens) raiseToken(*cluster.Machine) { c.raised++ }

// A new incarnation shows that the agent lost its lease. Only if a heartbeat was answered
// lately, the answer cannot have arrived.
func TestNewIncarnationAfterAnAnswer(t *testing.T) {
	const answeredAt = monotonic.Instant(time.Hour)
	for _, c := range []struct {
		name        string
		incarnation ids.AgentIncarnation
		after       time.Duration // since the answer
		unreachable bool
	}{
		{"same incarnation", 1, time.Second, false},
		{"new incarnation, answered lately", 2, simAgentLease*2/3 - 1, true},
		{"new incarnation, answered long ago", 2, simAgentLease * 2 / 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			present, tokens := clock.New(0), &countingTokens{}
			present.Set(answeredAt.Add(c.after))
			d := &reachabilityDetector{clock: present, rounds: &clock.RoundTrigger{}, tokens: tokens, settings: testHealthSettings}
			m := &cluster.Machine{Agent: cluster.AgentStatus{HeartbeatThisTerm: true, Incarnation: 1, AnsweredAt: answeredAt}}
			d.observe(m, newHeartbeat("n-1", c.incarnation, 7, tokens.tokenOf(m)))
			if m.Health.Unreachable != c.unreachable {
				t.Errorf("unreachable %v", m.Health.Unreachable)
			}
			if raised := tokens.raised > 0; raised != c.unreachable {
				t.Errorf("new fencing token %v", raised)
			}
		})
	}
}

// An unreachable machine counts as reachable again once it shows its newest token or answers
// a call, and is overdue otherwise.
func TestUnreachableMachineShowsThatItReceives(t *testing.T) {
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
		{"an answered call", (*reachabilityDetector).confirm, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			present := clock.New(0)
			d := &reachabilityDetector{clock: present, rounds: &clock.RoundTrigger{}, tokens: &countingTokens{raised: 3}, settings: testHealthSettings}
			m := &cluster.Machine{Agent: cluster.AgentStatus{HeartbeatThisTerm: true, Incarnation: 1}}
			m.Health.Unreachable, m.Health.UnreachableSince = true, since
			present.Set(since.Add(d.acknowledgeTimeout()))
			c.show(d, m)
			if d.overdue(m) {
				t.Error("overdue within its time")
			}
			present.Set(since.Add(d.acknowledgeTimeout() + 1))
			if got := d.overdue(m); got != c.overdue {
				t.Errorf("overdue %v", got)
			}
		})
	}
}
