package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// A leader that lost the state service and its peers, but not its workers, cannot tell
// an outage from a successor. It goes on answering workers for a while, so that a zone
// which is cut off together with its leader keeps its services. Machines without a replica
// are answered for CancelMargin only, as their tasks may as well run elsewhere; the others
// for longer (election.LeaseBounds).
//
// Such a leader does not know of jobs that are cancelled through its successor meanwhile,
// and renews the leases of their tasks. So a successor acknowledges the cancellation of a
// job only once no earlier leader can keep one of its tasks for longer than cancel_s from
// then.

// CancelMargin is for how long an earlier leader may go on answering workers after a user
// was told that a job is cancelled: the lease that it renews last must have ended within
// cancel from then. It is 0 where cancel is no longer than a lease.
func CancelMargin(cancel, lease time.Duration) time.Duration {
	return max(0, cancel-cancel/500-monotonic.AddDriftMargin(lease)-time.Second)
}

// previousLeaders is until when earlier leaders can have received heartbeats that they then
// answered, and which heartbeats this leader may answer itself.
type previousLeaders struct {
	cluster  *cluster.State
	clock    *clock.Clock
	settings previousLeaderSettings
	// withReplicas bounds answers to machines on which a replica was recorded when this
	// term began, and others those to all others.
	withReplicas, others monotonic.Instant
	// unclear tells that some records could not be read: any machine may have replicas.
	unclear bool
	// restrictedToReplicas tells that no machine may be answered but those with replicas;
	// see RestrictToReplicas.
	restrictedToReplicas bool
}

// previousLeaderSettings are the settings of previousLeaders.
type previousLeaderSettings struct {
	// exists tells that another leader may have acted before.
	exists bool
	// grace is how long a previous leader without the key-value store may go on answering
	// machines after this term began, and graceWithoutReplicas the same for machines on
	// which no replica is recorded.
	grace, graceWithoutReplicas time.Duration
	// cancelDeadline is the time in which a cancelled job's tasks must have ended.
	cancelDeadline, agentLease time.Duration
}

// begin sets the bounds. It is called once the records are loaded.
func (p *previousLeaders) begin() {
	now := p.clock.Now()
	p.withReplicas, p.others = now, now
	if p.settings.exists {
		p.withReplicas = now.Add(p.settings.grace)
		p.others = now.Add(min(p.settings.grace, p.settings.graceWithoutReplicas))
	}
	for _, m := range p.cluster.Machines() {
		m.Agent.HadReplicas = m.HasRecordedReplica()
	}
}

// end notes that there is no earlier leader any more.
func (p *previousLeaders) end() {
	now := p.clock.Now()
	p.withReplicas, p.others = min(p.withReplicas, now), min(p.others, now)
}

// until is the latest time at which an earlier leader answered a machine.
func (p *previousLeaders) until(m *cluster.Machine) monotonic.Instant {
	if m.Agent.HadReplicas || p.unclear {
		return p.withReplicas
	}
	return p.others
}

// mayAnswer tells whether a machine's heartbeat may be answered. The records that place
// a replica on it are those that the next leader reads: nothing that a leader without the
// key-value store decided since is recorded, and neither is what it has found ended.
func (p *previousLeaders) mayAnswer(m *cluster.Machine) bool {
	return !p.restrictedToReplicas || m.HasRecordedReplica()
}

// mayAnswerRemoved tells whether the heartbeat of a machine that was removed may be answered.
func (p *previousLeaders) mayAnswerRemoved() bool { return !p.restrictedToReplicas }

// allHarmless tells whether no earlier leader answers machines any more, or for no longer
// than CancelMargin.
func (p *previousLeaders) allHarmless(now monotonic.Instant) bool {
	return p.harmless(now, max(p.withReplicas, p.others))
}

// harmless tells whether an earlier leader that answers until a time does so for no longer
// than CancelMargin.
func (p *previousLeaders) harmless(now, until monotonic.Instant) bool {
	return now.Add(CancelMargin(p.settings.cancelDeadline, p.settings.agentLease)) >= until
}

// harmlessFor tells whether no earlier leader can keep a task of a job for too long. A
// machine that has seen a token of this leader drops all that earlier ones answer.
func (p *previousLeaders) harmlessFor(now monotonic.Instant, j *cluster.Job) bool {
	for _, a := range j.Active() {
		if !a.Machine.Agent.Fenced && !p.harmless(now, p.until(a.Machine)) {
			return false
		}
	}
	return true
}

// RestrictToReplicas sets whether this leader, which cannot rule out a later one, has to
// leave all heartbeats unanswered but those of machines with recorded replicas.
func (c *Core) RestrictToReplicas(only bool) { c.previousLeaders.restrictedToReplicas = only }

// PreviousLeadersHarmless tells whether no earlier leader answers machines any more, or for
// no longer than CancelMargin: then every cancellation may be acknowledged.
func (c *Core) PreviousLeadersHarmless(now monotonic.Instant) bool {
	return c.previousLeaders.allHarmless(now)
}

// CanAcknowledgeCancel tells whether the cancellation of a job, which the core has taken
// in, may be told to users: this leader acts on it, and no earlier one can keep any of
// the job's tasks for too long. A machine that was terminated has no tasks. What is not
// recorded was never started, so the recorded tasks are all there are.
func (c *Core) CanAcknowledgeCancel(now monotonic.Instant, id ids.JobID) bool {
	if c.previousLeaders.allHarmless(now) {
		return true
	}
	if j := c.cluster.Job(id); j != nil {
		return c.previousLeaders.harmlessFor(now, j)
	}
	return !c.jobRecords.unreadable[id]
}
