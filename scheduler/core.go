package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/preemption"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// Core is the scheduler of one term. It receives events, runs the components in a fixed order in
// each step, and returns their decisions. New in wiring.go creates and connects the components.
type Core struct {
	opt Options

	// The state that all components share. rounds holds when a scheduling round is due.
	clock   *clock.Clock
	rounds  *clock.RoundTrigger
	cluster *cluster.State
	quotas  *quota.Tracker

	// The components that receive events, and the one that bounds what previous leaders may
	// still do.
	heartbeats      *heartbeatHandler
	jobRecords      *jobRecordReader
	registry        *machineRegistry
	previousLeaders *previousLeaders

	// The components that end tasks and learn from how they ended.
	lifecycle *taskLifecycle
	estimates *runEstimates
	failures  *failureHistory
	slowness  *slownessDetector

	// The components that evaluate the health of machines and zones. zones is nil if zone
	// recovery is off.
	health *healthMonitor
	zones  *zoneGate

	// The components of a scheduling round.
	candidates   *candidateList
	queue        *jobQueue
	quota        *quotaCheck
	searches     *searcher
	admission    *admitter
	preemption   *preemption.Policy
	reservations *reservations

	// The components that derive decisions from the state.
	autoscaler   *autoscaler
	terminations *terminationRecorder
	records      *recordWriter
	commands     *commandDispatcher
}

// SetCatalog sets the cloud's machine types with their current prices. Before the first call, unless New
// was called with machine types, no task is placed, and no machine is provisioned or terminated as idle.
// All else proceeds: heartbeats are answered, tasks are stopped, and their ends are recorded.
func (c *Core) SetCatalog(types []wire.MachineType) { c.cluster.SetCatalog(types) }

// Superseded reports whether an agent has seen a later leader.
func (c *Core) Superseded() bool { return c.heartbeats.superseded }

// RecordsError returns a non-nil error once the stored records differ from what this leader wrote
// last. The term must then end, and the records must be read again.
func (c *Core) RecordsError() error { return c.records.err }

// Begin starts the term. It must be called after the records are loaded.
func (c *Core) Begin(now monotonic.Instant) {
	c.clock.Begin(now)
	c.previousLeaders.begin()
	c.autoscaler.begin()
	c.records.begin()
	c.jobRecords.begin()
	c.registry.begin()
	c.zones.begin()
	c.rounds.MarkDue()
}

// AllControllersFollow records that every other controller has confirmed since the start of this
// term that it follows this leader or a later one. A controller that follows a later leader has
// ended its own earlier terms. If its process restarts after the confirmation, the new process
// cannot resume such a term, since each term belongs to the process that began it. So no previous
// leader answers a heartbeat, and thereby renews an agent's lease, from now on. Tasks on machines
// without heartbeats may therefore be placed elsewhere once the agent's lease has expired, without
// waiting for the grace period of previous leaders.
func (c *Core) AllControllersFollow(now monotonic.Instant) {
	c.clock.Set(now)
	c.previousLeaders.end()
}

// ControllerFollows records that one other controller has confirmed since the start of this term that it follows
// this leader or a later one. See AllControllersFollow.
func (c *Core) ControllerFollows(now monotonic.Instant, name ids.ControllerName) {
	c.clock.Set(now)
	c.previousLeaders.follows(name)
}

// Step does the work that is due now, including that which the events since the last step have
// caused, and returns the decisions made since the last step.
func (c *Core) Step(now monotonic.Instant) Decisions {
	c.clock.Advance(now)
	c.checkHealth()
	c.scheduleIfDue()
	c.autoscaler.plan()
	c.zones.restore()
	c.records.refillBudget()
	c.zones.writeRecords()
	c.terminations.writeRecords()
	c.records.writeRecords()
	calls := c.commands.dispatch()
	return c.takeDecisions(calls)
}

// checkHealth checks the health of the machines and of the zones if a check is due.
func (c *Core) checkHealth() {
	if c.health.checkIfDue() {
		c.zones.observe()
	}
}

// scheduleIfDue runs a scheduling round if one is due. It delays the next one by RoundInterval, or
// by more if this one examined many machines.
func (c *Core) scheduleIfDue() {
	now := c.clock.Now()
	if !c.rounds.Start(now) {
		return
	}
	before := c.candidates.examined
	c.scheduleRound()
	cost := time.Duration(c.candidates.examined-before) * c.opt.RoundCostPerMachine
	c.rounds.DelayUntil(now.Add(max(c.opt.RoundInterval, cost)))
}

// scheduleRound runs one scheduling round. It first admits the jobs within the nominal quota of
// their team and then the jobs that borrow, each by priority and creation time. Later jobs may be
// admitted before one that does not fit. Preemption then frees resources for jobs that are
// entitled to them, and machines are reserved for jobs that have waited too long.
func (c *Core) scheduleRound() {
	waiting := c.queue.waitingJobs()
	if len(waiting) == 0 {
		return
	}
	c.quota.updateSurplus()
	reached := c.admission.admitAll(waiting)
	c.candidates.examined += c.preemption.Preempt(reached, c.candidates.machines)
	c.reservations.update(waiting)
	if c.queue.groups.moreWait() {
		c.rounds.MarkDue()
	}
}

// takeDecisions returns the decisions of all components since the last step.
func (c *Core) takeDecisions(calls agentCalls) Decisions {
	out := Decisions{
		SendCommands:      calls.sendCommands,
		RequestHeartbeats: calls.requestHeartbeats,
		Provision:         c.autoscaler.takeDecisions(),
		ZoneEvents:        c.zones.takeTransitions(),
	}
	out.RecordChanges, out.RereadJobs = c.records.takeDecisions()
	out.ForgetAddresses = c.registry.takeDecisions()
	out.Terminate, out.TerminateCancelled = c.terminations.takeDecisions()
	return out
}
