package scheduler

import (
	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/preemption"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// New returns the core of a term. The caller then loads the records with LoadJob, LoadSlice and
// LoadZone, and calls Begin.
//
// The components refer to each other, so they are created in three steps. The new functions
// create the components that others depend on, without their own dependencies. The make functions
// create the other components, each from those created before it. The connect functions then set
// the dependencies of the first components.
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
	c.terminations = newTerminationRecorder(c.clock, c.records, terminationSettings{enabled: opt.RecordTerminations, maxOperations: opt.MaxTxnOps})
	c.registry = c.newRegistry()
	c.autoscaler = newAutoscaler(autoscalerSettingsOf(&opt), c.cluster, c.clock, c.rounds)
	c.zones = c.newZoneGate()

	c.makeDispatch()
	c.makePreviousLeaders()
	c.makeLifecycle()
	c.makeHealth()
	c.makeIntake()
	c.makeAdmission()
	c.makePreemption()

	c.connectRecords()
	c.connectRegistry()
	c.connectAutoscaler()
	c.connectZones()
	c.cluster.SetCatalog(types)
	return c
}

// newRegistry returns the registry of machines.
func (c *Core) newRegistry() *machineRegistry {
	return &machineRegistry{
		cluster:         c.cluster,
		clock:           c.clock,
		rounds:          c.rounds,
		settings:        registrySettings{previousLeader: c.opt.PreviousLeader, listLag: c.opt.ListLag},
		terminateCounts: map[terminateReason]int{},
		terminations:    c.terminations,
	}
}

// newZoneGate returns the zone gate of a term. It returns nil if zone recovery is off.
func (c *Core) newZoneGate() *zoneGate {
	if c.opt.ZoneRecovery == nil {
		return nil
	}
	return &zoneGate{
		manager: zonerecovery.NewManager(c.opt.ZoneRecovery),
		cluster: c.cluster,
		clock:   c.clock,
		rounds:  c.rounds,
		records: zoneRecords{maxBytes: c.opt.MaxValueBytes, inFlight: map[uint64]zoneWrite{}},
	}
}

// makeDispatch creates the component that decides which commands agents get.
func (c *Core) makeDispatch() {
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

// makeLifecycle creates the component that ends tasks, and those that learn from how tasks end.
func (c *Core) makeLifecycle() {
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
		leaders:   c.previousLeaders,
	}
}

// makePreviousLeaders creates the component that bounds how long previous leaders may act.
func (c *Core) makePreviousLeaders() {
	c.previousLeaders = &previousLeaders{
		cluster: c.cluster,
		clock:   c.clock,
		settings: previousLeaderSettings{
			exists:               c.opt.PreviousLeader,
			grace:                c.opt.PreviousLeaderGrace,
			graceWithoutReplicas: c.opt.PreviousLeaderGraceWithoutReplicas,
			leaders:              c.opt.PreviousLeaders,
			allKnown:             c.opt.AllPreviousLeadersKnown,
			cancelDeadline:       c.opt.CancelDeadline,
			agentLease:           c.opt.AgentLease,
		},
	}
}

// makeHealth creates the components that evaluate the health of machines.
func (c *Core) makeHealth() {
	settings := healthSettings{
		agentLease:        c.opt.AgentLease,
		heartbeatInterval: c.opt.HeartbeatInterval,
		cancelDeadline:    c.opt.CancelDeadline,
		previousLeader:    c.opt.PreviousLeader,
	}
	c.health = &healthMonitor{
		machineLiveness:   &machineLiveness{clock: c.clock, settings: settings, leaders: c.previousLeaders},
		partitionDetector: newPartitionDetector(c.cluster, c.clock, settings),
		cluster:           c.cluster,
		clock:             c.clock,
		rounds:            c.rounds,
		settings:          settings,
		leases:            &leaseExpiry{clock: c.clock, leaders: c.previousLeaders, agentLease: settings.agentLease},
		reachability:      &reachabilityDetector{clock: c.clock, rounds: c.rounds, tokens: c.commands, settings: settings},
		reclaims:          &spotDrainer{cluster: c.cluster, estimates: c.estimates, lifecycle: c.lifecycle},
		registry:          c.registry,
		commands:          c.commands,
		autoscaler:        c.autoscaler,
	}
}

// makeIntake creates the components that receive heartbeats and job records.
func (c *Core) makeIntake() {
	c.heartbeats = &heartbeatHandler{
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
		restarts:     &restartDetector{clock: c.clock, rounds: c.rounds, commands: c.commands, heartbeatInterval: c.opt.HeartbeatInterval},
		revision:     c.opt.Revision,
		interval:     c.opt.HeartbeatInterval,
	}
	c.jobRecords = &jobRecordReader{
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
		valueBytes: c.opt.MaxValueBytes,
	}
}

// newQueue returns the queue of the jobs that wait for admission.
func (c *Core) newQueue() *jobQueue {
	return &jobQueue{
		cluster:  c.cluster,
		clock:    c.clock,
		rounds:   c.rounds,
		zones:    c.zones,
		groups:   newWaitingGroups(c.cluster),
		settings: queueSettings{latencySensitive: c.opt.LatencySensitive, reserveAfter: c.opt.ReserveAfter},
	}
}

// makeAdmission creates the components that admit jobs.
func (c *Core) makeAdmission() {
	c.candidates = &candidateList{}
	c.queue = c.newQueue()
	c.quota = &quotaCheck{cluster: c.cluster, clock: c.clock, quotas: c.quotas, health: c.health}
	c.reservations = &reservations{
		cluster:    c.cluster,
		clock:      c.clock,
		rounds:     c.rounds,
		queue:      c.queue,
		quota:      c.quota,
		health:     c.health,
		candidates: c.candidates,
		settings:   reservationSettings{reserveAfter: c.opt.ReserveAfter, reserveFor: c.opt.ReserveFor},
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

// makePreemption creates the policy that preempts tasks.
func (c *Core) makePreemption() {
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

// connectRecords sets the components that the record writer notifies of results.
func (c *Core) connectRecords() {
	c.records.tasks = c.lifecycle
	c.records.commands = c.commands
	c.records.jobs = c.jobRecords
	c.records.leaders = c.previousLeaders
}

// connectRegistry sets the components that the registry calls.
func (c *Core) connectRegistry() {
	c.registry.commands = c.commands
	c.registry.lifecycle = c.lifecycle
	c.registry.zones = c.zones
}

// connectAutoscaler sets the components that the autoscaler queries.
func (c *Core) connectAutoscaler() {
	c.autoscaler.connect(autoscalerPeers{
		queue:     c.queue,
		quota:     c.quota,
		quotas:    c.quotas,
		estimates: c.estimates,
		health:    c.health,
		zones:     c.zones,
		registry:  c.registry,
	})
}

// connectZones sets the components that the zone gate queries and calls.
func (c *Core) connectZones() {
	g := c.zones
	if g == nil {
		return
	}
	g.health = c.health
	g.provisioning = c.autoscaler
	g.latency = c.queue
	g.estimates = c.estimates
	g.reservations = c.reservations
	g.failures = c.failures
	g.lifecycle = c.lifecycle
	g.records.writer = c.records
}
