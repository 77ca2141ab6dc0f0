package scheduler

import (
	"reflect"
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

func TestRecordOfASlice(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	j := f.addJob("job-1", 4)
	f.place(j, "n-1", "n-2")
	f.cluster.Complete(j.Active()[0])
	f.cluster.Release(j.Active()[1])
	want := records.AdmissionSlice{
		Nonce: uint64(ids.NewFencingToken(5, 1)),
		Hosts: []ids.MachineID{"n-1", "n-2"},
		Zones: []ids.Zone{"a", "a"},
		Tasks: []int{1, 1, noMachine, 2, 1, 0, 3, 1, 1},
		Done:  []int{0},
	}
	if got := f.sliceRecord(j, []int{0, 1, 2, 3}); !reflect.DeepEqual(got, want) {
		t.Errorf("record %+v, want %+v", got, want)
	}
}

func TestTasksThatWereNeverPlacedAreNotRecorded(t *testing.T) {
	f := newRecordFixture(t, recordSettings{})
	record := f.sliceRecord(f.addJob("job-1", 2), []int{0, 1})
	if len(record.Tasks) != 0 || len(record.Done) != 0 || len(record.Hosts) != 0 {
		t.Errorf("record %+v", record)
	}
}

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
		{"no more than a change may write", []int{0, 1, 2, 3}, 1, 3, [][]int{{0}, {1}, {2, 3}}},
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

func TestSliceIsNotWrittenTwiceAtOnce(t *testing.T) {
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

func TestSplitJobThatIsOverIsDropped(t *testing.T) {
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
	if drops := f.writeOne(0); len(drops.Operations) != 2 {
		t.Errorf("change %+v", drops)
	}
}

func TestPartsAreWrittenAgainIfTheSliceChangedMeanwhile(t *testing.T) {
	f := newRecordFixture(t, recordSettings{valueBytes: 1, splitRecords: true})
	j := f.addJob("job-1", 2)
	f.place(j, "n-1")
	change := f.writeOne(0)
	f.markTaskDirty(j, 1)
	f.commit(change, 7)
	if got := f.write(0); len(got) != 2 {
		t.Errorf("%d changes, want one of each part", len(got))
	}
}
