// Package scheduler is the core of the leader. It admits jobs against quotas, places
// their tasks, decides which machines to rent or return, and what each worker is told.
// It does no I/O and has one owner: events and the time go in through its methods,
// decisions come out of Step. The same events at the same times give the same
// decisions.
package scheduler

import (
	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/dependency"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Core is the scheduler of one term. It holds the clock, the jobs and the quotas, and
// the order of a step; each duty has a part of its own that holds the rest.
type Core struct {
	opt       Options
	termBegan monotonic.Instant
	now       monotonic.Instant
	lastStep  monotonic.Instant
	// resumedAt is when steps went on after the process was paused, and totalPause
	// how long all pauses together took.
	resumedAt       monotonic.Instant
	totalPause      time.Duration
	previousLeaders previousLeaders
	// restrictedToReplicas tells that no machine may be answered but those with replicas;
	// see RestrictToReplicas.
	restrictedToReplicas bool

	// types is the cloud's catalog, and typeList the same by name.
	types    map[ids.MachineType]*wire.MachineType
	typeList []wire.MachineType

	// jobs are all that are not over, and cancelled ones with tasks.
	jobs map[ids.JobID]*job
	// graph holds all jobs with their dependencies.
	graph *dependency.Graph
	// unreadable are the jobs whose own record cannot be read.
	unreadable map[ids.JobID]bool
	quotas     *quota.Tracker
	// lostWork counts tasks that were stopped or lost, by reason.
	lostWork [stopDrained + 1]lostWorkTally

	// schedulingDue tells that something happened which scheduling may act on. No
	// round begins before nextRoundAt, and one is due at recheckAt although nothing
	// happens; 0: none.
	schedulingDue bool
	nextRoundAt   monotonic.Instant
	recheckAt     monotonic.Instant

	records    *recordWriter
	registry   *machineRegistry
	health     *healthMonitor
	commands   *commandQueue
	admission  *admitter
	preemption *evictor
	autoscaler *autoscaler
	estimates  *runEstimates
	// zones watches zones that fall silent and return; nil: it is turned off.
	zones *zoneGate

	decisions Decisions
	// superseded is set when a worker shows a later leader's token.
	superseded bool
	// recordsErr is set when the records are not as this leader left them.
	recordsErr error
}

// New makes the core of a term. Records follow through LoadJob and LoadSlice,
// then Begin.
func New(opt Options, types []wire.MachineType) *Core {
	c := &Core{
		opt:        opt,
		jobs:       map[ids.JobID]*job{},
		unreadable: map[ids.JobID]bool{},
		graph:      dependency.New(),
		quotas:     quota.NewTracker(opt.Teams),
		estimates:  &runEstimates{estimateFactors: map[string]float64{}},
	}
	c.records = newRecordWriter(c)
	c.registry = newMachineRegistry(c)
	c.health = &healthMonitor{core: c, zoneStates: map[ids.Zone]*zoneState{}}
	c.commands = &commandQueue{core: c}
	c.admission = &admitter{core: c}
	c.preemption = &evictor{core: c, workloads: map[workload]workloadCount{}}
	c.autoscaler = newAutoscaler(c)
	c.zones = newZoneGate(c, opt.ZoneRecovery)
	c.SetCatalog(types)
	return c
}

// SetCatalog takes the cloud's machine types and current prices.
func (c *Core) SetCatalog(types []wire.MachineType) {
	c.typeList = slices.Clone(types)
	sort.Slice(c.typeList, func(i, k int) bool { return c.typeList[i].Name < c.typeList[k].Name })
	c.types = map[ids.MachineType]*wire.MachineType{}
	for i := range c.typeList {
		c.types[c.typeList[i].Name] = &c.typeList[i]
	}
	for _, m := range c.registry.machineList {
		c.registry.applyType(m)
	}
	c.schedulingDue = true
}

// Superseded tells that a worker has seen a later leader.
func (c *Core) Superseded() bool { return c.superseded }

// RecordsError is set when the records are not as this leader left them. The term
// must then end and the records be read again.
func (c *Core) RecordsError() error { return c.recordsErr }

// Begin ends the loading of records.
func (c *Core) Begin(now monotonic.Instant) {
	c.termBegan, c.now = now, now
	c.beginPreviousLeaders()
	c.autoscaler.plannedAt = now
	c.records.budgetRefilledAt = now
	// In order: it decides what is stopped, sent and written first.
	for _, j := range c.sortedJobs() {
		j.rebuildSlices()
		c.syncDependencies(j)
		j.readyAt = now
		if c.opt.WallClockMS > 0 {
			age := time.Duration(c.opt.WallClockMS-j.readyMS) * time.Millisecond
			j.readyAt = now.Add(-min(max(age, 0), time.Hour))
		}
		j.waitingSince = j.readyAt
		for _, s := range j.slices {
			c.records.markOversized(j, s)
		}
		switch j.status {
		case wire.JobQueued:
			c.rebuildPending(j)
			if j.done == len(j.tasks) {
				c.records.completable[j] = true
			}
		default:
			c.stopAllTasks(j)
		}
	}
	for _, m := range c.registry.machineList {
		m.knownSince = now
		c.commands.queueCommands(m)
	}
	c.zones.begin()
	c.schedulingDue = true
}

// AllControllersFollow is called once every other controller has said, since this term began, that
// it follows this leader. A process that knows of a later leader answers no report in the
// name of an earlier one, nor does one that was started since. So no worker's lease can
// be renewed by anybody else for a report sent after now, and what silent workers hold
// need not wait for the predecessor's grace.
func (c *Core) AllControllersFollow(now monotonic.Instant) {
	c.now = now
	c.previousLeaders.end(now)
}

// Step runs what time and events call for and hands out the decisions.
func (c *Core) Step(now monotonic.Instant) Decisions {
	c.advance(now)
	if c.health.healthCheckDue || now >= c.health.healthCheckedAt.Add(healthCheckInterval) {
		c.health.healthCheckDue, c.health.healthCheckedAt = false, now
		c.health.checkMachines()
		c.zones.observe()
	}
	if (c.schedulingDue || c.recheckAt != 0 && now >= c.recheckAt) && now >= c.nextRoundAt {
		c.schedulingDue, c.recheckAt = false, 0
		before := c.admission.MachinesExamined
		c.admission.scheduleRound()
		c.nextRoundAt = now.Add(max(c.opt.RoundInterval, time.Duration(c.admission.MachinesExamined-before)*c.opt.RoundCostPerMachine))
	}
	c.autoscaler.planFleet()
	c.zones.restore()
	c.records.refillBudget()
	c.zones.writeRecords()
	c.records.writeRecords()
	c.commands.dispatchCommands()
	out := c.decisions
	c.decisions = Decisions{}
	return out
}

// advance moves the clock on and detects pauses of the process.
func (c *Core) advance(now monotonic.Instant) {
	c.now = now
	if gap := now.Sub(c.lastStep); gap > processPauseThreshold {
		c.resumedAt = now
		if c.lastStep != 0 {
			c.totalPause += gap
		}
	}
	c.lastStep = now
}

// scheduleAt sees that a scheduling round comes by a time, whether or not anything
// happens.
func (c *Core) scheduleAt(at monotonic.Instant) {
	if c.recheckAt == 0 || at < c.recheckAt {
		c.recheckAt = at
	}
}

// wallClockMS is the time of day in milliseconds; 0: not known.
func (c *Core) wallClockMS() int64 {
	if c.opt.WallClockMS == 0 {
		return 0
	}
	return c.opt.WallClockMS + c.now.Sub(c.termBegan).Milliseconds()
}

// processPauseThreshold is how long a time without a step tells that the leader did not
// run, rather than that its machines were silent: what they said meanwhile is
// still to be read.
const processPauseThreshold = time.Second

// Decisions are the decisions since the last Step.
type Decisions struct {
	RecordChanges []records.Change
	// SendCommands lists workers to which commands should go now; see TakeCommands.
	SendCommands []ids.MachineID
	// RequestHeartbeats lists workers that should be asked for a report.
	RequestHeartbeats []ids.MachineID
	Provision         []wire.ProvisionRequest
	Terminate         []ids.MachineID
	RereadJobs        []ids.JobID
	// ForgetAddresses lists addresses of machines that are gone.
	ForgetAddresses []string
	// ZoneEvents are changes of zones' conditions, for the log.
	ZoneEvents []zonerecovery.Transition
}

// Progress tells a job's progress for display.
func (c *Core) Progress(id ids.JobID) (Progress, bool) {
	j := c.jobs[id]
	if j == nil {
		return Progress{}, false
	}
	s := Progress{Done: j.done}
	for _, a := range j.active {
		if a.phase == wire.TaskRunning || a.phase == wire.TaskCheckpointing {
			s.Running++
		}
	}
	return s, true
}

// Progress is what the leader can say about a job's progress.
type Progress struct {
	Done, Running int
}
