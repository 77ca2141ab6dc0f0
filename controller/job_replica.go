package controller

import (
	"context"
	"errors"
	"time"

	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/kv"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// jobStore is the subset of the key-value store that a replica uses. kv.Client implements it.
type jobStore interface {
	List(ctx context.Context, prefix string, each func(kv.Entry) error) (ids.Revision, error)
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

// jobReplica holds a controller's replica of all jobs. It is not safe for concurrent use.
type jobReplica struct {
	store jobStore
	jobs  map[ids.JobID]jobSnapshot
	graph *dependency.Graph
	// revision is the store's revision up to which all changes have been applied.
	revision ids.Revision
	loaded   bool
}

// refresh performs a barrier read: it applies all changes that were committed before the call. It
// returns the store's errors. After an error the replica must not be read until a refresh succeeds.
func (r *jobReplica) refresh(ctx context.Context) error {
	if !r.loaded {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	revision, changes, err := r.store.Watch(ctx, records.JobPrefix, r.revision, 0)
	if errors.Is(err, kv.ErrCompacted) {
		r.loaded = false
	}
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

// load replaces the contents of the replica with a list of all jobs.
func (r *jobReplica) load(ctx context.Context) error {
	r.jobs, r.graph = map[ids.JobID]jobSnapshot{}, dependency.New()
	revision, err := r.store.List(ctx, records.JobPrefix, func(entry kv.Entry) error {
		r.put(entry.Key, entry.Value, entry.Revision)
		return nil
	})
	if err != nil {
		return err
	}
	r.revision, r.loaded = revision, true
	return nil
}

// put applies a job's record. A job whose record cannot be decoded counts as queued, since the job was
// accepted and must never be reported as unknown.
func (r *jobReplica) put(key string, value []byte, revision ids.Revision) {
	var record records.Job
	if err := wire.Decode(value, &record); err != nil || record.Status == "" {
		record = records.Job{Status: wire.JobQueued}
	}
	id := ids.JobID(key[len(records.JobPrefix):])
	r.jobs[id] = snapshotOf(&record, revision)
	r.graph.Put(id, record.DependencyRecord())
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
