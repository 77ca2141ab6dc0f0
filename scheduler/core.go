// Package scheduler is the core of the leader. It admits jobs against quotas, places
// their tasks, decides which machines to provision or terminate, and what each machine is
// told.
//
// Core is the type to start with. It does no I/O, starts no goroutine and belongs to one
// goroutine: events and the time go in through its methods, decisions come out of Step. The
// same events at the same times give the same decisions. Package cluster holds the state;
// each policy here queries it and notes only what its own part of the state is for.
package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/preemption"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Core is the scheduler of one term: the events that come in, the order of a step, and the
// decisions that go out. The cluster state holds jobs and machines; each duty is a policy of
// its own.
type Core struct {
	opt     Options
	clock   *clock.Clock
	rounds  *clock.RoundTrigger
	cluster *cluster.State
	quotas  *quota.Tracker

	lifecycle       *taskLifecycle
	previousLeaders *previousLeaders
	heartbeats      *heartbeatIntake
	jobRecords      *jobIntake
	records         *recordWriter
	registry        *machineRegistry
	health          *healthMonitor
	commands        *commandDispatcher
	candidates      *candidateList
	queue           *jobQueue
	quota           *quotaCheck
	reservations    *reservations
	searches        *searcher
	admission       *admitter
	preemption      *preemption.Policy
	autoscaler      *autoscaler
	estimates       *runEstimates
	failures        *failureHistory
	slowness        *slownessDetector
	// zones watches zones that fall silent and return; nil: it is turned off.
	zones *zoneGate
}

// New makes the core of a term. Records follow through LoadJob and LoadSlice,
// then Begin.
func New(opt Options, types []wire.MachineType) *Core {
	c := &Core{
		opt:       opt,
		clock:     clock.New(opt.WallClockMS),
		rounds:    &clock.RoundTrigger{},
		quotas:    quota.NewTracker(opt.Teams),
		estimates: newRunEstimates(),
	}
	settings := cluster.Settings{SliceTasks: opt.SliceTasks, BootFactor: opt.BootFactor, ListLag: opt.ListLag}
	c.cluster = cluster.NewState(settings, c.clock, c.rounds, c.quotas)
	c.records = newRecordWriter(c.cluster, c.clock, c.rounds, newRecordSettings(opt))
	c.registry = &machineRegistry{
		cluster:      c.cluster,
		clock:        c.clock,
		rounds:       c.rounds,
		settings:     registrySettings{previousLeader: opt.PreviousLeader, listLag: opt.ListLag},
		returnCounts: map[returnReason]int{},
	}
	c.connectDispatch()
	c.autoscaler = newAutoscaler(autoscalerSettingsOf(&opt), c.cluster, c.clock, c.rounds)
	c.zones = c.newZoneGate()
	c.connectLifecycle()
	c.registry.commands, c.registry.lifecycle, c.registry.zones = c.commands, c.lifecycle, c.zones
	c.connectPreviousLeaders()
	c.connectHealth()
	c.connectIntake()
	c.records.tasks, c.records.commands, c.records.jobs = c.lifecycle, c.commands, c.jobRecords
	c.connectAdmission()
	c.connectPreemption()
	c.connectAutoscaler()
	c.connectZones()
	c.cluster.SetCatalog(types)
	return c
}

// connectLifecycle makes the part that ends tasks, and those that learn from how tasks end.
func (c *Core) connectLifecycle() {
	c.failures = &failureHistory{cluster: c.cluster, clock: c.clock, rounds: c.rounds, zones: c.zones}
	c.slowness = &slownessDetector{cluster: c.cluster, clock: c.clock}
	c.lifecycle = &taskLifecycle{
		cluster:   c.cluster,
		clock:     c.clock,
		rounds:    c.rounds,
		records:   c.records,
		commands:  c.commands,
		zones:     c.zones,
		estimates: c.estimates,
		slowness:  c.slowness,
		failures:  c.failures,
	}
}

// connectDispatch makes the part that decides what agents are told.
func (c *Core) connectDispatch() {
	c.commands = &commandDispatcher{
		cluster: c.cluster,
		clock:   c.clock,
		records: c.records,
		settings: dispatchSettings{
			revision:          c.opt.Revision,
			maxCallsInFlight:  c.opt.MaxWorkerCalls,
			heartbeatInterval: c.opt.HeartbeatInterval,
		},
	}
}

// connectPreviousLeaders makes the bounds on what previous leaders still do.
func (c *Core) connectPreviousLeaders() {
	c.previousLeaders = &previousLeaders{
		cluster: c.cluster,
		clock:   c.clock,
		settings: previousLeaderSettings{
			exists:               c.opt.PreviousLeader,
			grace:                c.opt.PreviousLeaderGrace,
			graceWithoutReplicas: c.opt.PreviousLeaderGraceWithoutReplicas,
			cancelDeadline:       c.opt.CancelDeadline,
			agentLease:           c.opt.AgentLease,
		},
	}
}

// connectHealth makes the parts that judge machines, from the others.
func (c *Core) connectHealth() {
	settings := healthSettings{
		agentLease:        c.opt.AgentLease,
		heartbeatInterval: c.opt.HeartbeatInterval,
		cancelDeadline:    c.opt.CancelDeadline,
		previousLeader:    c.opt.PreviousLeader,
	}
	c.health = &healthMonitor{
		machineLiveness: &machineLiveness{clock: c.clock, settings: settings},
		zoneOutages:     newZoneOutages(c.cluster, c.clock, settings),
		cluster:         c.cluster,
		clock:           c.clock,
		rounds:          c.rounds,
		settings:        settings,
		leases:          &leaseExpiry{clock: c.clock, leaders: c.previousLeaders, agentLease: settings.agentLease},
		reachability:    &reachabilityDetector{clock: c.clock, rounds: c.rounds, tokens: c.commands, settings: settings},
		reclaims:        &spotDrainer{cluster: c.cluster, estimates: c.estimates, lifecycle: c.lifecycle},
		registry:        c.registry,
		commands:        c.commands,
		autoscaler:      c.autoscaler,
	}
}

// connectIntake makes the parts that take heartbeats and records in, from the others.
func (c *Core) connectIntake() {
	c.heartbeats = &heartbeatIntake{
		cluster:      c.cluster,
		clock:        c.clock,
		rounds:       c.rounds,
		sites:        c.registry,
		health:       c.health,
		reachability: c.health.reachability,
		commands:     c.commands,
		autoscaler:   c.autoscaler,
		failures:     c.failures,
		lifecycle:    c.lifecycle,
		zones:        c.zones,
		leaders:      c.previousLeaders,
		revision:     c.opt.Revision,
		interval:     c.opt.HeartbeatInterval,
	}
	c.jobRecords = &jobIntake{
		cluster:    c.cluster,
		clock:      c.clock,
		rounds:     c.rounds,
		graph:      dependency.New(),
		unreadable: map[ids.JobID]bool{},
		lifecycle:  c.lifecycle,
		records:    c.records,
		sites:      c.registry,
		arrivals:   c.autoscaler,
		revision:   c.opt.Revision,
		valueBytes: c.opt.ValueBytes,
	}
}

// connectAdmission makes the parts that admit jobs, from the others.
func (c *Core) connectAdmission() {
	c.candidates = &candidateList{}
	c.queue = &jobQueue{
		cluster:  c.cluster,
		clock:    c.clock,
		rounds:   c.rounds,
		zones:    c.zones,
		settings: queueSettings{latencySensitive: c.opt.LatencySensitive, reserveAfter: c.opt.ReserveAfter},
	}
	c.quota = &quotaCheck{cluster: c.cluster, clock: c.clock, quotas: c.quotas, health: c.health}
	c.reservations = &reservations{
		cluster:    c.cluster,
		clock:      c.clock,
		rounds:     c.rounds,
		queue:      c.queue,
		quota:      c.quota,
		health:     c.health,
		candidates: c.candidates,
		settings:   reservationSettings{after: c.opt.ReserveAfter, lasting: c.opt.ReserveFor},
	}
	c.searches = &searcher{
		clock:        c.clock,
		candidates:   c.candidates,
		queue:        c.queue,
		reservations: c.reservations,
		zones:        c.zones,
		spot:         c.autoscaler,
	}
	c.admission = &admitter{
		cluster:        c.cluster,
		rounds:         c.rounds,
		queue:          c.queue,
		quota:          c.quota,
		candidates:     c.candidates,
		health:         c.health,
		searches:       c.searches,
		zones:          c.zones,
		lifecycle:      c.lifecycle,
		records:        c.records,
		maxSkippedJobs: c.opt.MaxSkippedJobs,
	}
}

// connectPreemption makes preemption from the other parts.
func (c *Core) connectPreemption() {
	settings := preemption.Settings{LendingSuspension: c.opt.LendingSuspension}
	c.preemption = preemption.New(settings, c.cluster, c.clock, c.rounds, c.quotas, &preemptionScheduler{
		clock:        c.clock,
		queue:        c.queue,
		reservations: c.reservations,
		searches:     c.searches,
		zones:        c.zones,
		failures:     c.failures,
		lifecycle:    c.lifecycle,
	})
}

// SetCatalog takes the cloud's machine types and current prices.
func (c *Core) SetCatalog(types []wire.MachineType) { c.cluster.SetCatalog(types) }

// Superseded tells that an agent has seen a later leader.
func (c *Core) Superseded() bool { return c.heartbeats.superseded }

// RecordsError is set when the records are not as this leader left them. The term
// must then end and the records be read again.
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

// AllControllersFollow is called when every other controller has confirmed, since this term
// began, that it follows this leader. A process that knows of a later leader answers no
// heartbeat for an earlier one, nor does one that was started since. So no other leader can
// renew an agent's lease for a heartbeat sent from now on, and tasks on silent machines need
// not wait for the grace of previous leaders.
func (c *Core) AllControllersFollow(now monotonic.Instant) {
	c.clock.Set(now)
	c.previousLeaders.end()
}

// Step runs what time and events call for and hands out the decisions.
func (c *Core) Step(now monotonic.Instant) Decisions {
	c.clock.Advance(now)
	if c.health.checkIfDue() {
		c.zones.observe()
	}
	if c.rounds.Start(now) {
		before := c.candidates.examined
		c.scheduleRound()
		cost := time.Duration(c.candidates.examined-before) * c.opt.RoundCostPerMachine
		c.rounds.HoldUntil(now.Add(max(c.opt.RoundInterval, cost)))
	}
	c.autoscaler.plan()
	c.zones.restore()
	c.records.refillBudget()
	c.zones.writeRecords()
	c.records.writeRecords()
	calls := c.commands.dispatch()
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

// scheduleRound is one scheduling round: first the jobs that stay within their team's nominal
// quota are admitted, then those that borrow, each by priority and creation time. A job that
// does not fit is passed by later ones that do. Then room is made for jobs that are entitled
// to it, and machines are reserved for those that have waited too long.
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

// Decisions are the decisions since the last Step.
type Decisions struct {
	RecordChanges []records.Change
	// SendCommands lists machines to which commands should be sent now; see TakeCommands.
	SendCommands []ids.MachineID
	// RequestHeartbeats lists machines that should be asked for a heartbeat.
	RequestHeartbeats []ids.MachineID
	Provision         []wire.ProvisionRequest
	Terminate         []ids.MachineID
	// RereadJobs lists jobs whose records should be read again and passed to ObserveJob.
	RereadJobs []ids.JobID
	// ForgetAddresses lists addresses of machines that are terminated.
	ForgetAddresses []string
	// ZoneEvents are changes of zones' conditions, for the log.
	ZoneEvents []zonerecovery.Transition
}

// Progress tells a job's progress for display; false if the job is not known.
func (c *Core) Progress(id ids.JobID) (Progress, bool) {
	j := c.cluster.Job(id)
	if j == nil {
		return Progress{}, false
	}
	s := Progress{Done: j.Done()}
	for _, a := range j.Active() {
		if a.Run.Phase == wire.TaskRunning || a.Run.Phase == wire.TaskCheckpointing {
			s.Running++
		}
	}
	return s, true
}

// Progress counts the tasks of a job that are done, and those that run or write a checkpoint.
type Progress struct{ Done, Running int }
