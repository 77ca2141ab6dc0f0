package zonerecovery

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// jobsWriteDelay is how long the record may lag behind the list of displaced jobs, so that one
// write covers many losses.
const jobsWriteDelay = 2 * time.Second

// recordedState is the part of a record that a later action waits for.
type recordedState struct {
	condition Condition
	step      int
	// override is the number of the operators' newest decision.
	override uint64
}

// matches reports whether it holds the given condition and step.
func (s recordedState) matches(condition Condition, step int) bool {
	return s.condition == condition && s.step == step
}

// recordTracker owns when the record of a zone is written, and what the committed one allows. It
// does not know the contents of the record.
//
// What allows more starts than the committed record says waits until it is committed. The next
// leader may have read an older record, and its starts and this leader's must not add up. What
// allows fewer starts counts at once.
type recordTracker struct {
	// revision is that of the key, 0 if there is none.
	revision ids.Revision
	// outdated is set if the record must be written.
	outdated bool
	// jobsChanged is set if displaced jobs changed since the last check. jobsChangedAt is when
	// the first change since the last write was seen, 0 if there was none.
	jobsChanged   bool
	jobsChangedAt monotonic.Instant
	// inFlight is set while a write awaits its result. submitted is what it holds.
	inFlight             bool
	committed, submitted recordedState
	// jobLimit limits the displaced jobs in a record. A rejected write halves it.
	jobLimit int
}

// newRecordTracker returns the keeper of a zone without a record.
func newRecordTracker() *recordTracker { return &recordTracker{jobLimit: maxRecordedJobs} }

// load notes what an earlier leader recorded.
func (k *recordTracker) load(recorded recordedState, revision ids.Revision) {
	k.committed, k.revision = recorded, revision
}

// markOutdated lets the record be written as soon as possible.
func (k *recordTracker) markOutdated() { k.outdated = true }

// markJobsChanged lets the record be written after jobsWriteDelay.
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

// skip notes that there is no record, and that none is needed for the given state.
func (k *recordTracker) skip(state recordedState) {
	k.outdated, k.committed = false, state
}

// submit notes that a write of the given state is in flight.
func (k *recordTracker) submit(state recordedState) {
	k.outdated, k.jobsChangedAt, k.inFlight = false, 0, true
	k.submitted = state
}

// commit notes that the write in flight is committed. revision is that of the key, 0 if the record
// was deleted. It reports whether more tasks may start than before.
func (k *recordTracker) commit(revision ids.Revision) (relaxed bool) {
	k.inFlight, k.revision = false, revision
	relaxed = !k.committed.matches(k.submitted.condition, k.submitted.step)
	k.committed = k.submitted
	return relaxed
}

// reject notes that the key-value store refused the write in flight for its size.
func (k *recordTracker) reject() {
	k.inFlight, k.outdated = false, true
	k.jobLimit /= 2
}

// shrink reduces the limit of jobs below that of a record which is too large.
func (k *recordTracker) shrink(jobs int) { k.jobLimit = min(k.jobLimit, jobs) / 2 }

// upToDate reports whether all changes are committed, but for those of displaced jobs.
func (k *recordTracker) upToDate() bool { return !k.outdated && !k.inFlight }

// allows reports whether the committed record lets the zone act on a condition.
func (k *recordTracker) allows(condition Condition) bool {
	switch condition {
	case Serving:
		return k.committed.condition == Serving
	case Recovering:
		return k.committed.condition == Recovering || k.committed.condition == Serving
	}
	return true
}

// allowedStep returns the smaller of the given step and the committed one.
func (k *recordTracker) allowedStep(step int) int {
	if k.committed.condition == Serving {
		return step // the recovery is more restrictive than the committed record
	}
	return min(step, k.committed.step)
}
