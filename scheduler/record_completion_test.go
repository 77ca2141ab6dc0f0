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

// finishedJob returns a fixture with a job whose placements are recorded and whose tasks are
// all done.
func finishedJob(t *testing.T, tasks int) (*recordFixture, *cluster.Job) {
	t.Helper()
	f := newRecordFixture(t, recordSettings{maxOperations: 8, writesPerSecond: 1000})
	j := f.addJob("job-1", tasks)
	f.place(j, "n-1")
	for _, change := range f.write(0) {
		f.commit(change, 7)
	}
	f.finish(j)
	return f, j
}

// The change that completes a job deletes its slices. The job ends only when it is committed.
func TestCompletionDeletesTheSlices(t *testing.T) {
	f, j := finishedJob(t, 8)
	change := f.writeOne(0)
	if len(change.Operations) != 3 || j.Status() != wire.JobQueued {
		t.Fatalf("change %+v, the job is %v before it is committed", change, j.Status())
	}
	f.commit(change, 8)
	if j.Status() != wire.JobDone || f.observed["job-1"] == nil || j.Records.Revision != 8 {
		t.Errorf("the job is %v at revision %d, observed %+v", j.Status(), j.Records.Revision, f.observed)
	}
	if got := f.write(0); len(got) != 0 || f.cluster.Job("job-1") != nil {
		t.Errorf("changes %+v; the job must be removed", got)
	}
}

// A change has a limited number of operations, so slices that exceed it are deleted by later
// changes.
func TestSlicesBeyondOneChangeAreDeletedLater(t *testing.T) {
	f, _ := finishedJob(t, 4*14)
	var operations []int
	for f.cluster.Job("job-1") != nil {
		changes := f.write(0)
		for _, change := range changes {
			operations = append(operations, len(change.Operations))
			f.commit(change, 8)
		}
		if len(operations) > 9 {
			t.Fatalf("changes with %v operations", operations)
		}
	}
	if want := []int{7, 7, 1}; !slices.Equal(operations, want) {
		t.Errorf("changes with %v operations, want %v", operations, want)
	}
}

// While the write budget is scarce, a completion takes one operation. Its slices are deleted after
// it.
func TestScarceCompletionsDeleteNoSlice(t *testing.T) {
	f, j := finishedJob(t, 1)
	f.budget.available = f.budget.perSecond/2 - 1
	change := f.writeOne(0)
	if len(change.Operations) != 1 {
		t.Errorf("change %+v", change)
	}
	f.commit(change, 8)
	if deletion := f.writeOne(0); len(deletion.Operations) != 1 || deletion.Operations[0].DeleteKey != records.AdmissionKey(j.ID, 0) {
		t.Errorf("change %+v", deletion)
	}
}

// A completion that conflicts with the job's record is retried once that record is read again.
func TestConflictingCompletionIsRetried(t *testing.T) {
	f, j := finishedJob(t, 1)
	f.conflict(f.writeOne(0), records.JobKey("job-1"))
	if j.Records.CompletionInFlight || j.Status() != wire.JobQueued {
		t.Errorf("the job is %v, records %+v", j.Status(), j.Records)
	}
	f.commit(f.writeOne(rereadDelay), 9)
	if j.Status() != wire.JobDone {
		t.Errorf("the job is %v", j.Status())
	}
}

// If a completion conflicts because the job was cancelled, it is not retried, and the job's slices
// are deleted.
func TestCompletionOfACancelledJobIsNotRetried(t *testing.T) {
	f, j := finishedJob(t, 1)
	change := f.writeOne(0)
	f.cluster.EndJob(j, wire.JobCancelled)
	f.discardUnwritten(j)
	f.conflict(change, records.JobKey("job-1"))
	deletion := f.writeOne(rereadDelay)
	if got := deletion.Operations[0].DeleteKey; len(deletion.Operations) != 1 || got != records.AdmissionKey("job-1", 0) {
		t.Errorf("change %+v", deletion)
	}
	if _, rereads := f.takeDecisions(); len(rereads) != 0 {
		t.Errorf("rereads %v", rereads)
	}
}

// A completion deletes slices at their revisions. It waits while a slice is in flight, since the
// revision of that slice is not known.
func TestJobIsNotCompletedWhileASliceIsInFlight(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.place(j, "n-1")
	placement := f.writeOne(0)
	f.finish(j)
	if got := f.write(0); len(got) != 0 {
		t.Fatalf("changes %+v while the slice is in flight", got)
	}
	f.commit(placement, 7)
	if got := f.writeOne(0).Operations[0].PutKey; got != records.JobKey("job-1") {
		t.Errorf("wrote %s", got)
	}
}

// The slices of a cancelled job are kept while one of its tasks may still be on a machine.
func TestSlicesAreKeptWhileATaskMayBeOnAMachine(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.place(j, "n-1")
	f.commit(f.writeOne(0), 7)
	f.cluster.EndJob(j, wire.JobCancelled)
	f.discardUnwritten(j)
	f.markDeletable(j)
	if got := f.write(time.Hour); len(got) != 0 {
		t.Fatalf("changes %+v while the task is on its machine", got)
	}
	f.release(j.Active()[0])
	f.writeOne(0)
}

// A job that is cancelled because a job that it depends on is cancelled is removed once its own
// record says so.
func TestCascadedCancelIsRecorded(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.cluster.EndJob(j, wire.JobCancelled)
	f.markCascadedCancel(j)
	f.markDeletable(j)
	f.commit(f.writeOne(0), 8)
	if j.Records.CancelUnrecorded || j.Records.Revision != 8 {
		t.Errorf("records %+v", j.Records)
	}
	if got := f.write(0); len(got) != 0 || f.cluster.Job("job-1") != nil {
		t.Errorf("changes %+v; the job must be removed", got)
	}
}

// A cascaded cancel that fails is retried after a delay, unless the job's user has cancelled it in
// the meantime.
func TestCascadedCancelIsRetried(t *testing.T) {
	for _, c := range []struct {
		name            string
		fail            func(f *recordFixture, change records.Change)
		wait            time.Duration
		rereads         []ids.JobID
		cancelledByUser bool
		changes         int
	}{
		{"conflict", func(f *recordFixture, ch records.Change) { f.conflict(ch, records.JobKey("job-1")) }, rereadDelay, []ids.JobID{"job-1"}, false, 1},
		{"refusal", (*recordFixture).refuse, 2 * time.Second, nil, false, 1},
		{"conflict with the user's cancellation", func(f *recordFixture, ch records.Change) { f.conflict(ch, records.JobKey("job-1")) }, rereadDelay, []ids.JobID{"job-1"}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRecordFixture(t, recordSettings{})
			j := f.addJob("job-1", 1)
			f.cluster.EndJob(j, wire.JobCancelled)
			f.markCascadedCancel(j)
			c.fail(f, f.writeOne(0))
			if _, rereads := f.takeDecisions(); len(rereads) != len(c.rereads) {
				t.Errorf("rereads %v, want %v", rereads, c.rereads)
			}
			if got := f.write(c.wait - 1); len(got) != 0 {
				t.Errorf("changes %+v too early", got)
			}
			if c.cancelledByUser {
				f.cancelRecorded(j)
			}
			if got := f.write(1); len(got) != c.changes {
				t.Errorf("changes %+v", got)
			}
		})
	}
}

// After a refusal a completion deletes half as many slices, so that the change is smaller.
func TestRefusedCompletionDeletesFewerSlices(t *testing.T) {
	f, _ := finishedJob(t, 4*14)
	first := f.writeOne(0)
	f.refuse(first)
	if second := f.writeOne(time.Minute); len(first.Operations) != 7 || len(second.Operations) != 4 {
		t.Errorf("%d operations, then %d", len(first.Operations), len(second.Operations))
	}
}

// A job is not removed from the cluster state while its cascaded cancel is in flight.
func TestJobIsKeptUntilItsCancellationIsRecorded(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.cluster.EndJob(j, wire.JobCancelled)
	f.markCascadedCancel(j)
	f.markDeletable(j)
	f.writeOne(0)
	if f.write(0); f.cluster.Job("job-1") == nil {
		t.Error("the job was removed while its cancellation was in flight")
	}
}
