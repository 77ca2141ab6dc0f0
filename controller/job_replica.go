package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// jobStore is the subset of the key-value store that a replica uses. kv.Client implements it.
type jobStore interface {
	kv.PageStore
	Get(ctx context.Context, key string) (entry kv.Entry, found bool, err error)
	Watch(ctx context.Context, prefix string, since ids.Revision, maxWait time.Duration) (ids.Revision, []kv.Event, error)
}

// jobSnapshot holds the part of a job's record that a replica needs.
type jobSnapshot struct {
	Status   wire.JobState
	Tasks    int
	revision ids.Revision
	// cancelledByDependency reports whether the job is cancelled because a dependency is cancelled.
	// Such a job never had a task. Its own record may not say that it is cancelled yet.
	cancelledByDependency bool
}

// snapshotOf returns the snapshot of a job according to its own record, regardless of its dependencies.
func snapshotOf(record *records.Job, revision ids.Revision) jobSnapshot {
	// The record of a cancelled job lacks the specification only if the leader cancelled the job
	// because a dependency is cancelled.
	return jobSnapshot{Status: record.Status, Tasks: record.Tasks, revision: revision,
		cancelledByDependency: record.Status == wire.JobCancelled && record.Spec == nil}
}

// jobReplica holds a controller's replica of all jobs. It is built from the pages of the list of all jobs,
// from the changes since the first page, and from reads of single jobs, in any order. While it is
// incomplete, it can answer queries about the jobs that it has already. It is not safe for concurrent use.
type jobReplica struct {
	store jobStore
	jobs  map[ids.JobID]jobSnapshot
	graph *dependency.Graph
	// started reports whether the first page was applied. Since then the replica follows all changes.
	started bool
	// revision is the store's revision up to which all changes have been applied.
	revision ids.Revision
	// listedThrough is the key up to which all jobs are known, and complete reports whether all are.
	listedThrough string
	complete      bool
}

// newJobReplica returns an empty replica.
func newJobReplica(store jobStore) *jobReplica {
	r := &jobReplica{store: store}
	r.forget()
	return r
}

// forget removes all jobs.
func (r *jobReplica) forget() { r.jobs, r.graph = map[ids.JobID]jobSnapshot{}, dependency.New() }

// applyPage applies the next page of the list of all jobs. Jobs that were read before the first page are
// forgotten, since changes of theirs may be missing.
func (r *jobReplica) applyPage(listed listedPage) {
	if !r.started {
		r.forget()
		r.started, r.revision = true, listed.firstRevision
	}
	for _, entry := range listed.Entries {
		r.put(entry.Key, entry.Value, entry.Revision)
		r.listedThrough = entry.Key
	}
	r.complete = listed.last
}

// refresh performs a barrier read: it applies all changes of the known jobs that were committed before the
// call. It returns the store's errors. After an error the replica must not be read until a refresh
// succeeds. After kv.ErrCompacted changes are missing for good, and a new replica is needed.
func (r *jobReplica) refresh(ctx context.Context) error {
	if !r.started {
		r.forget() // the changes since the last call are not known
		return nil
	}
	revision, changes, err := r.store.Watch(ctx, records.JobPrefix, r.revision, 0)
	if err != nil {
		return err
	}
	for _, change := range changes {
		if change.PutKey != "" {
			r.put(change.PutKey, change.Value, change.Revision)
		}
	}
	r.revision = max(r.revision, revision)
	return nil
}

// put applies a job's record, unless a newer one is known. A job whose record cannot be decoded counts as
// queued, since the job was accepted and must never be reported as unknown.
func (r *jobReplica) put(key string, value []byte, revision ids.Revision) {
	id := ids.JobID(key[len(records.JobPrefix):])
	if known, found := r.jobs[id]; found && known.revision >= revision {
		return
	}
	var record records.Job
	if err := wire.Decode(value, &record); err != nil || record.Status == "" {
		record = records.Job{Status: wire.JobQueued}
	}
	r.jobs[id] = snapshotOf(&record, revision)
	r.graph.Put(id, record.DependencyRecord())
}

// listed reports whether the pages that were applied contain the job if it was ever accepted.
func (r *jobReplica) listed(id ids.JobID) bool {
	return r.complete || records.JobKey(id) <= r.listedThrough
}

// errReadsExhausted means that more single jobs would have to be read than a budget allows.
var errReadsExhausted = errors.New("the list of all jobs is not read yet, and the budget for reads of single jobs is exhausted")

// readBudget limits the number of single jobs that are read for a batch of queries.
type readBudget struct{ remaining int }

// take takes one read. It returns errReadsExhausted if none remains.
func (b *readBudget) take() error {
	if b.remaining == 0 {
		return errReadsExhausted
	}
	b.remaining--
	return nil
}

// ensure reads a job, and the jobs on which its state depends, as far as the replica does not know them.
// What was read is kept after an error.
func (r *jobReplica) ensure(ctx context.Context, id ids.JobID, budget *readBudget) error {
	if r.complete {
		return nil
	}
	if _, found := r.jobs[id]; !found && !r.listed(id) {
		if err := r.read(ctx, id, budget); err != nil {
			return err
		}
	}
	for {
		unknown, found := r.graph.UnknownDependency(id)
		if !found {
			return nil
		}
		if err := r.read(ctx, unknown, budget); err != nil {
			return err
		}
	}
}

// read reads a single job. A job that does not exist was never accepted.
func (r *jobReplica) read(ctx context.Context, id ids.JobID, budget *readBudget) error {
	if err := budget.take(); err != nil {
		return err
	}
	entry, found, err := r.store.Get(ctx, records.JobKey(id))
	if err != nil {
		return fmt.Errorf("read job %s: %w", id, err)
	}
	if found {
		r.put(records.JobKey(id), entry.Value, entry.Revision)
	}
	return nil
}

// get returns the snapshot of a job. A job is cancelled as soon as a dependency is cancelled, even if
// its own record does not say so yet.
func (r *jobReplica) get(id ids.JobID) (job jobSnapshot, found bool) {
	job, found = r.jobs[id]
	if found && !job.Status.Terminal() && r.graph.ReadinessOf(id).State == dependency.Cancelled {
		job.Status, job.cancelledByDependency = wire.JobCancelled, true
	}
	return job, found
}

// dependencyState reports whether all dependencies were accepted, and whether one of them is cancelled.
func (r *jobReplica) dependencyState(dependencies []ids.JobID) (accepted, cancelled bool) {
	accepted = true
	for _, id := range dependencies {
		job, found := r.get(id)
		accepted = accepted && found
		cancelled = cancelled || job.Status == wire.JobCancelled
	}
	return accepted, cancelled
}
