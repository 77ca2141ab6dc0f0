package scheduler

import (
	"testing"

	"slices"

	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// A direct command can be carried out once more, late. Were reap sent under
// the same token as the run, the copy would start a task that is over.
func TestReapUsesATokenAboveDirectRuns(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Tasks: 2})
	b.step()
	e := b.step()
	if !slices.Contains(e.SendCommands, "n-1") {
		t.Fatalf("nothing goes to the worker at once: %+v", e)
	}
	d, _, _ := b.c.TakeCommands(b.now, "n-1")
	if got := commandsWith(d.Commands, wire.VerbRun); len(got) != 2 {
		t.Fatalf("runs sent: %v", got)
	}
	b.c.CommandsResult(b.now, "n-1", nil)
	ended := wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError}
	if o := b.heartbeat("n-1", "a", d.FencingToken, ended); len(commandsWith(o.Commands, wire.VerbReap)) != 0 {
		t.Fatalf("reaped before the end is recorded: %+v", o)
	}
	b.step()
	o := b.heartbeat("n-1", "a", d.FencingToken, ended)
	if got := commandsWith(o.Commands, wire.VerbReap); !slices.Equal(got, []string{"job-1/0#1"}) {
		t.Fatalf("reaped: %v", got)
	}
	if o.FencingToken <= d.FencingToken {
		t.Errorf("reap goes out under token %d, the run under %d", o.FencingToken, d.FencingToken)
	}
}

// A task whose start was sent but never seen moves only when the worker shows
// a token above the one it was sent under.
func TestUnansweredRunStaysUntilFenced(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Tasks: 1})
	b.step()
	b.step()
	d, _, _ := b.c.TakeCommands(b.now, "n-1")
	b.c.CommandsResult(b.now, "n-1", nil)
	b.c.ObserveJob(b.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: b.c.cluster.Job("job-1").Spec}, 500)
	b.step()
	o := b.heartbeat("n-1", "a", d.FencingToken)
	if b.c.quotas.Used("red").CPUs != 2 {
		t.Fatal("the task was counted as gone while its start may still arrive")
	}
	if o.FencingToken <= d.FencingToken {
		t.Fatalf("the counter was not raised: %d after %d", o.FencingToken, d.FencingToken)
	}
	b.heartbeat("n-1", "a", o.FencingToken)
	if used := b.c.quotas.Used("red").CPUs; used != 0 {
		t.Fatalf("%v CPUs still count after the worker was fenced", used)
	}
}
