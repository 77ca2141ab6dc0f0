package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// simEntry is a value in the simulated key-value store.
type simEntry struct {
	revision ids.Revision
	value    []byte // encoded
}

// simStore simulates the consensus-backed key-value store. Faults: an outage for all clients, an outage
// for the leader alone, and limits that are lowered during an upgrade. sentChange injects delayed
// responses to commits.
type simStore struct {
	store              map[string]simEntry
	storeRevision      ids.Revision
	storeOutageUntil   monotonic.Instant // outage for all clients until then
	leaderRefusedUntil monotonic.Instant // outage for the leader alone until then
	// valueBytes and txnOps are the maximum size of a value and the maximum number of operations in
	// a transaction. 0 means no limit.
	valueBytes, txnOps int
	// oversizedChanges is the number of changes that exceeded the limits although the leader that
	// decided them knew the limits. splitRecords is the number of records that were split.
	oversizedChanges, splitRecords int
	// unsplitRecordsOnly reports whether some controller may not be able to read split slices yet.
	unsplitRecordsOnly bool
}

func newSimStore() simStore { return simStore{store: map[string]simEntry{}, storeRevision: 1} }

// applyTxn applies a transaction if its preconditions hold. Otherwise it returns the keys whose
// preconditions failed.
func (s *sim) applyTxn(preconditions []kv.Precondition, ops []kv.Operation) (bool, []string) {
	var failed []string
	for _, precondition := range preconditions {
		if s.store[precondition.Key].revision != precondition.Revision {
			failed = append(failed, precondition.Key)
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
					s.recordViolation("completion: %s is done without task %d", id, i)
				}
			}
		}
	}
	return true, nil
}

// withinStoreLimits reports whether the operations of a change are within the limits of the store.
func (s *sim) withinStoreLimits(ops []kv.Operation) bool {
	if s.txnOps > 0 && len(ops) > s.txnOps {
		return false
	}
	return !slices.ContainsFunc(ops, func(op kv.Operation) bool {
		return op.PutKey != "" && wire.ExceedsJSONSize(op.Value, s.valueBytes)
	})
}

// checkSlices checks the admission records of the job that a transaction writes. No task may be in two
// of them. While unsplitRecordsOnly is set, each record may hold only the tasks that its number implies.
func (s *sim) checkSlices(ops []kv.Operation) {
	job, ok := admittedJob(ops)
	if !ok {
		return
	}
	recordedIn := map[int]int{} // task to slice
	for key, e := range s.store {
		id, slice, ok := records.ParseAdmissionKey(key)
		if !ok || id != job {
			continue
		}
		for _, task := range s.tasksOfSlice(e) {
			if other, twice := recordedIn[task]; twice && other != slice {
				s.recordViolation("%s/%d is recorded in slices %d and %d", id, task, other, slice)
			}
			recordedIn[task] = slice
			if s.unsplitRecordsOnly && task/s.opt.SliceTasks != slice {
				s.recordViolation("%s/%d is recorded in slice %d before the end of the upgrade", id, task, slice)
			}
		}
	}
}

// admittedJob returns the job whose admission records a transaction writes.
func admittedJob(ops []kv.Operation) (job ids.JobID, ok bool) {
	for _, op := range ops {
		if id, _, isSlice := records.ParseAdmissionKey(op.PutKey); isSlice {
			job, ok = id, true
		}
	}
	return job, ok
}

// tasksOfSlice returns the tasks in an admission record, done or not.
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

// leaderReadsStore reports whether the leader can read the store.
func (s *sim) leaderReadsStore() bool { return s.now >= max(s.storeOutageUntil, s.leaderRefusedUntil) }

// watchJob delivers a job's record to the leader, as the watch does once the store is available.
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

// status returns the state in a job's record.
func (s *sim) status(id ids.JobID) wire.JobState {
	var rec records.Job
	s.must(wire.Decode(s.store[records.JobKey(id)].value, &rec))
	return rec.Status
}
