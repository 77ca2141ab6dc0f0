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

// New makes the core of a term. The caller then loads the records with LoadJob, LoadSlice and
// LoadZone, and calls Begin.
//
// Each connect function makes parts from those that are made before it. Parts that need each
// other are connected in a second step: the registry, the record writer and the zone gate.
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
		cluster:         c.cluster,
		clock:           c.clock,
		rounds:          c.rounds,
		settings:        registrySettings{previousLeader: opt.PreviousLeader, listLag: opt.ListLag},
		terminateCounts: map[terminateReason]int{},
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

// connectDispatch makes the part that decides which commands agents get.
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

// connectAutoscaler gives the autoscaler the policies that it asks.
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

// newZoneGate makes the gate of a term; nil if zone recovery is off.
func (c *Core) newZoneGate() *zoneGate {
	if c.opt.ZoneRecovery == nil {
		return nil
	}
	return &zoneGate{
		manager: zonerecovery.NewManager(c.opt.ZoneRecovery),
		cluster: c.cluster,
		clock:   c.clock,
		rounds:  c.rounds,
		records: zoneRecords{maxBytes: c.opt.ValueBytes, inFlight: map[uint64]zoneWrite{}},
	}
}

// connectZones gives the gate the other policies that it asks. They must all be made.
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
