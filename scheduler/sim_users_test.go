package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// simUsers stands in for the users and keeps what they know of their jobs. Faults: jobs that
// fail on every machine, and cancellations that meet the end of a job.
type simUsers struct {
	specs      map[ids.JobID]*wire.JobSpec
	placements map[ids.JobID][]simPlacement // where tasks were ever told to run
	completed  map[ids.TaskRef]bool
	cancelled  map[ids.JobID]bool // by their users
	// cancelAcknowledgedAt is when the user was told that the job is cancelled.
	cancelAcknowledgedAt map[ids.JobID]monotonic.Instant
	failing              map[ids.JobID]bool // on every machine
	cancelAtEndChance    float64
}

func newSimUsers() simUsers {
	return simUsers{specs: map[ids.JobID]*wire.JobSpec{}, placements: map[ids.JobID][]simPlacement{}, completed: map[ids.TaskRef]bool{},
		cancelled: map[ids.JobID]bool{}, cancelAcknowledgedAt: map[ids.JobID]monotonic.Instant{}, failing: map[ids.JobID]bool{}, cancelAtEndChance: 0.03}
}

// submit writes the record of a new job, of which the leader's watch hears later.
func (s *sim) submit(id ids.JobID, spec *wire.JobSpec) {
	s.specs[id] = spec
	s.applyTxn(nil, []kv.Operation{{PutKey: records.JobKey(id), Value: records.Job{Nonce: s.rng.Uint64(), Status: wire.JobQueued,
		Tasks: spec.Tasks, Spec: spec, SubmittedMS: int64(time.Duration(s.now) / time.Millisecond)}}})
	s.after(min(s.latency(), 3*time.Second), func() { s.watchJob(id) })
}

// cancel cancels a job for its user. It is retried until it is committed, and the user is told
// once a leader that held a valid lease after that acknowledges it.
func (s *sim) cancel(id ids.JobID) {
	if s.now < s.storeOutageUntil {
		s.after(time.Second, func() { s.cancel(id) })
		return
	}
	key := records.JobKey(id)
	var rec records.Job
	s.must(wire.Decode(s.store[key].value, &rec))
	if rec.Terminal() {
		return
	}
	c := records.CancelJobChange(id, s.store[key].revision, s.rng.Uint64(), rec, s.opt.MaxValueBytes)
	s.applyTxn(c.Preconditions, c.Operations)
	s.cancelled[id] = true
	s.after(min(s.latency(), 3*time.Second), func() { s.watchJob(id) })
	s.awaitCancelAcknowledged(id)
}

// awaitCancelAcknowledged asks a controller again and again until the leader acknowledges the
// cancellation.
func (s *sim) awaitCancelAcknowledged(id ids.JobID) {
	s.after(min(s.latency(), time.Second), func() {
		if s.now >= s.controllersDownUntil && !s.chance(0.2) {
			core, holds := s.core, s.now < s.leaseValidUntil
			if s.previousCore != nil && s.chance(0.5) {
				// The controller that was asked still follows the previous leader, which
				// acts on the cancellation but has lost its lease.
				core, holds = s.previousCore, false
			}
			if s.pauseLeft(core) > 0 {
				s.awaitCancelAcknowledged(id) // no response
				return
			}
			s.deliverJob(core, id)
			if holds && core.CanAcknowledgeCancel(s.now, id) {
				s.cancelAcknowledgedAt[id] = s.now
				return
			}
		}
		s.after(time.Second, func() { s.awaitCancelAcknowledged(id) })
	})
}

// hasCancelledDependency tells by the records alone whether a job needs one that is cancelled.
func (s *sim) hasCancelledDependency(id ids.JobID) bool {
	return slices.ContainsFunc(s.specs[id].DependsOn, func(n ids.JobID) bool {
		return s.status(n) == wire.JobCancelled || s.hasCancelledDependency(n)
	})
}

// checkCancelledDependents checks that jobs which depend on a cancelled one are cancelled as
// well, and that no other job is but by its user.
func (s *sim) checkCancelledDependents(all []ids.JobID) {
	s.t.Helper()
	for _, id := range all {
		byUser := s.cancelled[id]
		if got := s.status(id) == wire.JobCancelled; got != (byUser || s.hasCancelledDependency(id)) {
			s.t.Errorf("%s is %s; cancelled by its user: %v, a dependency is cancelled: %v", id, s.status(id), byUser, s.hasCancelledDependency(id))
		}
	}
}
