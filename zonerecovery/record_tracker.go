package zonerecovery

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// jobsWriteDelay is how long the record may lag behind the list of displaced jobs. The delay lets one
// write cover many losses.
const jobsWriteDelay = 2 * time.Second

// recordedState holds the part of a record for whose commit other actions wait.
type recordedState struct {
	condition Condition
	step      int
	// override is the number of the operators' newest decision.
	override uint64
}

// matches reports whether the state has the given condition and step.
func (s recordedState) matches(condition Condition, step int) bool {
	return s.condition == condition && s.step == step
}

// recordTracker tracks when the record of a zone must be written, and what the committed record
// allows. It does not build the record.
//
// A change that allows more starts than the committed record takes effect once it is committed: the
// next leader may have read an older record, and its starts would add to those of this leader. A
// change that allows fewer starts takes effect immediately.
type recordTracker struct {
	// revision is the revision of the key, 0 if the key does not exist.
	revision ids.Revision
	// outdated reports whether the record must be written.
	outdated bool
	// jobsChanged reports whether displaced jobs changed since the last check. jobsChangedAt is
	// when the first change since the last write was detected, 0 if there was none.
	jobsChanged   bool
	jobsChangedAt monotonic.Instant
	// inFlight reports whether a write is in flight. submitted is the state that it holds.
	inFlight             bool
	committed, submitted recordedState
	// jobLimit is the maximum number of displaced jobs in a record. A rejected write halves it.
	jobLimit int
}

// newRecordTracker returns the tracker of a zone without a record.
func newRecordTracker() *recordTracker { return &recordTracker{jobLimit: maxRecordedJobs} }

// load sets the committed state and the revision to those of an earlier leader's record.
func (k *recordTracker) load(recorded recordedState, revision ids.Revision) {
	k.committed, k.revision = recorded, revision
}

// markOutdated causes the record to be written as soon as no other write is in flight.
func (k *recordTracker) markOutdated() { k.outdated = true }

// markJobsChanged causes the record to be written after jobsWriteDelay.
func (k *recordTracker) markJobsChanged() { k.jobsChanged = true }

// due reports whether the record must be written now.
func (k *recordTracker) due(now monotonic.Instant) bool {
	if k.inFlight {
		return false
	}
	if k.jobsChanged {
		k.jobsChanged = false
		if k.jobsChangedAt == 0 {
			k.jobsChangedAt = now
		}
	}
	if k.jobsChangedAt != 0 && now >= k.jobsChangedAt.Add(jobsWriteDelay) {
		k.outdated = true
	}
	return k.outdated
}

// skip records that no record exists, and that none is needed for the given state.
func (k *recordTracker) skip(state recordedState) {
	k.outdated, k.committed = false, state
}

// submit records that a write of the given state is in flight.
func (k *recordTracker) submit(state recordedState) {
	k.outdated, k.jobsChangedAt, k.inFlight = false, 0, true
	k.submitted = state
}

// commit records that the write in flight is committed. revision is the revision of the key, 0 if the
// record was deleted. relaxed reports whether the committed condition or step has changed, so that
// more tasks may start than before.
func (k *recordTracker) commit(revision ids.Revision) (relaxed bool) {
	k.inFlight, k.revision = false, revision
	relaxed = !k.committed.matches(k.submitted.condition, k.submitted.step)
	k.committed = k.submitted
	return relaxed
}

// reject records that the key-value store refused the write in flight because of its size.
func (k *recordTracker) reject() {
	k.inFlight, k.outdated = false, true
	k.jobLimit /= 2
}

// shrink reduces jobLimit to at most half of the jobs of a record that is too large.
func (k *recordTracker) shrink(jobs int) { k.jobLimit = min(k.jobLimit, jobs) / 2 }

// upToDate reports whether all changes are committed, except those of displaced jobs.
func (k *recordTracker) upToDate() bool { return !k.outdated && !k.inFlight }

// allows reports whether the committed record allows the zone to act on a condition.
func (k *recordTracker) allows(condition Condition) bool {
	switch condition {
	case Serving:
		return k.committed.condition == Serving
	case Recovering:
		return k.committed.condition == Recovering || k.committed.condition == Serving
	}
	return true
}

// allowedStep returns the smaller of the given step and the committed step.
func (k *recordTracker) allowedStep(step int) int {
	if k.committed.condition == Serving {
		return step // the recovery is more restrictive than the committed record
	}
	return min(step, k.committed.step)
}
