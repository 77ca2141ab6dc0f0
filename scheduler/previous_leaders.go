package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// A leader that is cut off from the key-value store and its peers, but not from its agents,
// cannot tell an outage from a later leader. It answers heartbeats for a while, so that a
// zone which is cut off together with its leader keeps its services. It answers machines
// without a replica for CancelMargin only, since their tasks may run elsewhere, and the others
// for longer (election.LeaseBounds).
//
// Such a leader does not know which jobs a later leader has cancelled, and renews the leases of
// agents that run them. So a leader acknowledges the cancellation of a job only once no
// previous leader can keep one of its tasks running for longer than the cancel deadline.

// CancelMargin is how long a previous leader may answer heartbeats after a cancellation was
// acknowledged: the last lease that it renews must expire within cancel from then. It is 0
// where cancel is no longer than a lease.
func CancelMargin(cancel, lease time.Duration) time.Duration {
	return max(0, cancel-cancel/500-monotonic.AddDriftMargin(lease)-time.Second)
}

// previousLeaders knows until when previous leaders can have received heartbeats that they then
// answered, and which heartbeats this leader may answer itself. It changes nothing but its own
// bounds, and Machine.Agent.HadReplicas when the term begins.
type previousLeaders struct {
	cluster  *cluster.State
	clock    *clock.Clock
	settings previousLeaderSettings
	// replicasAnsweredUntil is the latest time at which a previous leader answers machines on which a
	// replica was recorded when this term began, and othersAnsweredUntil the same for all other machines.
	replicasAnsweredUntil, othersAnsweredUntil monotonic.Instant
	// recordsUnreadable tells that some records could not be read, so that any machine may have replicas.
	recordsUnreadable bool
	// restrictedToReplicas tells that only machines with replicas may be answered; see
	// RestrictToReplicas.
	restrictedToReplicas bool
}

// previousLeaderSettings are the settings of previousLeaders.
type previousLeaderSettings struct {
	// exists tells that another leader may have acted before this term.
	exists bool
	// grace is how long a previous leader without the key-value store may answer machines
	// after this term began, and graceWithoutReplicas the same for machines on
	// which no replica is recorded.
	grace, graceWithoutReplicas time.Duration
	// cancelDeadline is the time in which a cancelled job's tasks must have ended.
	cancelDeadline, agentLease time.Duration
}

// begin sets the bounds. It is called once the records are loaded.
func (p *previousLeaders) begin() {
	now := p.clock.Now()
	p.replicasAnsweredUntil, p.othersAnsweredUntil = now, now
	if p.settings.exists {
		p.replicasAnsweredUntil = now.Add(p.settings.grace)
		p.othersAnsweredUntil = now.Add(min(p.settings.grace, p.settings.graceWithoutReplicas))
	}
	for _, m := range p.cluster.Machines() {
		m.Agent.HadReplicas = m.HasRecordedReplica()
	}
}

// end notes that no previous leader answers any machine any more.
func (p *previousLeaders) end() {
	now := p.clock.Now()
	p.replicasAnsweredUntil, p.othersAnsweredUntil = min(p.replicasAnsweredUntil, now), min(p.othersAnsweredUntil, now)
}

// answeredUntil is the latest time at which a previous leader answered a machine.
func (p *previousLeaders) answeredUntil(m *cluster.Machine) monotonic.Instant {
	if m.Agent.HadReplicas || p.recordsUnreadable {
		return p.replicasAnsweredUntil
	}
	return p.othersAnsweredUntil
}

// mayAnswer tells whether a machine's heartbeat may be answered. It goes by the committed
// records, since the next leader reads the same: what a leader without the key-value store has
// decided or observed is not recorded.
func (p *previousLeaders) mayAnswer(m *cluster.Machine) bool {
	return !p.restrictedToReplicas || m.HasRecordedReplica()
}

// mayAnswerRemoved tells whether the heartbeat of a machine that was removed may be answered.
func (p *previousLeaders) mayAnswerRemoved() bool { return !p.restrictedToReplicas }

// allWithinCancelMargin tells whether no previous leader answers any machine for longer than
// CancelMargin.
func (p *previousLeaders) allWithinCancelMargin(now monotonic.Instant) bool {
	return p.withinCancelMargin(now, max(p.replicasAnsweredUntil, p.othersAnsweredUntil))
}

// withinCancelMargin tells whether a previous leader that answers until a time does so for no longer
// than CancelMargin.
func (p *previousLeaders) withinCancelMargin(now, until monotonic.Instant) bool {
	return now.Add(CancelMargin(p.settings.cancelDeadline, p.settings.agentLease)) >= until
}

// jobWithinCancelMargin tells whether no previous leader can keep a task of a job running for too long.
// An agent that has seen a token of this leader ignores the answers of previous ones.
func (p *previousLeaders) jobWithinCancelMargin(now monotonic.Instant, j *cluster.Job) bool {
	for _, a := range j.Active() {
		if !a.Machine.Agent.Fenced && !p.withinCancelMargin(now, p.answeredUntil(a.Machine)) {
			return false
		}
	}
	return true
}

// RestrictToReplicas sets whether this leader answers only machines with recorded replicas. It
// must do so while it cannot rule out a later leader.
func (c *Core) RestrictToReplicas(only bool) { c.previousLeaders.restrictedToReplicas = only }

// PreviousLeadersWithinCancelMargin tells whether no previous leader answers any machine for longer than
// CancelMargin. Then every cancellation may be acknowledged.
func (c *Core) PreviousLeadersWithinCancelMargin(now monotonic.Instant) bool {
	return c.previousLeaders.allWithinCancelMargin(now)
}

// CanAcknowledgeCancel tells whether the cancellation of a job, which the core must have
// observed, may be acknowledged to users: this leader acts on it, and no previous one can keep
// any of the job's tasks running for too long. A machine that was terminated has no tasks. A
// task without a record was never started, so the recorded tasks are all there are.
func (c *Core) CanAcknowledgeCancel(now monotonic.Instant, id ids.JobID) bool {
	if c.previousLeaders.allWithinCancelMargin(now) {
		return true
	}
	if j := c.cluster.Job(id); j != nil {
		return c.previousLeaders.jobWithinCancelMargin(now, j)
	}
	return !c.jobRecords.unreadable[id]
}
