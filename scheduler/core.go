package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/preemption"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// Core is the scheduler of one term: the events that come in, the order of a step, and the
// decisions that go out. wiring.go makes its parts and connects them.
type Core struct {
	opt Options

	// The state that all parts share. rounds tells when a scheduling round is due.
	clock   *clock.Clock
	rounds  *clock.RoundTrigger
	cluster *cluster.State
	quotas  *quota.Tracker

	// The parts that receive events, and bound what previous leaders may still do.
	heartbeats      *heartbeatHandler
	jobRecords      *jobRecordReader
	registry        *machineRegistry
	previousLeaders *previousLeaders

	// The parts that end tasks and learn from how they ended.
	lifecycle *taskLifecycle
	estimates *runEstimates
	failures  *failureHistory
	slowness  *slownessDetector

	// The parts that judge machines and zones. zones is nil where zone recovery is off.
	health *healthMonitor
	zones  *zoneGate

	// The parts of a scheduling round.
	candidates   *candidateList
	queue        *jobQueue
	quota        *quotaCheck
	searches     *searcher
	admission    *admitter
	preemption   *preemption.Policy
	reservations *reservations

	// The parts that turn the state into decisions.
	autoscaler *autoscaler
	records    *recordWriter
	commands   *commandDispatcher
}

// SetCatalog sets the cloud's machine types with their current prices.
func (c *Core) SetCatalog(types []wire.MachineType) { c.cluster.SetCatalog(types) }

// Superseded tells that an agent has seen a later leader.
func (c *Core) Superseded() bool { return c.heartbeats.superseded }

// RecordsError is not nil once the records are not as this leader left them. The term must then
// end, and the records must be read again.
func (c *Core) RecordsError() error { return c.records.err }

// Begin begins the term once the records are loaded.
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

// AllControllersFollow notes that every other controller has confirmed, since this term began,
// that it follows this leader. A process that knows of a later leader answers no heartbeat for
// an earlier one, and neither does a process that starts after that. So no previous leader can
// renew an agent's lease for a heartbeat sent from now on, and tasks on silent machines need not
// wait for the grace of previous leaders.
func (c *Core) AllControllersFollow(now monotonic.Instant) {
	c.clock.Set(now)
	c.previousLeaders.end()
}

// Step runs what time and events call for, and returns the decisions since the last step.
func (c *Core) Step(now monotonic.Instant) Decisions {
	c.clock.Advance(now)
	c.checkHealth()
	c.scheduleIfDue()
	c.autoscaler.plan()
	c.zones.restore()
	c.records.refillBudget()
	c.zones.writeRecords()
	c.records.writeRecords()
	calls := c.commands.dispatch()
	return c.takeDecisions(calls)
}

// checkHealth checks the machines, and with them the zones, if a check is due.
func (c *Core) checkHealth() {
	if c.health.checkIfDue() {
		c.zones.observe()
	}
}

// scheduleIfDue runs a scheduling round if one is due. The next waits for RoundInterval, or
// longer if this one examined many machines.
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

// scheduleRound is one scheduling round. First it admits the jobs that stay within their
// team's nominal quota, then those that borrow, each by priority and creation time. Later
// jobs may pass one that does not fit. Then preemption frees resources for jobs that are
// entitled to them, and machines are reserved for those that have waited too long.
func (c *Core) scheduleRound() {
	waiting := c.queue.waitingJobs()
	if len(waiting) == 0 {
		return
	}
	c.quota.updateSurplus()
	c.admission.admitAll(waiting)
	c.candidates.examined += c.preemption.Preempt(waiting, c.candidates.machines)
	c.reservations.update(waiting)
}

// takeDecisions gathers the decisions of all parts since the last step.
func (c *Core) takeDecisions(calls agentCalls) Decisions {
	out := Decisions{
		SendCommands:      calls.sendCommands,
		RequestHeartbeats: calls.requestHeartbeats,
		Provision:         c.autoscaler.takeDecisions(),
		ZoneEvents:        c.zones.takeTransitions(),
	}
	out.RecordChanges, out.RereadJobs = c.records.takeDecisions()
	out.Terminate, out.ForgetAddresses = c.registry.takeDecisions()
	return out
}
