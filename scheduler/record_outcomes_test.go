package scheduler

import (
	"errors"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// The only record of a job that another writer may change is the job's own. Any other conflict ends
// the term.
func TestOnlyConflictsWithTheJobRecordAreTolerated(t *testing.T) {
	jobKey, sliceKey := records.JobKey("job-1"), records.AdmissionKey("job-1", 0)
	for _, c := range []struct {
		name        string
		jobRevision ids.Revision
		keys        []string
		endsTerm    bool
	}{
		{"the job alone", 3, []string{jobKey}, false},
		{"the slice", 3, []string{sliceKey}, true},
		{"the job and the slice", 3, []string{jobKey, sliceKey}, true},
		{"another job", 3, []string{records.JobKey("job-2")}, true},
		{"no key", 3, nil, true},
		{"a job without a record", 0, []string{jobKey}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRecordFixture(t, recordSettings{})
			j := f.addJob("job-1", 1)
			f.place(j, "n-1")
			change := f.writeOne(0)
			j.Records.Revision = c.jobRevision
			f.conflict(change, c.keys...)
			if (f.err != nil) != c.endsTerm {
				t.Fatalf("error %v", f.err)
			}
			if _, ok := errors.AsType[*records.ConflictError](f.err); ok != c.endsTerm {
				t.Errorf("%v does not wrap the conflict", f.err)
			}
		})
	}
}

// After a conflict with the job's record, its placements are released, and no change of the job is
// made until the record can be read again.
func TestConflictDelaysTheJobUntilItsRecordIsReread(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.place(j, "n-1")
	f.conflict(f.writeOne(0), records.JobKey("job-1"))
	if _, rereads := f.takeDecisions(); len(rereads) != 1 || rereads[0] != "job-1" {
		t.Errorf("rereads %v", rereads)
	}
	if len(f.released) != 1 {
		t.Errorf("released %v", f.released)
	}
	if got := f.write(rereadDelay - 1); len(got) != 0 {
		t.Errorf("changes %+v before the record was read again", got)
	}
	f.writeOne(1)
}

// The zone gate submits changes through the record writer and handles their results itself.
func TestResultsOfOtherWritersAreIgnored(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	id := f.submit(records.DeleteZoneChange("a", 3))
	f.conflict(records.Change{ID: id}, records.ZoneKey("a"))
	if f.err != nil {
		t.Error(f.err)
	}
}

// Each refusal doubles the backoff of the job's changes and of its admission, up to
// maxRefusalBackoff.
func TestRefusalsDelayTheJob(t *testing.T) {
	for _, c := range []struct {
		name     string
		refusals int
		backoff  time.Duration
	}{
		{"first", 1, 2 * time.Second},
		{"third", 3, 8 * time.Second},
		{"sixth", 6, time.Minute},
		{"last", maxRefusals, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRecordFixture(t, recordSettings{})
			j := f.addJob("job-1", 1)
			f.place(j, "n-1")
			j.Records.Refusals = c.refusals - 1
			f.refuse(f.writeOne(0))
			retryAt := f.clock.Now().Add(c.backoff)
			if j.Records.Refusals != c.refusals || j.Records.RereadAt != retryAt || j.Queue.RetryAt != retryAt {
				t.Errorf("records %+v, retry at %v, want %v", j.Records, j.Queue.RetryAt, retryAt)
			}
		})
	}
}

// After maxRefusals refused changes, nothing more is written for the job.
func TestJobIsNotWrittenAfterTooManyRefusals(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.place(j, "n-1")
	j.Records.Refusals = maxRefusals
	if got := f.write(time.Hour); len(got) != 0 {
		t.Errorf("changes %+v", got)
	}
}

// Only refusals in a row count.
func TestCommittedChangeClearsRefusals(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.place(j, "n-1")
	f.refuse(f.writeOne(0))
	f.commit(f.writeOne(time.Minute), 7)
	if j.Records.Refusals != 0 {
		t.Errorf("%d refusals", j.Records.Refusals)
	}
}

// A record is not up to date while a change of it, or the completion of its job, is marked or in
// flight. An agent could otherwise forget an attempt whose end is not recorded.
func TestRecordsAreUpToDate(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	check := func(state string, want bool) {
		t.Helper()
		if got := f.upToDate(j, 0); got != want {
			t.Errorf("%s: up to date: %v", state, got)
		}
	}
	check("submitted", true)
	f.place(j, "n-1")
	check("placed", false)
	change := f.writeOne(0)
	check("in flight", false)
	f.commit(change, 7)
	check("recorded", true)
	f.finish(j)
	check("completable", false)
	change = f.writeOne(0)
	check("completing", false)
	f.commit(change, 8)
	if j.Status() != wire.JobDone {
		t.Errorf("the job is %v", j.Status())
	}
}

// The result of a change may release tasks or end a job, so it makes a scheduling round due.
func TestResultMakesARoundDue(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	f.place(f.addJob("job-1", 1), "n-1")
	change := f.writeOne(0)
	f.rounds.Start(f.clock.Now())
	f.commit(change, 7)
	if !f.rounds.Start(f.clock.Now()) {
		t.Error("no round is due")
	}
}
