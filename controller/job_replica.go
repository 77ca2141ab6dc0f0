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

// jobReader is what the copy needs of the state service.
type jobReader interface {
	List(ctx context.Context, prefix string, each func(kv.Entry) error) (ids.Revision, error)
	Watch(ctx context.Context, prefix string, since ids.Revision, hold time.Duration) (ids.Revision, []kv.Event, error)
}

// jobSnapshot is what a replica holds of a job.
type jobSnapshot struct {
	Status   wire.JobState
	Tasks    int
	revision ids.Revision
	// cancelledByDependency tells that it is cancelled with a job that it depends on, and so never had a task,
	// whether or not its own record says so yet.
	cancelledByDependency bool
}

// terminal tells whether the job is done or cancelled, for good.
func (k jobSnapshot) terminal() bool {
	return k.Status == wire.JobDone || k.Status == wire.JobCancelled
}

// jobReplica is a node's copy of all jobs. One goroutine alone uses it.
type jobReplica struct {
	read     jobReader
	jobs     map[ids.JobID]jobSnapshot
	graph    *dependency.Graph
	revision ids.Revision
	loaded   bool
}

// refresh makes the copy at least as new as the moment of the call.
func (c *jobReplica) refresh(ctx context.Context) error {
	if !c.loaded {
		c.jobs, c.graph = map[ids.JobID]jobSnapshot{}, dependency.New()
		epoch, err := c.read.List(ctx, records.JobPrefix, func(e kv.Entry) error {
			c.put(e.Key, e.Value, e.Revision)
			return nil
		})
		if err != nil {
			return err
		}
		c.revision, c.loaded = epoch, true
	}
	epoch, events, err := c.read.Watch(ctx, records.JobPrefix, c.revision, 0)
	if errors.Is(err, kv.ErrCompacted) {
		c.loaded = false
	}
	if err != nil {
		return err
	}
	for _, ev := range events {
		if ev.PutKey != "" {
			c.put(ev.PutKey, ev.Value, ev.Revision)
		}
	}
	c.revision = max(c.revision, epoch)
	return nil
}

// put takes a record in. One that can't be read is still that of a job which
// was accepted: its user must never be told that it is unknown.
func (c *jobReplica) put(key string, raw []byte, revision ids.Revision) {
	var rec records.Job
	if err := wire.Decode(raw, &rec); err != nil || rec.Status == "" {
		rec = records.Job{Status: wire.JobQueued}
	}
	id := ids.JobID(key[len(records.JobPrefix):])
	c.jobs[id] = snapshotOf(&rec, revision)
	c.graph.Put(id, rec.Dependencies())
}

// get tells what is known of a job. One is cancelled as soon as a job that it
// needs is, whether or not its own record says so yet.
func (c *jobReplica) get(id ids.JobID) (jobSnapshot, bool) {
	k, found := c.jobs[id]
	if found && !k.terminal() && c.graph.ReadinessOf(id).State == dependency.Cancelled {
		k.Status, k.cancelledByDependency = wire.JobCancelled, true
	}
	return k, found
}

// dependencyState tells whether all jobs of a list were accepted, and whether one of them
// is cancelled.
func (c *jobReplica) dependencyState(list []ids.JobID) (all, withdrawn bool) {
	all = true
	for _, id := range list {
		k, found := c.get(id)
		all = all && found
		withdrawn = withdrawn || k.Status == wire.JobCancelled
	}
	return all, withdrawn
}
