package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

type simEntry struct {
	revision ids.Revision
	raw      []byte
}

// commit applies a transaction as the state service would.
func (s *sim) commit(guards []kv.Precondition, ops []kv.Operation) (bool, []string) {
	var failed []string
	for _, g := range guards {
		if s.store[g.Key].revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return false, failed
	}
	s.epoch++
	defer s.checkSlices(ops)
	for _, op := range ops {
		if op.PutKey == "" {
			delete(s.store, op.DeleteKey)
			continue
		}
		s.store[op.PutKey] = simEntry{s.epoch, wire.Encode(op.Value)}
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

// fits tells whether the state service would take a change.
func (s *sim) fits(ops []kv.Operation) bool {
	if s.txnOps > 0 && len(ops) > s.txnOps {
		return false
	}
	return !slices.ContainsFunc(ops, func(op kv.Operation) bool {
		return op.PutKey != "" && wire.ExceedsJSONSize(op.Value, s.valueBytes)
	})
}

// checkSlices looks at the admission records of a job that was written to: no task
// may be in two, and before the upgrade each slice must hold the tasks that its
// number tells.
func (s *sim) checkSlices(ops []kv.Operation) {
	var job ids.JobID
	for _, op := range ops {
		if id, _, ok := records.ParseAdmissionKey(op.PutKey); ok {
			job = id
		}
	}
	if job == "" {
		return
	}
	in := map[int]int{}
	for key, e := range s.store {
		id, n, ok := records.ParseAdmissionKey(key)
		if !ok || id != job {
			continue
		}
		var rec records.AdmissionSlice
		s.must(wire.Decode(e.raw, &rec))
		tasks := slices.Clone(rec.Done)
		for k := 0; k < len(rec.Tasks); k += 3 {
			tasks = append(tasks, rec.Tasks[k])
		}
		for _, i := range tasks {
			if other, twice := in[i]; twice && other != n {
				s.violation("%s/%d is recorded in slices %d and %d", id, i, other, n)
			}
			in[i] = n
			if s.oldFormat && i/s.opt.SliceTasks != n {
				s.violation("%s/%d is recorded in slice %d before the upgrade", id, i, n)
			}
		}
	}
}

// watched tells whether the leader reads what others write.
func (s *sim) watched() bool { return s.now >= max(s.outage, s.refusal) }

// seen brings a job's record to the leader, as its watch does.
func (s *sim) seen(id ids.JobID) {
	if !s.watched() {
		s.after(max(s.outage, s.refusal).Sub(s.now), func() { s.seen(id) })
		return
	}
	core := s.core
	s.afterPause(core, func() { s.bring(core, id) })
}

// bring has a leader take a job's record in.
func (s *sim) bring(core *Core, id ids.JobID) {
	e := s.store[records.JobKey(id)]
	var rec records.Job
	s.must(wire.Decode(e.raw, &rec))
	core.ObserveJob(s.now, id, &rec, e.revision)
}

func (s *sim) submit(id ids.JobID, spec *wire.JobSpec) {
	s.specs[id] = spec
	s.commit(nil, []kv.Operation{{PutKey: records.JobKey(id), Value: records.Job{Nonce: s.rng.Uint64(), Status: wire.JobQueued,
		Tasks: spec.Tasks, Spec: spec, SubmittedMS: int64(time.Duration(s.now) / time.Millisecond)}}})
	s.after(min(s.latency(), 3*time.Second), func() { s.seen(id) })
}

// cancel is what a user's cancellation comes to: it is repeated until it is committed, and the
// user is told once a leader that surely held its key after that acknowledges it.
func (s *sim) cancel(id ids.JobID) {
	if s.now < s.outage {
		s.after(time.Second, func() { s.cancel(id) })
		return
	}
	key := records.JobKey(id)
	var rec records.Job
	s.must(wire.Decode(s.store[key].raw, &rec))
	if rec.Terminal() {
		return
	}
	c := records.CancelJobChange(id, s.store[key].revision, s.rng.Uint64(), rec, s.opt.ValueBytes)
	s.commit(c.Preconditions, c.Operations)
	s.cancelled[id] = true
	s.after(min(s.latency(), 3*time.Second), func() { s.seen(id) })
	s.tellUser(id)
}

// tellUser asks until the cancellation may be told.
func (s *sim) tellUser(id ids.JobID) {
	s.after(min(s.latency(), time.Second), func() {
		if s.now >= s.controllersDown && !s.chance(0.2) {
			core, holds := s.core, s.now < s.sure
			if s.old != nil && s.chance(0.5) {
				// The node that was asked still follows the old leader. What that one
				// takes in it acts on, but it has lost its key.
				core, holds = s.old, false
			}
			if s.pauseLeft(core) > 0 {
				s.tellUser(id) // nobody answers
				return
			}
			s.bring(core, id)
			if holds && core.CanAcknowledgeCancel(s.now, id) {
				s.toldCancelled[id] = s.now
				return
			}
		}
		s.after(time.Second, func() { s.tellUser(id) })
	})
}

// status is a job's own record.
func (s *sim) status(id ids.JobID) wire.JobState {
	var rec records.Job
	s.must(wire.Decode(s.store[records.JobKey(id)].raw, &rec))
	return rec.Status
}

// orphan tells by the records alone whether a job needs one that is cancelled.
func (s *sim) orphan(id ids.JobID) bool {
	return slices.ContainsFunc(s.specs[id].DependsOn, func(n ids.JobID) bool {
		return s.status(n) == wire.JobCancelled || s.orphan(n)
	})
}

// checkOrphans sees that what needs a cancelled job is cancelled as well, and that
// nothing else is but by its user.
func (s *sim) checkOrphans(all []ids.JobID) {
	s.t.Helper()
	for _, id := range all {
		byUser := s.cancelled[id]
		if got := s.status(id) == wire.JobCancelled; got != (byUser || s.orphan(id)) {
			s.t.Errorf("%s is %s; withdrawn by its user: %v, an orphan: %v", id, s.status(id), byUser, s.orphan(id))
		}
	}
}
