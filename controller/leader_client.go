package controller

import (
	"context"
	"log/slog"
	"time"

	"ospreystile.example/ospreystile/controller/leader"
	"ospreystile.example/ospreystile/controller/peerapi"
	"ospreystile.example/ospreystile/election"
	"ospreystile.example/ospreystile/ids"
)

const (
	// progressTimeout is how long the leader may take to return jobs' progress.
	progressTimeout = 400 * time.Millisecond
	// noticeTimeout is how long a notice of a submission may take to reach the leader.
	noticeTimeout = time.Second
	// acknowledgeTimeout is how long the leader may take to acknowledge a cancellation.
	acknowledgeTimeout = 700 * time.Millisecond
)

// leaderClient calls the leader, in this process if this controller leads and otherwise at a peer.
type leaderClient struct {
	localLeader *localLeader
	election    *election.Election
	peers       peerSet
	log         *slog.Logger
}

// peer returns the peer that leads; nil if no leader is known, or this controller leads.
func (c *leaderClient) peer() *peer {
	known, _ := c.election.Leader()
	return c.peers.byName(known.Name)
}

// progress returns the progress of each of the jobs, or nil if the leader does not answer. It is
// for display only.
func (c *leaderClient) progress(ctx context.Context, jobs []ids.JobID) []peerapi.JobProgress {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	if local := c.localLeader.get(); local != nil {
		answer, err := localProgress(ctx, local, jobs)
		if err != nil {
			return nil
		}
		return answer
	}
	var answer []peerapi.JobProgress
	if p := c.peer(); p != nil && p.Call(ctx, peerapi.OpProgress, jobs, &answer) == nil {
		return answer
	}
	return nil
}

// progressAt returns the progress of each of the jobs from the leader in this process. It is zero
// for jobs that the leader does not know.
func localProgress(ctx context.Context, local *leader.Leader, jobs []ids.JobID) ([]peerapi.JobProgress, error) {
	known, err := local.Progress(ctx, jobs)
	if err != nil {
		return nil, err
	}
	answer := make([]peerapi.JobProgress, len(jobs))
	for i, id := range jobs {
		answer[i] = peerapi.JobProgress{Done: known[id].Done, Running: known[id].Running}
	}
	return answer, nil
}

// notifyJob sends the record of a submission to the leader without waiting. The notice may be
// lost, since the leader's watch returns the record too.
func (c *leaderClient) notifyJob(job leader.JobRecord) {
	if local := c.localLeader.get(); local != nil {
		local.NotifyJob(job)
		return
	}
	if p := c.peer(); p != nil {
		notice := peerapi.NewJobNotice(job.ID, job.Record, job.Revision)
		go c.sendNotice(p, notice) // ends within noticeTimeout
	}
}

// sendNotice sends a notice to a peer. It outlives the user's request, so it has a time limit
// of its own.
func (c *leaderClient) sendNotice(p *peer, notice peerapi.JobNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	if err := p.Call(ctx, peerapi.OpJob, notice, nil); err != nil {
		c.log.Debug("leader notification failed", "job", notice.ID, "err", err)
	}
}

// acknowledgeCancellation has the leader observe the record of a cancelled job, and reports
// whether the cancellation may be reported to users. It returns false without an answer in time.
func (c *leaderClient) acknowledgeCancellation(ctx context.Context, job leader.JobRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	known, _ := c.election.Leader()
	if local := c.localLeader.get(); local != nil && known.Revision == local.Revision() {
		return local.AcknowledgeCancellation(ctx, job)
	}
	p := c.peers.byName(known.Name)
	if p == nil {
		return false
	}
	var acknowledged bool
	notice := peerapi.NewJobNotice(job.ID, job.Record, job.Revision)
	if err := p.Call(ctx, peerapi.OpJob, notice, &acknowledged); err != nil {
		c.log.Debug("cancellation not acknowledged", "job", job.ID, "err", err)
		return false
	}
	return acknowledged
}
