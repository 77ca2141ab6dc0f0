package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// simEntry is a value in the store.
type simEntry struct {
	revision ids.Revision
	value    []byte // encoded
}

// simStore stands in for the consensus-backed key-value store. Faults: an outage for all,
// an outage for the leader alone, limits that fall during an upgrade; commits whose response
// is delayed are injected by sentChange.
type simStore struct {
	store              map[string]simEntry
	storeRevision      ids.Revision
	storeOutageUntil   monotonic.Instant // for all until then
	leaderRefusedUntil monotonic.Instant // for the leader alone until then
	// valueBytes and txnOps are the limits; 0: none.
	valueBytes, txnOps int
	// oversizedChanges counts the changes beyond the limits that were decided since all
	// leaders knew them, and splitRecords the records that were split.
	oversizedChanges, splitRecords int
	// unsplitRecordsOnly is set while a controller may not know split slices yet.
	unsplitRecordsOnly bool
}

func newSimStore() simStore { return simStore{store: map[string]simEntry{}, storeRevision: 1} }

// applyTxn applies a transaction if its preconditions hold. Else it returns the keys whose
// preconditions failed.
func (s *sim) applyTxn(guards []kv.Precondition, ops []kv.Operation) (bool, []string) {
	var failed []string
	for _, g := range guards {
		if s.store[g.Key].revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return false, failed
	}
	s.storeRevision++
	defer s.checkSlices(ops)
	for _, op := range ops {
		if op.PutKey == "" {
			delete(s.store, op.DeleteKey)
			continue
		}
		s.store[op.PutKey] = simEntry{s.storeRevision, wire.Encode(op.Value)}
		if rec, ok := op.Value.(records.Job); ok && rec.Status == wire.JobDone {
			id := ids.JobID(op.PutKey[len(records.JobPrefix):])
			for i := range s.specs[id].Tasks {
				if !s.completed[ids.TaskRef{Job: id, Index: i}] {
					s.violation("not_done: %s/%d", id, i)
				}
			}
		}
	}
	return true, nil
}

// withinStoreLimits tells whether the store would take a change.
func (s *sim) withinStoreLimits(ops []kv.Operation) bool {
	if s.txnOps > 0 && len(ops) > s.txnOps {
		return false
	}
	return !slices.ContainsFunc(ops, func(op kv.Operation) bool {
		return op.PutKey != "" && wire.ExceedsJSONSize(op.Value, s.valueBytes)
	})
}

// checkSlices checks the admission records of the job that was written to: no task may be in
// two of them, and before the upgrade each record must hold the tasks that its number tells.
func (s *sim) checkSlices(ops []kv.Operation) {
	job, ok := admittedJob(ops)
	if !ok {
		return
	}
	recordedIn := map[int]int{} // slice by task
	for key, e := range s.store {
		id, slice, ok := records.ParseAdmissionKey(key)
		if !ok || id != job {
			continue
		}
		for _, task := range s.tasksOfSlice(e) {
			if other, twice := recordedIn[task]; twice && other != slice {
				s.violation("%s/%d is recorded in slices %d and %d", id, task, other, slice)
			}
			recordedIn[task] = slice
			if s.unsplitRecordsOnly && task/s.opt.SliceTasks != slice {
				s.violation("%s/%d is recorded in slice %d before the upgrade", id, task, slice)
			}
		}
	}
}

// admittedJob is the job whose admission records are put by a transaction.
func admittedJob(ops []kv.Operation) (job ids.JobID, ok bool) {
	for _, op := range ops {
		if id, _, isSlice := records.ParseAdmissionKey(op.PutKey); isSlice {
			job, ok = id, true
		}
	}
	return job, ok
}

// tasksOfSlice lists the tasks in an admission record, done or not.
func (s *sim) tasksOfSlice(e simEntry) []int {
	const numbersPerTask = 3 // task, attempt, machine
	var rec records.AdmissionSlice
	s.must(wire.Decode(e.value, &rec))
	tasks := slices.Clone(rec.Done)
	for k := 0; k < len(rec.Tasks); k += numbersPerTask {
		tasks = append(tasks, rec.Tasks[k])
	}
	return tasks
}

// leaderReadsStore tells whether the leader reads what others write.
func (s *sim) leaderReadsStore() bool { return s.now >= max(s.storeOutageUntil, s.leaderRefusedUntil) }

// watchJob delivers a job's record to the leader, as its watch does once the store is back.
func (s *sim) watchJob(id ids.JobID) {
	if !s.leaderReadsStore() {
		s.after(max(s.storeOutageUntil, s.leaderRefusedUntil).Sub(s.now), func() { s.watchJob(id) })
		return
	}
	core := s.core
	s.afterPause(core, func() { s.deliverJob(core, id) })
}

// deliverJob has a leader observe a job's record.
func (s *sim) deliverJob(core *Core, id ids.JobID) {
	e := s.store[records.JobKey(id)]
	var rec records.Job
	s.must(wire.Decode(e.value, &rec))
	core.ObserveJob(s.now, id, &rec, e.revision)
}

// status is a job's own record.
func (s *sim) status(id ids.JobID) wire.JobState {
	var rec records.Job
	s.must(wire.Decode(s.store[records.JobKey(id)].value, &rec))
	return rec.Status
}
