package scheduler

import (
	"testing"

	"slices"

	"ospreystile.example/ospreystile/ledger"
	"ospreystile.example/ospreystile/wire"
)

// A direct command can be carried out once more, late. Were reap sent under
// the same token as the run, the copy would start a task that is over.
func TestReapUsesATokenAboveDirectRuns(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.job("job-1", wire.Spec{Tasks: 2})
	b.step()
	e := b.step()
	if !slices.Contains(e.Direct, "n-1") {
		t.Fatalf("nothing goes to the worker at once: %+v", e)
	}
	d, _, _ := b.c.TakeDirect(b.now, "n-1")
	if got := verbs(d.Commands, wire.VerbRun); len(got) != 2 {
		t.Fatalf("runs sent: %v", got)
	}
	b.c.DirectResult(b.now, "n-1", nil)
	ended := wire.Task{Name: "job-1/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError}
	if o := b.report("n-1", "a", d.Token, ended); len(verbs(o.Commands, wire.VerbReap)) != 0 {
		t.Fatalf("reaped before the end is recorded: %+v", o)
	}
	b.step()
	o := b.report("n-1", "a", d.Token, ended)
	if got := verbs(o.Commands, wire.VerbReap); !slices.Equal(got, []string{"job-1/0#1"}) {
		t.Fatalf("reaped: %v", got)
	}
	if o.Token <= d.Token {
		t.Errorf("reap goes out under token %d, the run under %d", o.Token, d.Token)
	}
}

// A task whose start was sent but never seen moves only when the worker shows
// a token above the one it was sent under.
func TestUnansweredRunStaysUntilFenced(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.job("job-1", wire.Spec{Tasks: 1})
	b.step()
	b.step()
	d, _, _ := b.c.TakeDirect(b.now, "n-1")
	b.c.DirectResult(b.now, "n-1", nil)
	b.c.ObserveJob(b.now, "job-1", &ledger.Job{Status: wire.StatusCancelled, Tasks: 1, Spec: b.c.jobs["job-1"].spec}, 500)
	b.step()
	o := b.report("n-1", "a", d.Token)
	if b.c.quotas.Used("red").CPUs != 2 {
		t.Fatal("the task was counted as gone while its start may still arrive")
	}
	if o.Token <= d.Token {
		t.Fatalf("the counter was not raised: %d after %d", o.Token, d.Token)
	}
	b.report("n-1", "a", o.Token)
	if used := b.c.quotas.Used("red").CPUs; used != 0 {
		t.Fatalf("%v CPUs still count after the worker was fenced", used)
	}
}
