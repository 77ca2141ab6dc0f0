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
	// progressTimeout bounds the time that the leader takes to return the progress of jobs.
	progressTimeout = 400 * time.Millisecond
	// noticeTimeout bounds the time that a notice of a submission takes to reach the leader.
	noticeTimeout = time.Second
	// acknowledgeTimeout bounds the time that the leader takes to acknowledge a cancellation.
	acknowledgeTimeout = 700 * time.Millisecond
)

// leaderClient calls the leader: in this process if this controller leads, and otherwise at a peer.
type leaderClient struct {
	localLeader *localLeader
	election    *election.Election
	peers       peerSet
	log         *slog.Logger
}

// peer returns the peer that leads. It returns nil if no leader is known or if this controller leads.
func (c *leaderClient) peer() *peer {
	knownLeader, _ := c.election.Leader()
	return c.peers.byName(knownLeader.Name)
}

// progress returns the progress of each job, or nil if the leader does not answer. The result is for
// display only.
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

// localProgress returns the progress of each job according to the leader in this process. It is zero
// for jobs that the leader does not know.
func localProgress(ctx context.Context, local *leader.Leader, jobs []ids.JobID) ([]peerapi.JobProgress, error) {
	progress, err := local.Progress(ctx, jobs)
	if err != nil {
		return nil, err
	}
	answer := make([]peerapi.JobProgress, len(jobs))
	for i, id := range jobs {
		answer[i] = peerapi.JobProgress{Done: progress[id].Done, Running: progress[id].Running}
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

// sendNotice sends a notice to a peer. It may outlive the user's request, so it has its own timeout.
func (c *leaderClient) sendNotice(p *peer, notice peerapi.JobNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	if err := p.Call(ctx, peerapi.OpJob, notice, nil); err != nil {
		c.log.Debug("leader notification failed", "job", notice.ID, "err", err)
	}
}

// acknowledgeCancellation sends the record of a cancelled job to the leader, and reports whether the
// leader allows the cancellation to be reported to users. It returns false if the leader does not
// answer in time.
func (c *leaderClient) acknowledgeCancellation(ctx context.Context, job leader.JobRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	knownLeader, _ := c.election.Leader()
	if local := c.localLeader.get(); local != nil && knownLeader.Revision == local.Revision() {
		return local.AcknowledgeCancellation(ctx, job)
	}
	p := c.peers.byName(knownLeader.Name)
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
