package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// A leader that is partitioned from the key-value store and its peers, but not from its agents,
// cannot distinguish an outage from the election of a later leader. It continues to answer
// heartbeats for a limited time, so that a zone which is partitioned together with its leader keeps
// its services. It answers machines without a replica for CancelMargin only, since their tasks can
// run elsewhere, and machines with a replica for longer (election.LeaseBounds).
//
// Such a leader does not know which jobs a later leader has cancelled, and renews the leases of
// agents that run them. So a leader acknowledges the cancellation of a job only once no previous
// leader can keep one of the job's tasks running for longer than the cancel deadline.

// terminationCallTimeout is how long the cloud may take to carry out a call after it was sent.
const terminationCallTimeout = 10 * time.Second

// CancelMargin returns how long a previous leader may continue to answer heartbeats after a
// cancellation is acknowledged. The last lease that it renews must expire within cancel of the
// acknowledgement. The margin is 0 if cancel is no longer than a lease.
func CancelMargin(cancel, lease time.Duration) time.Duration {
	return max(0, cancel-cancel/500-monotonic.AddDriftMargin(lease)-time.Second)
}

// previousLeaders bounds the time until which previous leaders may have received heartbeats that they
// then answered, and determines which heartbeats this leader may answer. It modifies only its own
// bounds, and Machine.Agent.HadReplicas and HadCancelledTask.
type previousLeaders struct {
	cluster  *cluster.State
	clock    *clock.Clock
	settings previousLeaderSettings
	// bounds holds the bounds of each previous leader that may still act. The bounds of those that are not
	// known are under the empty name.
	bounds map[ids.ControllerName]answerBounds
	// answerBounds holds the latest of them.
	answerBounds
	// inherited holds the machines that had a task of each job when this term began.
	inherited map[ids.JobID][]*cluster.Machine
	// recordsUnreadable reports whether some records could not be read, so that any machine may have
	// replicas.
	recordsUnreadable bool
	// restrictedToReplicas reports whether only machines with recorded replicas may be answered; see
	// RestrictToReplicas.
	restrictedToReplicas bool
}

// previousLeaderSettings holds the settings of previousLeaders.
type previousLeaderSettings struct {
	// exists reports whether another leader may have acted before this term.
	exists bool
	// grace is how long after this term began a previous leader without the key-value store may
	// answer machines. graceWithoutReplicas is the same for machines on which no replica is recorded.
	grace, graceWithoutReplicas time.Duration
	// leaders and allKnown are Options.PreviousLeaders and AllPreviousLeadersKnown.
	leaders  map[ids.ControllerName]time.Duration
	allKnown bool
	// cancelDeadline is the time within which the tasks of a cancelled job must have ended.
	// agentLease is how long an agent keeps running tasks after its last answered heartbeat.
	cancelDeadline, agentLease time.Duration
}

// begin sets the bounds. It must be called after the records are loaded.
func (p *previousLeaders) begin() {
	p.bounds = map[ids.ControllerName]answerBounds{}
	if p.settings.exists && !p.settings.allKnown {
		p.bounds[""] = p.boundsOf(0)
	}
	if p.settings.exists {
		for name, supersededFor := range p.settings.leaders {
			p.bounds[name] = p.boundsOf(supersededFor)
		}
	}
	p.update()
	p.inherited = map[ids.JobID][]*cluster.Machine{}
	for _, m := range p.cluster.Machines() {
		m.Agent.HadReplicas = m.HasRecordedReplica()
		p.inherit(m)
	}
}

// inherit records which jobs have a task on a machine according to the records that were read when this term
// began.
func (p *previousLeaders) inherit(m *cluster.Machine) {
	for _, a := range m.Assignments() {
		p.inherited[a.Job.ID] = append(p.inherited[a.Job.ID], m)
		if a.Job.Terminal() {
			m.Agent.HadCancelledTask = true
		}
	}
}

// boundsOf returns the bounds of a previous leader that had been superseded for some time when this term began.
func (p *previousLeaders) boundsOf(supersededFor time.Duration) answerBounds {
	now := p.clock.Now()
	until := func(grace time.Duration) monotonic.Instant { return now.Add(max(0, grace-max(0, supersededFor))) }
	return answerBounds{until(p.settings.grace), until(min(p.settings.grace, p.settings.graceWithoutReplicas))}
}

// update derives the latest bounds. Previous leaders that do not act any more may have answered until now.
func (p *previousLeaders) update() {
	now := p.clock.Now()
	latest := answerBounds{now, now}
	for _, bounds := range p.bounds {
		latest = latest.latest(bounds)
	}
	p.answerBounds = latest
}

// follows records that a controller follows this leader or a later one, so that it answers no machine as a
// previous leader from now on.
func (p *previousLeaders) follows(name ids.ControllerName) {
	if _, found := p.bounds[name]; !found {
		return
	}
	delete(p.bounds, name)
	before := p.answerBounds
	p.update()
	p.answerBounds = p.earliest(before)
}

// end records that no previous leader answers any machine from now on.
func (p *previousLeaders) end() {
	now := p.clock.Now()
	p.bounds = nil
	p.answerBounds = p.earliest(answerBounds{now, now})
}

// answeredUntil returns the latest time at which a previous leader may have received a heartbeat of a
// machine that it then answered.
func (p *previousLeaders) answeredUntil(m *cluster.Machine) monotonic.Instant {
	if m.Agent.HadReplicas || p.recordsUnreadable {
		return p.replicasAnsweredUntil
	}
	return p.othersAnsweredUntil
}

// mayTerminate reports whether a previous leader may still terminate a machine without having recorded that.
// It does so only for a task of a cancelled job, and only while it may answer heartbeats. Its last call to the
// cloud may take terminationCallTimeout.
func (p *previousLeaders) mayTerminate(m *cluster.Machine) bool {
	return m.Agent.HadCancelledTask && p.mayCallCloud()
}

// mayCallCloud reports whether a call of a previous leader to the cloud may still be carried out.
func (p *previousLeaders) mayCallCloud() bool {
	until := max(p.replicasAnsweredUntil, p.othersAnsweredUntil).Add(terminationCallTimeout)
	return p.settings.exists && p.clock.Now() < until
}

// recordCancelled records that a job was just cancelled. A previous leader may observe the same cancellation, and
// terminate the machines on which it last knew a task of the job, even if the task has ended in the meantime.
func (p *previousLeaders) recordCancelled(j *cluster.Job) {
	if !p.mayCallCloud() {
		return
	}
	for _, m := range p.inherited[j.ID] {
		m.Agent.HadCancelledTask = true
	}
}

// endTerminations reports whether a machine may be used from now on, since no previous leader can terminate it
// any more. It returns true once for each machine that a previous leader could terminate.
func (p *previousLeaders) endTerminations(m *cluster.Machine) bool {
	ended := m.Agent.HadCancelledTask && !p.mayTerminate(m)
	if ended {
		m.Agent.HadCancelledTask = false
	}
	return ended
}

// mayAnswer reports whether a machine's heartbeat may be answered. It uses only committed records,
// since the next leader reads the same records. What a leader without the key-value store has decided
// or observed is not recorded.
func (p *previousLeaders) mayAnswer(m *cluster.Machine) bool {
	return !p.restrictedToReplicas || m.HasRecordedReplica()
}

// mayAnswerRemoved reports whether the heartbeat of a removed machine may be answered.
func (p *previousLeaders) mayAnswerRemoved() bool { return !p.restrictedToReplicas }

// allWithinCancelMargin reports whether no previous leader answers any machine for longer than
// CancelMargin from now.
func (p *previousLeaders) allWithinCancelMargin(now monotonic.Instant) bool {
	return p.withinCancelMargin(now, max(p.replicasAnsweredUntil, p.othersAnsweredUntil))
}

// withinCancelMargin reports whether a previous leader that answers until the given time does so for
// no longer than CancelMargin from now.
func (p *previousLeaders) withinCancelMargin(now, until monotonic.Instant) bool {
	return now.Add(CancelMargin(p.settings.cancelDeadline, p.settings.agentLease)) >= until
}

// jobWithinCancelMargin reports whether no previous leader can keep a task of the job running beyond
// the cancel deadline. An agent that has seen a fencing token of this leader ignores the responses of
// previous leaders.
func (p *previousLeaders) jobWithinCancelMargin(now monotonic.Instant, j *cluster.Job) bool {
	for _, a := range j.Active() {
		if !a.Machine.Agent.Fenced && !p.withinCancelMargin(now, p.answeredUntil(a.Machine)) {
			return false
		}
	}
	return true
}

// RestrictToReplicas sets whether this leader answers only machines with recorded replicas. The
// restriction must be on while a later leader cannot be ruled out.
func (c *Core) RestrictToReplicas(restrict bool) { c.previousLeaders.restrictedToReplicas = restrict }

// PreviousLeadersWithinCancelMargin reports whether no previous leader answers any machine for longer
// than CancelMargin from now. If so, every cancellation may be acknowledged.
func (c *Core) PreviousLeadersWithinCancelMargin(now monotonic.Instant) bool {
	return c.previousLeaders.allWithinCancelMargin(now)
}

// CanAcknowledgeCancel reports whether the cancellation of a job, which the core must have observed,
// may be acknowledged to users. It may if this leader acts on the cancellation and no previous leader
// can keep any of the job's tasks running beyond the cancel deadline. A terminated machine has no
// tasks. A task without a record was never started, so it is sufficient to check the recorded tasks.
func (c *Core) CanAcknowledgeCancel(now monotonic.Instant, id ids.JobID) bool {
	if c.previousLeaders.allWithinCancelMargin(now) {
		return true
	}
	if j := c.cluster.Job(id); j != nil {
		return c.previousLeaders.jobWithinCancelMargin(now, j)
	}
	return !c.jobRecords.unreadable[id]
}
