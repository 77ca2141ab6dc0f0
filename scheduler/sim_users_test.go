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

// simUsers simulates the users and holds what they know of their jobs. Faults: jobs that fail on every
// machine, and cancellations at about the time at which a job ends.
type simUsers struct {
	specs      map[ids.JobID]*wire.JobSpec
	placements map[ids.JobID][]simPlacement // all placements, also those that ended
	completed  map[ids.TaskRef]bool
	cancelled  map[ids.JobID]bool // cancelled by their users
	// cancelAcknowledgedAt is when the cancellation was acknowledged to the user.
	cancelAcknowledgedAt map[ids.JobID]monotonic.Instant
	failing              map[ids.JobID]bool // jobs that fail on every machine
	// cancelAtEndChance is the probability with which a user cancels a job when a task of it is done.
	cancelAtEndChance float64
}

func newSimUsers() simUsers {
	return simUsers{specs: map[ids.JobID]*wire.JobSpec{}, placements: map[ids.JobID][]simPlacement{}, completed: map[ids.TaskRef]bool{},
		cancelled: map[ids.JobID]bool{}, cancelAcknowledgedAt: map[ids.JobID]monotonic.Instant{}, failing: map[ids.JobID]bool{}, cancelAtEndChance: 0.03}
}

// submit writes the record of a new job. The leader's watch observes it later.
func (s *sim) submit(id ids.JobID, spec *wire.JobSpec) {
	s.specs[id] = spec
	s.applyTxn(nil, []kv.Operation{{PutKey: records.JobKey(id), Value: records.Job{Nonce: s.rng.Uint64(), Status: wire.JobQueued,
		Tasks: spec.Tasks, Spec: spec, SubmittedMS: int64(time.Duration(s.now) / time.Millisecond)}}})
	s.after(min(s.latency(), 3*time.Second), func() { s.watchJob(id) })
}

// cancel cancels a job for its user, unless the job is terminal. It is retried until it is committed. It
// is acknowledged to the user once a leader acknowledges it while its lease is valid.
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
	rec.DoneMS = s.wallMS()
	c := records.CancelJobChange(id, s.store[key].revision, s.rng.Uint64(), rec, s.opt.MaxValueBytes)
	s.applyTxn(c.Preconditions, c.Operations)
	s.cancelled[id] = true
	s.after(min(s.latency(), 3*time.Second), func() { s.watchJob(id) })
	s.awaitCancelAcknowledged(id)
}

// awaitCancelAcknowledged asks a controller every second until the leader acknowledges the cancellation.
func (s *sim) awaitCancelAcknowledged(id ids.JobID) {
	s.after(min(s.latency(), time.Second), func() {
		if s.now >= s.controllersDownUntil && !s.chance(0.2) {
			core, holdsLease := s.core, s.now < s.leaseValidUntil
			if s.previousCore != nil && s.chance(0.5) {
				// The controller still follows the previous leader, which executes the
				// cancellation but has lost its lease.
				core, holdsLease = s.previousCore, false
			}
			if s.remainingPause(core) > 0 {
				s.awaitCancelAcknowledged(id) // no response
				return
			}
			s.deliverJob(core, id)
			if holdsLease {
				core.ObserveLease(s.now)
			}
			if holdsLease && core.CanAcknowledgeCancel(s.now, id) {
				s.cancelAcknowledgedAt[id] = s.now
				return
			}
		}
		s.after(time.Second, func() { s.awaitCancelAcknowledged(id) })
	})
}

// hasCancelledDependency reports whether a job depends on a cancelled job, directly or indirectly. It
// reads only the records.
func (s *sim) hasCancelledDependency(id ids.JobID) bool {
	return slices.ContainsFunc(s.specs[id].DependsOn, func(dependency ids.JobID) bool {
		return s.status(dependency) == wire.JobCancelled || s.hasCancelledDependency(dependency)
	})
}

// checkCancelledDependents checks that a job is cancelled if and only if its user cancelled it or it
// depends on a cancelled job.
func (s *sim) checkCancelledDependents(jobs []ids.JobID) {
	s.t.Helper()
	for _, id := range jobs {
		byUser := s.cancelled[id]
		if got := s.status(id) == wire.JobCancelled; got != (byUser || s.hasCancelledDependency(id)) {
			s.t.Errorf("%s is %s; cancelled by its user: %v, a dependency is cancelled: %v", id, s.status(id), byUser, s.hasCancelledDependency(id))
		}
	}
}
