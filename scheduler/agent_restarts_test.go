package scheduler

import (
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// restartingAgent simulates the agent of n-1, which follows the protocol and can restart.
type restartingAgent struct {
	h           *harness
	incarnation ids.AgentIncarnation
	sequence    ids.Sequence
	token       ids.FencingToken
	tasks       []wire.TaskStatus
	// lastBatch is the last batch with commands that the agent received directly.
	lastBatch wire.CommandBatch
}

// newRestartingAgent returns an agent that has run for a while and runs the only task of job-1, which a
// direct call has started.
func newRestartingAgent(h *harness) *restartingAgent {
	const earlierHeartbeats = 100
	a := &restartingAgent{h: h, incarnation: 1, sequence: earlierHeartbeats}
	h.c.Begin(h.now)
	a.sendHeartbeat()
	h.submit("job-1", wire.JobSpec{Class: "c", Tasks: 1, Service: true})
	a.run(time.Second)
	if !a.runs("job-1/0") {
		h.t.Fatalf("tasks: %+v, want job-1/0", a.tasks)
	}
	return a
}

// status returns the next heartbeat.
func (a *restartingAgent) status() *wire.Heartbeat {
	a.sequence++
	return newHeartbeat("n-1", a.incarnation, a.sequence, a.token, a.tasks...)
}

// sendHeartbeat sends a heartbeat and carries out the commands of the response. It reports whether there was one.
func (a *restartingAgent) sendHeartbeat() bool {
	response, ok := a.h.c.Heartbeat(a.h.now, a.status())
	if ok && response.FencingToken >= a.token {
		a.token = response.FencingToken
		a.execute(response.Commands)
	}
	return ok
}

// receive carries out the commands of a direct call, or of a late duplicate, unless its token or incarnation is void.
func (a *restartingAgent) receive(batch wire.CommandBatch) *wire.Heartbeat {
	if batch.FencingToken >= a.token && batch.Incarnation == a.incarnation {
		a.token = batch.FencingToken
		a.execute(batch.Commands)
	}
	return a.status()
}

// execute carries out commands.
func (a *restartingAgent) execute(commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(a.tasks, func(t wire.TaskStatus) bool { return t.Name == command.Name && t.Attempt == command.Attempt })
		switch {
		case command.Verb == wire.VerbRun && i < 0:
			a.tasks = append(a.tasks, wire.TaskStatus{Name: command.Name, Attempt: command.Attempt, State: wire.TaskRunning})
		case command.Verb == wire.VerbKill && i >= 0:
			a.tasks[i].State, a.tasks[i].Cause = wire.TaskEnded, wire.CauseStopped
		case command.Verb == wire.VerbReap && i >= 0:
			a.tasks = slices.Delete(a.tasks, i, i+1)
		}
	}
}

// restart ends all tasks. The agent keeps its token, incarnation and sequence.
func (a *restartingAgent) restart() { a.tasks = nil }

// reset ends all tasks. The agent loses all that it knew.
func (a *restartingAgent) reset() {
	a.tasks = nil
	a.incarnation, a.sequence, a.token = 1, 0, 0
}

// runs reports whether a task runs.
func (a *restartingAgent) runs(name string) bool {
	return slices.ContainsFunc(a.tasks, func(t wire.TaskStatus) bool { return t.Name == name && t.State == wire.TaskRunning })
}

// run simulates a duration in which the agent sends a heartbeat each second and calls reach it.
func (a *restartingAgent) run(d time.Duration) {
	for until := a.h.now.Add(d); a.h.now < until; {
		a.h.now = a.h.now.Add(500 * time.Millisecond)
		a.step()
		a.h.now = a.h.now.Add(500 * time.Millisecond)
		a.sendHeartbeat()
		a.step()
	}
}

// step runs a step of the core and delivers its calls.
func (a *restartingAgent) step() {
	decisions := a.h.step()
	decisions.SendCommands = append(decisions.SendCommands, a.h.step().SendCommands...) // of what was committed in the first step
	for range decisions.SendCommands {
		if batch, _, ok := a.h.c.TakeCommands(a.h.now, "n-1"); ok {
			if len(batch.Commands) > 0 {
				a.lastBatch = batch
			}
			a.h.c.CommandsResult(a.h.now, "n-1", a.receive(batch))
		}
	}
	for range decisions.RequestHeartbeats {
		a.h.c.HeartbeatRequestResult(a.h.now, "n-1", a.status())
	}
}

// cancel has the core observe that the user cancelled job-1.
func (a *restartingAgent) cancel() {
	spec := a.h.c.cluster.Job("job-1").Spec
	a.h.c.ObserveJob(a.h.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: spec}, 900)
}

// An agent that restarted and lost its token executes late duplicates of direct calls until it gets a token above
// theirs. It must get one with its first answer. Otherwise its task starts again after it was moved: the lease that
// the answers renew is not accounted for, since its heartbeats look like duplicates.
func TestRestartedAgentRejectsLateDuplicatesFromItsFirstAnswerOn(t *testing.T) {
	a := newRestartingAgent(newHarness(t, Options{}))
	started := a.lastBatch
	a.reset()
	if !a.sendHeartbeat() || a.token <= started.FencingToken {
		t.Fatalf("token %x after the first answer, want one above that of the call, %x", a.token, started.FencingToken)
	}
	a.receive(started)
	if len(a.tasks) > 0 {
		t.Errorf("a late duplicate started %+v", a.tasks)
	}
	a.run(2 * simHeartbeatInterval)
	j := a.h.c.cluster.Job("job-1")
	if !a.runs("job-1/0") || j.Task(0).Attempt() != 2 {
		t.Errorf("attempt %d, tasks of the agent: %+v; want the task placed again", j.Task(0).Attempt(), a.tasks)
	}
}

// No controller can prevent that a duplicate reaches a restarted agent before anything else does. The
// leader must then learn of the restart although the agent's heartbeats look like duplicates, and kill
// the task of the cancelled job well within the cancel deadline.
func TestTaskOfACancelledJobOnARestartedAgentIsKilled(t *testing.T) {
	for _, reaped := range []bool{false, true} {
		a := newRestartingAgent(newHarness(t, Options{}))
		started := a.lastBatch
		a.cancel()
		if reaped {
			a.run(2 * simHeartbeatInterval)
			if len(a.tasks) > 0 {
				t.Fatalf("tasks after the cancellation: %+v", a.tasks)
			}
		}
		a.reset()
		a.receive(started)
		if !a.runs("job-1/0") {
			t.Fatal("the late duplicate did not start the task")
		}
		a.run(3 * simHeartbeatInterval)
		if a.runs("job-1/0") {
			t.Errorf("reaped before: %v: the task still runs", reaped)
		}
		if restarts := a.h.c.heartbeats.restarts.restarts; restarts != 1 {
			t.Errorf("reaped before: %v: %d restarts were detected, want 1", reaped, restarts)
		}
	}
}

// An agent that restarted and kept its token and incarnation rejects duplicates of what was void before.
func TestRestartedAgentWithItsTokenRejectsLateDuplicates(t *testing.T) {
	a := newRestartingAgent(newHarness(t, Options{}))
	started := a.lastBatch
	a.cancel()
	a.run(2 * simHeartbeatInterval)
	a.restart()
	a.receive(started)
	a.run(simHeartbeatInterval)
	if len(a.tasks) > 0 {
		t.Errorf("a late duplicate started %+v", a.tasks)
	}
}

// Heartbeats from before a restart arrive late. They must not be taken for newer ones than those of the restarted
// agent, whose sequence is lower.
func TestHeartbeatsFromBeforeARestartAreDuplicates(t *testing.T) {
	a := newRestartingAgent(newHarness(t, Options{}))
	before := a.status()
	a.reset()
	a.run(2 * simHeartbeatInterval)
	version := a.h.c.cluster.Machine("n-1").Agent.Version()
	if _, ok := a.h.c.Heartbeat(a.h.now, before); ok {
		t.Error("the heartbeat got an answer")
	}
	if got := a.h.c.cluster.Machine("n-1").Agent.Version(); got != version || got.FencingToken != a.token {
		t.Errorf("newest version %+v, before %+v, token of the agent %x", got, version, a.token)
	}
}

// The lease of an agent that may have restarted must not count as expired before a lease has passed since its
// first heartbeat that may have been sent after the restart.
func TestLeaseOfASuspectedAgentCountsFromTheSuspicion(t *testing.T) {
	a := newRestartingAgent(newHarness(t, Options{}))
	h, m := a.h, a.h.c.cluster.Machine("n-1")
	answeredAt, duplicate := m.Agent.AnsweredAt, a.status()
	h.c.Heartbeat(h.now, duplicate)
	silent := h.now
	for m.Agent.RestartSuspectedAt == 0 && h.now < silent.Add(simAgentLease) {
		h.now = h.now.Add(time.Second)
		h.c.Heartbeat(h.now, duplicate)
		h.c.Step(h.now)
	}
	suspectedAt := m.Agent.RestartSuspectedAt
	h.now = answeredAt.Add(simAgentLease + 2*time.Second)
	h.c.Step(h.now)
	if suspectedAt <= answeredAt || len(m.Assignments()) != 1 {
		t.Fatalf("suspected %v after the answer, %d assignments, want 1 within a lease of the suspicion", suspectedAt.Sub(answeredAt), len(m.Assignments()))
	}
	h.now = suspectedAt.Add(simAgentLease + 2*time.Second)
	h.c.Step(h.now)
	if len(m.Assignments()) != 0 {
		t.Error("the task was not released after the lease")
	}
}

// The order of heartbeats decides which are applied, answered or refused.
func TestHeartbeatOrder(t *testing.T) {
	const base, raised = ids.FencingToken(5 << 20), ids.FencingToken(5<<20 + 1)
	known := cluster.AgentStatus{HeartbeatThisTerm: true, FencingToken: raised, Incarnation: 2, Sequence: 40,
		NewestReport: cluster.HeartbeatVersion{FencingToken: base, Incarnation: 2, Sequence: 37}}
	required := known
	required.RequiredToken = raised + 1
	for _, c := range []struct {
		name    string
		agent   cluster.AgentStatus
		version cluster.HeartbeatVersion
		want    heartbeatOrder
	}{
		{"first of the term", cluster.AgentStatus{}, cluster.HeartbeatVersion{}, newestHeartbeat},
		{"later sequence", known, cluster.HeartbeatVersion{FencingToken: raised, Incarnation: 2, Sequence: 41}, newestHeartbeat},
		{"later incarnation", known, cluster.HeartbeatVersion{FencingToken: raised, Incarnation: 3, Sequence: 1}, newestHeartbeat},
		{"sent before the response to a call", known, cluster.HeartbeatVersion{FencingToken: base, Incarnation: 2, Sequence: 39}, overtakenHeartbeat},
		{"arrived before", known, cluster.HeartbeatVersion{FencingToken: base, Incarnation: 2, Sequence: 37}, duplicateHeartbeat},
		{"earlier incarnation", known, cluster.HeartbeatVersion{FencingToken: base, Incarnation: 1, Sequence: 90}, duplicateHeartbeat},
		{"later sequence with a lower token", known, cluster.HeartbeatVersion{FencingToken: base - 1, Incarnation: 2, Sequence: 90}, duplicateHeartbeat},
		{"restarted, higher token", known, cluster.HeartbeatVersion{FencingToken: raised + 1, Incarnation: 1, Sequence: 2}, newestHeartbeat},
		{"restarted, no token", known, cluster.HeartbeatVersion{Incarnation: 1, Sequence: 2}, unfencedHeartbeat},
		{"without the required token", required, cluster.HeartbeatVersion{FencingToken: raised, Incarnation: 2, Sequence: 41}, unfencedHeartbeat},
		{"with the required token", required, cluster.HeartbeatVersion{FencingToken: raised + 1, Incarnation: 1, Sequence: 4}, newestHeartbeat},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newDispatchFixture(t)
			f.machine.Agent = c.agent
			d := &restartDetector{clock: f.clock, commands: f.commandDispatcher, heartbeatInterval: time.Second}
			heartbeat := newHeartbeat("n-1", c.version.Incarnation, c.version.Sequence, c.version.FencingToken)
			if got := d.orderOf(f.machine, heartbeat); got != c.want {
				t.Errorf("order %d, want %d", got, c.want)
			}
		})
	}
}

// A task that failed starts elsewhere before its earlier attempt is reaped. An agent that keeps its token but
// forgets its tasks in a restart must not start that attempt again for a late duplicate of the call.
func TestEndedAttemptIsNotStartedAgainAfterARestart(t *testing.T) {
	a := newRestartingAgent(newHarness(t, Options{}))
	started := a.lastBatch
	a.tasks[0].State, a.tasks[0].Cause = wire.TaskEnded, wire.CauseError
	a.sendHeartbeat()
	if len(a.tasks) == 0 {
		t.Fatal("the attempt was reaped before its end was recorded")
	}
	a.restart()
	a.receive(started)
	if len(a.tasks) > 0 {
		t.Errorf("a late duplicate started %+v", a.tasks)
	}
}

// An agent that restarted, and whose heartbeats arrive while it receives nothing, never shows the raised token. Its
// heartbeats are answered, so its lease never counts as expired. The machine must be terminated, or its tasks
// would wait for as long as that lasts.
func TestRestartedAgentThatReceivesNothingIsTerminated(t *testing.T) {
	a := newRestartingAgent(newHarness(t, Options{}))
	h := a.h
	a.reset()
	terminated := false
	for until := h.now.Add(simAgentLease); h.now < until && !terminated; {
		h.now = h.now.Add(time.Second)
		h.c.Heartbeat(h.now, a.status()) // the response is lost
		decisions := h.step()
		for range decisions.SendCommands {
			if _, _, ok := h.c.TakeCommands(h.now, "n-1"); ok {
				h.c.CommandsResult(h.now, "n-1", nil)
			}
		}
		terminated = slices.Contains(decisions.Terminate, "n-1")
	}
	if !terminated {
		t.Error("the machine was not terminated within a lease")
	}
}
