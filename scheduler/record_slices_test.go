package scheduler

import (
	"reflect"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// A record lists the machines of its tasks once each. It names done tasks, and tasks that were
// placed before but have no machine now.
func TestRecordOfASlice(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 4)
	f.place(j, "n-1", "n-2")
	f.cluster.Complete(j.Active()[0])
	f.cluster.Release(j.Active()[1])
	want := records.AdmissionSlice{
		Nonce:    uint64(ids.NewFencingToken(5, 1)),
		Machines: []ids.MachineID{"n-1", "n-2"},
		Zones:    []ids.Zone{"a", "a"},
		Tasks:    []int{1, 1, noMachine, 2, 1, 0, 3, 1, 1},
		Done:     []int{0},
	}
	if got := f.sliceRecord(j, []int{0, 1, 2, 3}); !reflect.DeepEqual(got, want) {
		t.Errorf("record %+v, want %+v", got, want)
	}
}

func TestTasksThatWereNeverPlacedAreNotRecorded(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	record := f.sliceRecord(f.addJob("job-1", 2), []int{0, 1})
	if len(record.Tasks) != 0 || len(record.Done) != 0 || len(record.Machines) != 0 {
		t.Errorf("record %+v", record)
	}
}

// Lists of tasks are halved until each record is within the limit, but never into more lists than
// one change may write.
func TestSplitTasks(t *testing.T) {
	for _, c := range []struct {
		name          string
		tasks         []int
		limit         int // bytes
		maxOperations int
		want          [][]int
	}{
		{"no limit", []int{0, 1, 2, 3}, 0, 8, [][]int{{0, 1, 2, 3}}},
		{"within the limit", []int{0, 1, 2, 3}, 1000, 8, [][]int{{0, 1, 2, 3}}},
		{"down to single tasks", []int{0, 1, 2, 3}, 1, 8, [][]int{{0}, {1}, {2}, {3}}},
		{"at most as many as a change may write", []int{0, 1, 2, 3}, 1, 3, [][]int{{0}, {1}, {2, 3}}},
		{"an odd number", []int{0, 1, 2}, 1, 8, [][]int{{0}, {1}, {2}}},
		{"one task", []int{2}, 1, 8, [][]int{{2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRecordFixture(t, recordSettings{maxOperations: c.maxOperations})
			j := f.addJob("job-1", 4)
			f.place(j, "n-1")
			if got := f.splitTasks(j, c.tasks, c.limit); !reflect.DeepEqual(got, c.want) {
				t.Errorf("parts %v, want %v", got, c.want)
			}
		})
	}
}

// A run command may be sent only when the placement is committed. Otherwise the next leader would
// not know of the task.
func TestPlacementsAreSentOnceRecorded(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.place(j, "n-1")
	change := f.writeOne(0)
	a := j.Active()[0]
	if a.Record.Committed || !a.Record.InFlight || len(f.queued) != 0 {
		t.Fatalf("in flight: record %+v, commands for %v", a.Record, f.queued)
	}
	f.commit(change, 7)
	if !a.Record.Committed || a.Record.InFlight || len(f.queued) != 1 {
		t.Errorf("committed: record %+v, commands for %v", a.Record, f.queued)
	}
	if got := j.Slices()[0].Revision; got != 7 {
		t.Errorf("the slice has revision %d", got)
	}
}

// A task that is stopped while its placement is in flight was never sent. It is released when the
// result is known.
func TestTaskStoppedWhileItsRecordIsInFlightIsReleased(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.place(j, "n-1")
	change := f.writeOne(0)
	f.cluster.Stop(j.Active()[0], cluster.StopPreempted)
	f.commit(change, 7)
	if len(f.released) != 1 {
		t.Errorf("released %v", f.released)
	}
}

// Two changes of one slice must not be in flight together: the second would have an old revision
// as its precondition.
func TestSliceIsNotWrittenWhileInFlight(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 1)
	f.place(j, "n-1")
	change := f.writeOne(0)
	f.markTaskDirty(j, 0)
	if got := f.write(0); len(got) != 0 {
		t.Errorf("changes %+v while one is in flight", got)
	}
	f.commit(change, 7)
	f.writeOne(0)
}

// The tasks of a split slice belong to the original slice until the parts are recorded, and then
// to the parts.
func TestSplitSlicesKeepTheirTasks(t *testing.T) {
	f := newRecordFixture(t, recordSettings{valueBytes: 1, splitRecords: true})
	j := f.addJob("job-1", 2)
	f.place(j, "n-1")
	change := f.writeOne(0)
	if len(change.Operations) != 2 || j.Task(0).Slice() != j.Task(1).Slice() {
		t.Fatalf("change %+v; the tasks must share a slice until it is recorded", change)
	}
	f.commit(change, 7)
	for index := range j.Tasks() {
		s := j.Task(index).Slice()
		if s.Number != index || s.Revision != 7 || !reflect.DeepEqual(s.Tasks, []int{index}) {
			t.Errorf("task %d is in slice %+v", index, s)
		}
	}
}

// While some controllers cannot read split slices, an oversized slice is written whole. It is
// written again in parts once splitting is enabled.
func TestOversizedSliceIsWrittenWholeUntilItMayBeSplit(t *testing.T) {
	f := newRecordFixture(t, recordSettings{valueBytes: 1})
	j := f.addJob("job-1", 2)
	f.place(j, "n-1")
	whole := f.writeOne(0)
	f.commit(whole, 7)
	if len(whole.Operations) != 1 || !j.Slices()[0].Oversized {
		t.Fatalf("change %+v, slice %+v", whole, j.Slices()[0])
	}
	f.enableSplitting()
	if split := f.writeOne(0); len(split.Operations) != 2 || j.Slices()[0].Oversized {
		t.Errorf("change %+v, slice %+v", split, j.Slices()[0])
	}
}

// If a job ends while the split of its slice is in flight, all recorded parts are deleted.
func TestSplitSlicesOfAnEndedJobAreDeleted(t *testing.T) {
	f := newRecordFixture(t, recordSettings{valueBytes: 1, splitRecords: true})
	j := f.addJob("job-1", 2)
	f.place(j, "n-1")
	change := f.writeOne(0)
	f.cluster.EndJob(j, wire.JobCancelled)
	f.discardUnwritten(j)
	for _, a := range j.Assignments() {
		f.cluster.Stop(a, cluster.StopCancelled)
	}
	f.commit(change, 7)
	if deletion := f.writeOne(0); len(deletion.Operations) != 2 {
		t.Errorf("change %+v", deletion)
	}
}

// If a task changes while the split of its slice is in flight, every part is written again, since
// the task may belong to any of them.
func TestPartsAreRewrittenIfTheSliceChangedInFlight(t *testing.T) {
	f := newRecordFixture(t, recordSettings{valueBytes: 1, splitRecords: true})
	j := f.addJob("job-1", 2)
	f.place(j, "n-1")
	change := f.writeOne(0)
	f.markTaskDirty(j, 1)
	f.commit(change, 7)
	if got := f.write(0); len(got) != 2 {
		t.Errorf("%d changes, want one per part", len(got))
	}
}
