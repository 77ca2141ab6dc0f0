package scheduler

import (
	"testing"

	"slices"

	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// A direct call may be delivered a second time, late. If a reap command had the same token as the
// run command of the call, the second delivery would start a task that has ended.
func TestReapUsesATokenAboveDirectRuns(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	h.submit("job-1", wire.JobSpec{Tasks: 2})
	h.step()
	decisions := h.step()
	if !slices.Contains(decisions.SendCommands, "n-1") {
		t.Fatalf("the agent is not called: %+v", decisions)
	}
	batch, _, _ := h.c.TakeCommands(h.now, "n-1")
	if got := commandsWith(batch.Commands, wire.VerbRun); len(got) != 2 {
		t.Fatalf("run commands: %v", got)
	}
	h.c.CommandsResult(h.now, "n-1", nil)
	ended := wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError}
	if answer := h.heartbeat("n-1", "a", batch.FencingToken, ended); len(commandsWith(answer.Commands, wire.VerbReap)) != 0 {
		t.Fatalf("reaped before the end is recorded: %+v", answer)
	}
	h.step()
	answer := h.heartbeat("n-1", "a", batch.FencingToken, ended)
	if got := commandsWith(answer.Commands, wire.VerbReap); !slices.Equal(got, []string{"job-1/0#1"}) {
		t.Fatalf("reaped: %v", got)
	}
	if answer.FencingToken <= batch.FencingToken {
		t.Errorf("the reap command has token %d, the run command %d", answer.FencingToken, batch.FencingToken)
	}
}

// A stopped task whose run command was sent but whose start no heartbeat has shown may still start.
// It is released only when the agent shows a token above the one of the run command.
func TestUnansweredRunIsNotReleasedUntilFenced(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	h.submit("job-1", wire.JobSpec{Tasks: 1})
	h.step()
	h.step()
	batch, _, _ := h.c.TakeCommands(h.now, "n-1")
	h.c.CommandsResult(h.now, "n-1", nil)
	h.c.ObserveJob(h.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: h.c.cluster.Job("job-1").Spec}, 500)
	h.step()
	answer := h.heartbeat("n-1", "a", batch.FencingToken)
	if h.c.quotas.Used("red").CPUs != 2 {
		t.Fatal("the task was released while its run command may still arrive")
	}
	if answer.FencingToken <= batch.FencingToken {
		t.Fatalf("the token was not raised: %d after %d", answer.FencingToken, batch.FencingToken)
	}
	h.heartbeat("n-1", "a", answer.FencingToken)
	if used := h.c.quotas.Used("red").CPUs; used != 0 {
		t.Fatalf("%v CPUs are in use after the agent was fenced", used)
	}
}
