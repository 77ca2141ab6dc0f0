package scheduler

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// An agent must keep an ended attempt until its end is recorded. Otherwise the next leader would
// start the task again.
func TestReapsOnlyWhatIsRecorded(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *dispatchFixture, reported *cluster.ReportedTask)
		want   bool
	}{
		{"recorded", func(*dispatchFixture, *cluster.ReportedTask) {}, true},
		{"not ended", func(_ *dispatchFixture, r *cluster.ReportedTask) { r.State = wire.TaskRunning }, false},
		{"still assigned", func(f *dispatchFixture, r *cluster.ReportedTask) { r.Attempt = f.assign().Attempt }, false},
		{"of an unknown job", func(_ *dispatchFixture, r *cluster.ReportedTask) { r.Ref.Job = "job-unknown" }, true},
		{"of an ended job", func(f *dispatchFixture, _ *cluster.ReportedTask) {
			f.staleRecords[ids.TaskRef{Job: "job-1", Index: 0}] = true
			f.cluster.EndJob(f.job, wire.JobCancelled)
		}, true},
		{"of a task that the job does not have", func(_ *dispatchFixture, r *cluster.ReportedTask) { r.Ref.Index = 4 }, false},
		{"with a stale record", func(f *dispatchFixture, _ *cluster.ReportedTask) {
			f.staleRecords[ids.TaskRef{Job: "job-1", Index: 0}] = true
		}, false},
		{"with another task's record stale", func(f *dispatchFixture, _ *cluster.ReportedTask) {
			f.staleRecords[ids.TaskRef{Job: "job-1", Index: 1}] = true
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newDispatchFixture(t)
			f.report(ids.TaskRef{Job: "job-1", Index: 0}, 1, wire.TaskEnded)
			tc.change(f, &f.machine.Agent.ReportedTasks[0])
			if got := len(f.reapCommands(f.machine)) == 1; got != tc.want {
				t.Errorf("reaped: %v, want %v", got, tc.want)
			}
		})
	}
}

// An attempt is reaped only once the change that records its end is committed.
func TestReapWaitsForTheCommit(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cause wire.ExitCause
	}{
		{"the task failed", wire.CauseError},
		{"the last task of the job is done", wire.CauseDone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, Options{})
			token, ended := h.runTask()
			ended.State, ended.Cause = wire.TaskEnded, tc.cause
			countReaps := func() int {
				answer := h.heartbeat("n-1", "a", token, ended)
				token = answer.FencingToken
				return len(commandsWith(answer.Commands, wire.VerbReap))
			}
			if n := countReaps(); n != 0 {
				t.Errorf("%d reaped before the end is written", n)
			}
			changes := h.c.Step(h.now).RecordChanges
			if n := countReaps(); len(changes) == 0 || n != 0 {
				t.Errorf("%d reaped while %d changes are in flight", n, len(changes))
			}
			for _, change := range changes {
				h.c.CommitResult(h.now, records.CommitResult{Change: change, Revision: 1000})
			}
			if n := countReaps(); n != 1 {
				t.Errorf("%d reaped after the commit", n)
			}
		})
	}
}

// An attempt whose own record is up to date is not reaped until its job is recorded as done.
func TestReapWaitsForTheEndOfTheJob(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	h.submit("job-1", wire.JobSpec{Tasks: 1, CPUs: 99}) // fits no machine
	ended := wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseDone}
	if answer := h.heartbeat("n-1", "a", 0, ended); len(commandsWith(answer.Commands, wire.VerbReap)) != 1 {
		t.Fatalf("commands: %+v", answer.Commands)
	}
	h.c.records.markCompletable(h.c.cluster.Job("job-1"))
	if answer := h.heartbeat("n-1", "a", 0, ended); len(commandsWith(answer.Commands, wire.VerbReap)) != 0 {
		t.Errorf("reaped before the end of the job is recorded: %+v", answer.Commands)
	}
}

// While a direct call is in flight, the run commands that it carries are not known. Nothing is
// reaped until it has ended.
func TestNothingIsReapedDuringACall(t *testing.T) {
	f := newDispatchFixture(t)
	f.report(ids.TaskRef{Job: "job-1", Index: 0}, 1, wire.TaskEnded)
	f.machine.Commands.CallInFlight = true
	if answer := f.answerHeartbeat(f.machine); len(answer.Commands) != 0 {
		t.Errorf("commands during a call: %+v", answer.Commands)
	}
	f.machine.Commands.CallInFlight = false
	if got := commandsWith(f.answerHeartbeat(f.machine).Commands, wire.VerbReap); len(got) != 1 {
		t.Errorf("reaped after the call: %v", got)
	}
}

func TestReapCommandsAreBounded(t *testing.T) {
	f := newDispatchFixture(t)
	for index := range maxCommands {
		f.report(ids.TaskRef{Job: "job-unknown", Index: index}, 1, wire.TaskEnded)
	}
	if got := len(f.reapCommands(f.machine)); got != maxReapCommands {
		t.Errorf("%d reap commands, want %d", got, maxReapCommands)
	}
}
