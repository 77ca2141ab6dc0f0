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

// load sets the committed state and the revision to those of a previous leader's record.
func (t *recordTracker) load(recorded recordedState, revision ids.Revision) {
	t.committed, t.revision = recorded, revision
}

// markOutdated causes the record to be written as soon as no other write is in flight.
func (t *recordTracker) markOutdated() { t.outdated = true }

// markJobsChanged causes the record to be written after jobsWriteDelay.
func (t *recordTracker) markJobsChanged() { t.jobsChanged = true }

// due reports whether the record must be written now.
func (t *recordTracker) due(now monotonic.Instant) bool {
	if t.inFlight {
		return false
	}
	if t.jobsChanged {
		t.jobsChanged = false
		if t.jobsChangedAt == 0 {
			t.jobsChangedAt = now
		}
	}
	if t.jobsChangedAt != 0 && now >= t.jobsChangedAt.Add(jobsWriteDelay) {
		t.outdated = true
	}
	return t.outdated
}

// skip records that no record exists, and that none is needed for the given state.
func (t *recordTracker) skip(state recordedState) {
	t.outdated, t.committed = false, state
}

// submit records that a write of the given state is in flight.
func (t *recordTracker) submit(state recordedState) {
	t.outdated, t.jobsChangedAt, t.inFlight = false, 0, true
	t.submitted = state
}

// commit records that the write in flight is committed. revision is the revision of the key, 0 if the
// record was deleted. relaxed reports whether the committed condition or step has changed, so that
// more tasks may start than before.
func (t *recordTracker) commit(revision ids.Revision) (relaxed bool) {
	t.inFlight, t.revision = false, revision
	relaxed = !t.committed.matches(t.submitted.condition, t.submitted.step)
	t.committed = t.submitted
	return relaxed
}

// reject records that the key-value store refused the write in flight because of its size.
func (t *recordTracker) reject() {
	t.inFlight, t.outdated = false, true
	t.jobLimit /= 2
}

// shrink reduces jobLimit to at most half of the jobs of a record that is too large.
func (t *recordTracker) shrink(jobs int) { t.jobLimit = min(t.jobLimit, jobs) / 2 }

// upToDate reports whether all changes are committed, except those of displaced jobs.
func (t *recordTracker) upToDate() bool { return !t.outdated && !t.inFlight }

// allows reports whether the committed record allows the zone to act on a condition.
func (t *recordTracker) allows(condition Condition) bool {
	switch condition {
	case Serving:
		return t.committed.condition == Serving
	case Recovering:
		return t.committed.condition == Recovering || t.committed.condition == Serving
	}
	return true
}

// allowedStep returns the smaller of the given step and the committed step.
func (t *recordTracker) allowedStep(step int) int {
	if t.committed.condition == Serving {
		return step // the recovery is more restrictive than the committed record
	}
	return min(step, t.committed.step)
}
