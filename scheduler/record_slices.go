package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// writeSlice submits a slice's record, in parts if it is too large.
func (w *recordWriter) writeSlice(j *cluster.Job, s *cluster.AdmissionSlice) {
	w.dirty.clear(s)
	s.InFlight = true
	p := &pendingChange{job: j, slice: s}
	for _, i := range s.Tasks {
		if a := j.Task(i).Assignment(); a != nil && !a.Record.Committed {
			a.Record.InFlight = true
			p.placed = append(p.placed, a)
		}
	}
	record := w.sliceRecord(j, s.Tasks)
	writes := []records.SliceWrite{{SliceVersion: records.SliceVersion{Number: s.Number, Revision: s.Revision}, Record: record}}
	limit := w.core.opt.ValueBytes >> j.Records.Refusals
	s.Oversized = wire.ExceedsJSONSize(record, limit)
	if s.Oversized && w.core.opt.SplitRecords {
		s.Oversized = false
		var recs []records.AdmissionSlice
		p.split, recs = w.splitTasks(j, s.Tasks, limit)
		writes[0].Record = recs[0]
		p.parts = []*cluster.AdmissionSlice{s}
		for _, record := range recs[1:] {
			j.GrowSlices(len(j.Slices()) + 1)
			part := j.Slices()[len(j.Slices())-1]
			p.parts = append(p.parts, part)
			writes = append(writes, records.SliceWrite{SliceVersion: records.SliceVersion{Number: part.Number}, Record: record})
		}
	}
	w.submitChange(p, records.PutSlicesChange(j.ID, j.Records.Revision, writes))
}

// splitTasks divides the tasks of a record that is too large into parts whose records are
// not, no more than one change may write.
func (w *recordWriter) splitTasks(j *cluster.Job, tasks []int, limit int) (parts [][]int, recs []records.AdmissionSlice) {
	parts = [][]int{tasks}
	for k := 0; k < len(parts); {
		list := parts[k]
		rec := w.sliceRecord(j, list)
		if len(list) < 2 || len(parts) >= w.core.opt.TxnOps || !wire.ExceedsJSONSize(rec, limit) {
			recs = append(recs, rec)
			k++
			continue
		}
		half := len(list) / 2
		parts = slices.Replace(parts, k, k+1, slices.Clone(list[:half]), slices.Clone(list[half:]))
	}
	return parts, recs
}

// sliceRecord is the record of some of a job's tasks.
func (w *recordWriter) sliceRecord(j *cluster.Job, tasks []int) records.AdmissionSlice {
	rec := records.AdmissionSlice{Nonce: w.nextNonce()}
	place := map[ids.MachineID]int{}
	for _, i := range tasks {
		t := j.Task(i)
		if t.State() == cluster.TaskDone {
			rec.Done = append(rec.Done, i)
			continue
		}
		if t.Attempt() == 0 {
			continue
		}
		at := -1
		if t.Assignment() != nil {
			h, ok := place[t.Assignment().Machine.ID]
			if !ok {
				h = len(rec.Hosts)
				place[t.Assignment().Machine.ID] = h
				rec.Hosts = append(rec.Hosts, t.Assignment().Machine.ID)
				rec.Zones = append(rec.Zones, t.Assignment().Machine.Zone())
			}
			at = h
		}
		rec.Tasks = append(rec.Tasks, i, int(t.Attempt()), at)
	}
	return rec
}

// applySplit makes the slices of a split that is recorded. What happened to their tasks
// since belongs to the parts.
func (w *recordWriter) applySplit(p *pendingChange, revision ids.Revision) {
	for k, part := range p.parts {
		part.Revision = revision
		p.job.MoveToSlice(part, p.split[k])
		w.dirty.copyMark(p.slice, part, w.core.clock.Now())
	}
}
