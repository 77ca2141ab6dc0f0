package controller

import (
	"context"
	"time"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/server"
	"ospreystile.example/ospreystile/wire"
)

// Status implements server.Service. What is over may be told from memory;
// everything else is read, since another node may have told something newer.
func (n *Controller) Status(ctx context.Context, id ids.JobID) server.Response {
	if s, ok := n.terminalJobs.get(id); ok {
		return server.Response{Status: 200, Body: s}
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	a := n.statusReads.ask(ctx, id, nil)
	if a.err != nil {
		n.log.Debug("job read failed", "job", id, "err", a.err)
		return server.RetryLater(retryDelay)
	}
	if !a.found {
		return server.Response{Status: 404}
	}
	return n.jobAnswer(ctx, id, a)
}

// jobAnswer is the answer about a job that was found.
func (n *Controller) jobAnswer(ctx context.Context, id ids.JobID, a queryAnswer) server.Response {
	if a.job.terminal() {
		return n.terminalAnswer(ctx, id, a.job)
	}
	s := wire.JobStatus{ID: id, Status: a.job.Status, Done: a.progress.Done, Running: a.progress.Running}
	if s.Running > 0 {
		s.Status = wire.JobRunning
	}
	return server.Response{Status: 200, Body: s}
}

// terminalAnswer is the answer about a job that is done or cancelled, if that may be told
// yet.
func (n *Controller) terminalAnswer(ctx context.Context, id ids.JobID, job jobSnapshot) server.Response {
	s := wire.JobStatus{ID: id, Status: job.Status}
	switch {
	case job.Status == wire.JobDone:
		s.Done = job.Tasks
	case !job.cancelledByDependency && !n.cancelVisible(ctx, id, &records.Job{Status: job.Status, Tasks: job.Tasks}, job.revision):
		a := server.RetryLater(retryDelay)
		a.Close = true // another node may reach the leader
		return a
	}
	n.terminalJobs.put(s)
	return server.Response{Status: 200, Body: s}
}

// snapshotOf is what a job's own record tells.
func snapshotOf(rec *records.Job, revision ids.Revision) jobSnapshot {
	// Only the leader cancels without the description: what never had a task.
	return jobSnapshot{Status: rec.Status, Tasks: rec.Tasks, revision: revision,
		cancelledByDependency: rec.Status == wire.JobCancelled && rec.Spec == nil}
}

// readJob reads a job's record from the state service.
func (n *Controller) readJob(ctx context.Context, id ids.JobID) (*records.Job, ids.Revision, bool, error) {
	e, found, err := n.userState.Get(ctx, records.JobKey(id))
	if err != nil || !found {
		return nil, 0, false, err
	}
	rec := new(records.Job)
	if err := wire.Decode(e.Value, rec); err != nil {
		return nil, 0, false, err
	}
	return rec, e.Revision, true, nil
}

// progress asks the leader how many tasks of each job are done and running. It
// is for display; without an answer nothing is known to run.
func (n *Controller) progress(ctx context.Context, list []ids.JobID) []peerapi.JobProgress {
	ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
	defer cancel()
	if t := n.leader.Load(); t != nil {
		return progressAt(ctx, t, list)
	}
	var ans []peerapi.JobProgress
	if p := n.leaderPeer(); p != nil && p.Call(ctx, peerapi.OpProgress, list, &ans) == nil {
		return ans
	}
	return nil
}

// progressAt asks the leader in this process; nil means that the term is over.
func progressAt(ctx context.Context, own *leader.Leader, list []ids.JobID) []peerapi.JobProgress {
	known, err := own.Progress(ctx, list)
	if err != nil {
		return nil
	}
	out := make([]peerapi.JobProgress, len(list))
	for i, id := range list {
		out[i] = peerapi.JobProgress{Done: known[id].Done, Running: known[id].Running}
	}
	return out
}
