package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// writeSlice submits a slice's record, in parts if it is too large.
func (w *recordWriter) writeSlice(j *job, s *admissionSlice) {
	delete(w.dirty, s)
	s.dirty, s.urgent, s.inFlight = false, false, true
	p := &pendingChange{job: j, slice: s}
	for _, i := range s.tasks {
		if a := j.tasks[i].assignment; a != nil && !a.recorded {
			a.recordInFlight = true
			p.placed = append(p.placed, a)
		}
	}
	record := w.sliceRecord(j, s.tasks)
	writes := []records.SliceWrite{{SliceVersion: records.SliceVersion{Number: s.number, Revision: s.revision}, Record: record}}
	limit := w.core.opt.ValueBytes >> j.refusals
	s.oversized = wire.ExceedsJSONSize(record, limit)
	if s.oversized && w.core.opt.SplitRecords {
		s.oversized = false
		var recs []records.AdmissionSlice
		p.split, recs = w.splitTasks(j, s.tasks, limit)
		writes[0].Record = recs[0]
		p.parts = []*admissionSlice{s}
		for _, record := range recs[1:] {
			j.growSlices(len(j.slices) + 1)
			part := j.slices[len(j.slices)-1]
			p.parts = append(p.parts, part)
			writes = append(writes, records.SliceWrite{SliceVersion: records.SliceVersion{Number: part.number}, Record: record})
		}
	}
	w.submitChange(p, records.PutSlicesChange(j.id, j.revision, writes))
}

// splitTasks divides the tasks of a record that is too large into parts whose records are
// not, no more than one change may write.
func (w *recordWriter) splitTasks(j *job, tasks []int, limit int) (parts [][]int, recs []records.AdmissionSlice) {
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
func (w *recordWriter) sliceRecord(j *job, tasks []int) records.AdmissionSlice {
	rec := records.AdmissionSlice{Nonce: w.nextNonce()}
	place := map[ids.MachineID]int{}
	for _, i := range tasks {
		t := &j.tasks[i]
		if t.state == taskDone {
			rec.Done = append(rec.Done, i)
			continue
		}
		if t.attempt == 0 {
			continue
		}
		at := -1
		if t.assignment != nil {
			h, ok := place[t.assignment.machine.host]
			if !ok {
				h = len(rec.Hosts)
				place[t.assignment.machine.host] = h
				rec.Hosts = append(rec.Hosts, t.assignment.machine.host)
				rec.Zones = append(rec.Zones, t.assignment.machine.Zone)
			}
			at = h
		}
		rec.Tasks = append(rec.Tasks, i, int(t.attempt), at)
	}
	return rec
}

// applySplit makes the slices of a split that is recorded. What happened to their tasks
// since belongs to the parts.
func (w *recordWriter) applySplit(p *pendingChange, revision ids.Revision) {
	for k, part := range p.parts {
		part.revision, part.tasks = revision, p.split[k]
		for _, i := range part.tasks {
			p.job.tasks[i].slice = part
		}
		if p.slice.dirty {
			w.markDirty(p.job, part, p.slice.urgent)
		}
	}
}
