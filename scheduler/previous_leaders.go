package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
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

// previousLeaders is until when earlier leaders can have received reports that they then
// answered: from machines on which a replica was recorded when this term began, and from
// all others.
type previousLeaders struct {
	withReplicas, others monotonic.Instant
	// unclear tells that some records could not be read: any machine may have replicas.
	unclear bool
}

// end notes that there is no earlier leader any more.
func (p *previousLeaders) end(now monotonic.Instant) {
	p.withReplicas, p.others = min(p.withReplicas, now), min(p.others, now)
}

// until is the latest time at which an earlier leader answered a machine.
func (p *previousLeaders) until(m *machine) monotonic.Instant {
	if m.hadReplicas || p.unclear {
		return p.withReplicas
	}
	return p.others
}

// beginPreviousLeaders is called once the records are loaded.
func (c *Core) beginPreviousLeaders() {
	c.previousLeaders.withReplicas, c.previousLeaders.others = c.now, c.now
	if c.opt.PreviousLeader {
		c.previousLeaders.withReplicas = c.now.Add(c.opt.PreviousLeaderGrace)
		c.previousLeaders.others = c.now.Add(min(c.opt.PreviousLeaderGrace, c.opt.PreviousLeaderGraceWithoutReplicas))
	}
	for _, m := range c.registry.machineList {
		m.hadReplicas = m.hasRecordedReplica()
	}
}

// hasRecordedReplica tells whether the records place a replica on the machine. What a
// leader without the state service takes for one is also in the records that its successor
// reads: nothing that it decided since is recorded, and neither is what it has found gone.
func (m *machine) hasRecordedReplica() bool {
	for _, a := range m.taskList {
		if a.job.spec.Service && a.recorded {
			return true
		}
	}
	return false
}

// RestrictToReplicas sets whether this leader, which cannot rule out a later one, has to
// leave all reports unanswered but those of machines with recorded replicas.
func (c *Core) RestrictToReplicas(only bool) { c.restrictedToReplicas = only }

// mayAnswer tells whether a machine's report may be answered.
func (c *Core) mayAnswer(m *machine) bool { return !c.restrictedToReplicas || m.hasRecordedReplica() }

// PreviousLeadersHarmless tells whether no earlier leader answers workers any more, or for no
// longer than CancelMargin: then every cancellation may be acknowledged.
func (c *Core) PreviousLeadersHarmless(now monotonic.Instant) bool {
	return c.harmless(now, max(c.previousLeaders.withReplicas, c.previousLeaders.others))
}

func (c *Core) harmless(now, until monotonic.Instant) bool {
	return now.Add(CancelMargin(c.opt.CancelDeadline, c.opt.AgentLease)) >= until
}

// CanAcknowledgeCancel tells whether the cancellation of a job, which the core has taken
// in, may be told to users: this leader acts on it, and no earlier one can keep any of
// the job's tasks for too long. A machine that has seen a token of this leader drops all
// that earlier ones answer, and one that was returned has no tasks. What is not recorded
// was never started, so the recorded tasks are all there are.
func (c *Core) CanAcknowledgeCancel(now monotonic.Instant, id ids.JobID) bool {
	if c.PreviousLeadersHarmless(now) {
		return true
	}
	j := c.jobs[id]
	if j == nil {
		return !c.unreadable[id]
	}
	for _, a := range j.active {
		if !a.machine.fenced && !c.harmless(now, c.previousLeaders.until(a.machine)) {
			return false
		}
	}
	return true
}
