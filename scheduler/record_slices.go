package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// sliceWrite represents the change that writes an admission slice, or all parts into which it is
// split.
type sliceWrite struct {
	job   *cluster.Job
	slice *cluster.AdmissionSlice
	parts []slicePart // the first is the slice itself; nil: the slice is not split
	// placed holds the placements that the change records.
	placed []*cluster.Assignment
}

// slicePart holds one part of a split slice.
type slicePart struct {
	slice *cluster.AdmissionSlice
	tasks []int // ascending
}

// writeSlice submits a slice's record, in parts if it is too large. Each refusal halves the size
// limit of the job's next records.
func (w *recordWriter) writeSlice(j *cluster.Job, s *cluster.AdmissionSlice) {
	w.dirty.clear(s)
	s.InFlight = true
	write := &sliceWrite{job: j, slice: s, placed: unrecordedPlacements(j, s)}
	for _, a := range write.placed {
		a.Record.InFlight = true
	}
	record := w.sliceRecord(j, s.Tasks)
	limit := w.settings.valueBytes >> j.Records.Refusals
	s.Oversized = wire.ExceedsJSONSize(record, limit)
	writes := []records.SliceWrite{{SliceVersion: sliceVersion(s), Record: record}}
	if s.Oversized && w.settings.splitRecords {
		s.Oversized = false
		write.parts, writes = w.splitSlice(j, s, limit)
	}
	w.submitPending(write, records.PutSlicesChange(j.ID, j.Records.Revision, writes))
}

// unrecordedPlacements returns the placements of a slice's tasks that are not recorded.
func unrecordedPlacements(j *cluster.Job, s *cluster.AdmissionSlice) []*cluster.Assignment {
	var placed []*cluster.Assignment
	for _, i := range s.Tasks {
		if a := j.Task(i).Assignment(); a != nil && !a.Record.Committed {
			placed = append(placed, a)
		}
	}
	return placed
}

// splitSlice divides a slice into parts and adds a slice to the job for each part but the first.
// The tasks belong to the original slice until the parts are recorded.
func (w *recordWriter) splitSlice(j *cluster.Job, s *cluster.AdmissionSlice, limit int) ([]slicePart, []records.SliceWrite) {
	var parts []slicePart
	var writes []records.SliceWrite
	for k, tasks := range w.splitTasks(j, s.Tasks, limit) {
		part := s
		if k > 0 {
			j.GrowSlices(len(j.Slices()) + 1)
			part = j.Slices()[len(j.Slices())-1]
		}
		parts = append(parts, slicePart{slice: part, tasks: tasks})
		writes = append(writes, records.SliceWrite{SliceVersion: sliceVersion(part), Record: w.sliceRecord(j, tasks)})
	}
	return parts, writes
}

// splitTasks halves lists of tasks until the record of each list is within the limit in bytes or
// has one task, or until there are as many lists as one change may write.
func (w *recordWriter) splitTasks(j *cluster.Job, tasks []int, limit int) [][]int {
	lists := [][]int{tasks}
	for k := 0; k < len(lists); {
		list := lists[k]
		if len(list) < 2 || len(lists) >= w.settings.maxOperations || !wire.ExceedsJSONSize(w.sliceRecord(j, list), limit) {
			k++
			continue
		}
		half := len(list) / 2
		lists = slices.Replace(lists, k, k+1, slices.Clone(list[:half]), slices.Clone(list[half:]))
	}
	return lists
}

// sliceRecord returns the record of some of a job's tasks.
func (w *recordWriter) sliceRecord(j *cluster.Job, tasks []int) records.AdmissionSlice {
	record := records.AdmissionSlice{Nonce: w.nextNonce()}
	machineIndexes := map[ids.MachineID]int{}
	for _, i := range tasks {
		t := j.Task(i)
		switch {
		case t.State() == cluster.TaskDone:
			record.Done = append(record.Done, i)
		case t.Attempt() > 0:
			record.Tasks = append(record.Tasks, i, int(t.Attempt()), machineIndex(&record, machineIndexes, t.Assignment()))
		}
	}
	return record
}

// noMachine is the machine index of a task that is not placed.
const noMachine = -1

// machineIndex returns the index of an assignment's machine in the list of machines of a record,
// and adds the machine if it is not in the list. known holds the indexes of the listed machines.
func machineIndex(record *records.AdmissionSlice, known map[ids.MachineID]int, a *cluster.Assignment) int {
	if a == nil {
		return noMachine
	}
	index, ok := known[a.Machine.ID]
	if !ok {
		index = len(record.Machines)
		known[a.Machine.ID] = index
		record.Machines = append(record.Machines, a.Machine.ID)
		record.Zones = append(record.Zones, a.Machine.Zone())
	}
	return index
}

// sliceVersion returns the number of a slice with the revision of its record.
func sliceVersion(s *cluster.AdmissionSlice) records.SliceVersion {
	return records.SliceVersion{Number: s.Number, Revision: s.Revision}
}

func (p *sliceWrite) targetJob() *cluster.Job { return p.job }

func (p *sliceWrite) resolved() { p.slice.InFlight = false }

// committed marks the placements as recorded and queues their machines, so that run commands are
// sent.
func (p *sliceWrite) committed(w *recordWriter, revision ids.Revision) {
	p.slice.Revision = revision
	p.applySplit(w, revision)
	for _, a := range p.placed {
		a.Record.Committed, a.Record.InFlight = true, false
		w.commands.queueMachine(a.Machine)
		if a.StopReason() != cluster.StopNone && a.Current() {
			w.tasks.release(a) // a task that was stopped before it was recorded was never sent
		}
	}
	if p.job.Terminal() {
		w.markDeletable(p.job)
	}
}

// applySplit moves the tasks to the parts of a recorded split. If a task changed after the change
// was submitted, the slice is dirty. Its mark is copied to every part, since the task may now
// belong to any of them.
func (p *sliceWrite) applySplit(w *recordWriter, revision ids.Revision) {
	for _, part := range p.parts {
		part.slice.Revision = revision
		p.job.MoveToSlice(part.slice, part.tasks)
		w.dirty.copyMark(p.slice, part.slice, w.clock.Now())
	}
}

// rollBack releases the placements that were not recorded, and marks the slice as urgent unless the
// job has ended.
func (p *sliceWrite) rollBack(w *recordWriter) {
	for _, a := range p.placed {
		a.Record.InFlight = false
		if a.Current() {
			w.tasks.release(a)
		}
	}
	if p.job.Terminal() {
		w.markDeletable(p.job)
		return
	}
	w.dirty.markUrgent(p.slice, p.job, w.clock.Now())
}

func (p *sliceWrite) needsJobRevision() bool { return !p.job.Terminal() }
