// Package scheduler is the core of the leader: it admits jobs against quotas,
// places their tasks, says what machines to rent or return, and what to tell
// each worker. It does no I/O and has one owner: events and the time go in
// through its methods, decisions come out of Step. The same events at the same
// times give the same decisions.
package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/ledger"
	"ospreystile.example/ospreystile/pipeline"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// Options are the settings of one term of leadership.
type Options struct {
	// Revision is the stamp of the leader's key; tokens are made of it.
	Revision ids.Revision
	// Predecessor tells that another leader may have acted before.
	Predecessor bool
	Teams       []quota.Team
	// Report and Lease are the workers' settings, Cancel is the time in
	// which a withdrawn job's tasks must be gone.
	Report, Lease, Cancel time.Duration
	// Grace is how long a predecessor without the state service may have
	// gone on answering workers after this term began.
	Grace   time.Duration
	ListLag time.Duration
	// TxnOps bounds the writes of one change, and ValueBytes each value, in
	// its JSON form; 0: no bound.
	TxnOps     int
	ValueBytes int
	// Split tells that every controller can read a slice that was split; see
	// EnableSplitRecords.
	SplitRecords   bool
	SliceTasks     int
	MaxSkippedJobs int
	// LatencySensitive names the classes whose tasks must start sooner than a
	// machine boots.
	LatencySensitive map[string]time.Duration
	ReclaimHold      time.Duration
	Idle             time.Duration
	SpotIdleFactor   float64 // spot machines may stand idle this many times as long
	HeadroomIdle     time.Duration
	Headroom         float64
	BootFactor       float64
	CapacityBackoff  time.Duration
	// MaxMachines bounds the machines held; 0: no bound.
	MaxMachines int
	// RoundInterval is the least time between two passes of admission, and
	// RoundCostPerMachine the time that each machine looked at in a pass keeps the next
	// one away. Reports and renewals have their turn in between, however much
	// work waits.
	RoundInterval, RoundCostPerMachine time.Duration
	// LazyWriteDelay is how long a record may lag behind tasks that ended. A
	// placement is recorded at once, since it is sent only then.
	LazyWriteDelay time.Duration
	// WriteRate is how many writes and drops a second the records may take;
	// 0: no bound.
	WriteRate float64
	// MaxDirectCalls bounds the calls to workers under way; 0: no bound.
	MaxDirectCalls int
	// ReserveAfter is how long a job waits to begin until room is kept for it; 0:
	// never. ReserveFor is how long it is kept at a time. After twice ReserveAfter a
	// job begins before others go on.
	ReserveAfter, ReserveFor time.Duration
	// WallClockMS is the time of day when the term begins, to tell how long jobs
	// have waited already; 0: not known.
	WallClockMS int64
}

type taskState uint8

const (
	taskPending taskState = iota
	taskAssigned
	taskDone
)

type task struct {
	attempt    ids.Attempt
	state      taskState
	assignment *assignment
	slice      *admissionSlice // whose record it belongs to
}

type stopReason uint8

const (
	stopNone stopReason = iota
	stopCancelled
	stopPreempted
	stopDrained
)

// assignment is one attempt of a task on a machine. From the decision on it
// counts as used, until the attempt is surely gone.
type assignment struct {
	job     *job
	index   int
	attempt ids.Attempt
	machine *machine
	// recorded: the admission record is committed. Nothing is sent before.
	recorded bool
	// saving: a change that holds this placement is on its way.
	recordInFlight bool
	// inherited: a predecessor recorded it and may have sent it.
	inherited bool
	// sentToken is the highest token under which run may have been sent. A
	// worker that shows a higher one and not the attempt will never start it.
	sentToken    ids.Token
	sentSession  ids.Session
	sentAt       ids.Instant // first, since it was last known not to be there
	sent         bool
	seen         bool
	phase        string
	phaseSince   ids.Instant   // when the phase began, as far as known
	pausedBefore time.Duration // Core.stood at that time
	stopReason   stopReason
	protected    bool // a first task of a job that starved
	stoppedAt    ids.Instant
	graceS       float64
	killSentAt   ids.Instant
}

func (a *assignment) ref() ids.TaskRef { return ids.TaskRef{Job: a.job.id, Index: a.index} }

// mayRun tells whether the worker might have the task.
func (a *assignment) mayRun() bool { return a.sent || a.inherited }

// slice is one admission record.
type admissionSlice struct {
	number     int
	revision   ids.Revision // 0: no record
	dirty      bool
	dirtySince ids.Instant
	urgent     bool // holds placements that are not recorded
	inFlight   bool
	tasks      []int // ascending
	// large: its record is beyond ValueBytes and was written all the same,
	// since older controllers could not read it in parts.
	oversized bool
}

type job struct {
	id       ids.JobID
	spec     *wire.Spec
	revision ids.Revision
	readyMS  int64 // when it was ready to run, as the time of day
	// by is what jobs go by: at, or for a pipeline that is late, when this job
	// should have started for the last to be done in time.
	orderMS int64
	status  string
	// prio is the job's own priority or that of one that needs it, ready tells
	// that all that it needs is done, and unwritten that it is withdrawn with
	// a job that it needs, but its own record does not say so yet.
	priority         wire.Priority
	ready            bool
	cancelUnrecorded bool
	refusals         int // changes in a row that the state service would not take
	tasks            []task
	slices           []*admissionSlice
	pending          []int // descending, so that the lowest is popped first
	done             int
	active           map[int]*assignment
	zones            placement.Zones
	// finishing: the commit of done is on its way.
	completing  bool
	cancelledAt ids.Instant
	retryAt     ids.Instant
	rereadAt    ids.Instant // no change before, the record is being read again
	backoff     time.Duration
	deferred    bool     // goes with the borrowers, behind higher work of its team
	onlyZone    ids.Zone // while a zone is tried for a job that needs one
	// begun: one of its tasks was placed once. came is when it was ready to run,
	// waits since when it could not begin, keptSince since when room is kept.
	started       bool
	suspended     bool // see Suspend
	readyAt       ids.Instant
	waitingSince  ids.Instant
	reservedSince ids.Instant
	// coldOK: no machine that holds the image can take the job's tasks, so
	// others may.
	allowColdStart bool
	antiAffinity   map[ids.Host]ids.Instant // when last
	succeeded      int
	failureRounds  int                          // in which it failed everywhere, since it last succeeded
	runTimes       map[ids.Host][]time.Duration // tasks that were seen from start to end
}

func (j *job) terminal() bool { return j.status != wire.StatusQueued }

func (j *job) amount() quota.Amount { return quota.Amount{CPUs: j.spec.CPUs, GPUs: j.spec.GPUs} }

// Status is what the leader can say about a job's progress.
type Status struct {
	Done, Running int
}

type pendingChange struct {
	job   *job
	slice *admissionSlice
	// parts are the slices that come of a split, slice first, and split the
	// tasks of each; nil if there is none.
	parts        []*admissionSlice
	split        [][]int
	placed       []*assignment
	completes    bool
	doneMS       int64
	orphanCancel bool // the job is withdrawn with one that it needs
	dropped      []*admissionSlice
}

// Core is the scheduler of one term.
type Core struct {
	opt       Options
	termBegan ids.Instant
	// othersUntil is the latest that an earlier leader can have received a
	// report which it then answered.
	predecessorUntil ids.Instant
	now              ids.Instant
	types            map[ids.MachineType]*wire.MachineType
	typeList         []wire.MachineType
	jobs             map[ids.JobID]*job // all that are not over, and withdrawn ones with tasks
	graph            *pipeline.Graph    // all jobs, and who waits for whom
	unreadable       map[ids.JobID]bool // jobs whose own record cannot be read
	machines         map[ids.Host]*machine
	machineList      []*machine // machines by host
	returnedHosts    map[ids.Host]bool
	zoneStates       map[ids.Zone]*zoneState
	lastHeard        ids.Instant // when any machine was last heard
	lastStep         ids.Instant
	resumedAt        ids.Instant   // when steps went on after a time without any
	totalPause       time.Duration // all such times together
	quotas           *quota.Book
	workloads        map[workload]workloadCount
	backoff          *fleet.Backoff

	pendingChanges map[uint64]*pendingChange
	nextChange     uint64
	schedulingDue  bool        // something happened that scheduling may act on
	nextRoundAt    ids.Instant // no pass before
	recheckAt      ids.Instant // a pass is due although nothing changed; 0: none
	// Work counts the machines that passes of admission have looked at, all
	// told. It bounds and measures their work without a clock.
	MachinesExamined uint64
	// ready holds the machines that take tasks in the present pass, by host.
	candidates       []*machine
	candidateZones   []ids.Zone // of the ready machines
	preemptionRounds uint64
	healthCheckedAt  ids.Instant
	healthCheckDue   bool
	queuedMachines   []*machine // machines to which a command may have to go
	callsInFlight    int        // calls to workers under way
	writeBudget      float64    // writes that the rate still allows
	budgetRefilledAt ids.Instant
	dirty            map[*admissionSlice]*job
	completable      map[*job]bool
	droppable        map[*job]bool
	orphanCancels    []*job // unwritten ones whose change is not on its way

	plannedAt         ids.Instant
	nextBooking       int
	machinesRequested map[placement.Site]int // machines asked for
	rentalsInFlight   map[placement.Site]int // rentals under way
	demandByClass     map[string]*classDemand
	estimateFactors   map[string]float64          // by class, how long tasks ran against their estimates
	bootFactors       map[ids.MachineType]float64 // how long boots took lately against the catalog
	effects           Effects

	returnCounts map[string]int // machines given back, by reason

	spotTime   time.Duration
	spotLosses int

	lostWork [stopDrained + 1]lostWorkTally // by what the core had decided, if anything

	// Deposed is set when a worker shows a higher leader's token.
	deposed    bool
	recordsErr error
}

// loss counts tasks that were taken off machines before they were done, and
// the CPU seconds they had run.
type lostWorkTally struct {
	tasks int
	cpuS  float64
}

// Effects are the decisions since the last Step.
type Effects struct {
	Changes []ledger.Change
	// Direct lists workers to which commands should go now; see TakeDirect.
	Direct []ids.Host
	// Show lists workers that should be asked for a report.
	Show    []ids.Host
	Rent    []wire.Rental
	Return  []ids.Host
	Refresh []ids.JobID
	// Forget lists addresses of machines that are gone.
	Forget []string
}

// New makes the core of a term. Records follow through LoadJob and LoadSlice,
// then Begin.
func New(opt Options, types []wire.MachineType) *Core {
	c := &Core{
		opt:               opt,
		jobs:              map[ids.JobID]*job{},
		unreadable:        map[ids.JobID]bool{},
		graph:             pipeline.New(),
		machines:          map[ids.Host]*machine{},
		returnedHosts:     map[ids.Host]bool{},
		zoneStates:        map[ids.Zone]*zoneState{},
		quotas:            quota.NewBook(opt.Teams),
		workloads:         map[workload]workloadCount{},
		backoff:           fleet.NewBackoff(opt.CapacityBackoff),
		pendingChanges:    map[uint64]*pendingChange{},
		dirty:             map[*admissionSlice]*job{},
		completable:       map[*job]bool{},
		droppable:         map[*job]bool{},
		machinesRequested: map[placement.Site]int{},
		rentalsInFlight:   map[placement.Site]int{},
		demandByClass:     map[string]*classDemand{},
		returnCounts:      map[string]int{},
		estimateFactors:   map[string]float64{},
		bootFactors:       map[ids.MachineType]float64{},
		writeBudget:       opt.WriteRate,
	}
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
	for _, m := range c.machineList {
		c.applyType(m)
	}
	c.schedulingDue = true
}

// Deposed tells that a worker has seen a later leader.
func (c *Core) Deposed() bool { return c.deposed }

// Broken is set when the records are not as this leader left them. The term
// must then end and the records be read again.
func (c *Core) Broken() error { return c.recordsErr }

func (c *Core) newJob(id ids.JobID, rec *ledger.Job, stamp ids.Revision) *job {
	j := &job{id: id, spec: rec.Spec, revision: stamp, readyMS: rec.SubmittedMS, orderMS: rec.SubmittedMS, status: rec.Status,
		active: map[int]*assignment{}, zones: placement.Zones{}, readyAt: c.now, waitingSince: c.now}
	if j.spec == nil {
		j.spec = &wire.Spec{Tasks: rec.Tasks}
	}
	j.priority = j.spec.Priority
	j.tasks = make([]task, j.spec.Tasks)
	per := c.opt.SliceTasks
	j.growSlices((len(j.tasks) + per - 1) / per)
	for i := range j.tasks {
		j.tasks[i].slice = j.slices[i/per]
	}
	j.rebuildSlices()
	return j
}

// grow makes room for slices with numbers below n.
func (j *job) growSlices(n int) {
	for len(j.slices) < n {
		j.slices = append(j.slices, &admissionSlice{number: len(j.slices)})
	}
}

// relist lists the tasks of each slice anew.
func (j *job) rebuildSlices() {
	for _, s := range j.slices {
		s.tasks = s.tasks[:0]
	}
	for i := range j.tasks {
		s := j.tasks[i].slice
		s.tasks = append(s.tasks, i)
	}
}

// LoadJob takes a job's record at the start of the term. Jobs come before
// slices.
func (c *Core) LoadJob(id ids.JobID, rec *ledger.Job, stamp ids.Revision) {
	c.graph.Put(id, rec.Dependencies())
	if rec.Status == wire.StatusDone || rec.Spec == nil {
		return
	}
	c.jobs[id] = c.newJob(id, rec, stamp)
}

// LoadUnreadableJob notes a job whose own record cannot be read. Its admission
// records are left as they are: they say where its tasks may be, for the time when
// its record is repaired.
func (c *Core) LoadUnreadableJob(id ids.JobID) { c.unreadable[id] = true }

// LoadSlice takes an admission record at the start of the term.
func (c *Core) LoadSlice(id ids.JobID, n int, rec *ledger.Slice, stamp ids.Revision) error {
	if c.unreadable[id] {
		return nil
	}
	j := c.jobs[id]
	if j == nil {
		// What is left of a done job; it only has to be dropped.
		j = c.newJob(id, &ledger.Job{Status: wire.StatusDone}, 0)
		c.jobs[id] = j
	}
	// Splits make a slice for each task at most, beside those there are, and leave
	// out numbers that were not used.
	if !j.terminal() && n >= len(j.slices)+2*len(j.tasks) {
		return fmt.Errorf("admission record %s/%d lies outside its job", id, n)
	}
	j.growSlices(n + 1)
	s := j.slices[n]
	s.revision = stamp
	if j.status == wire.StatusDone {
		return nil
	}
	s.oversized = wire.Exceeds(rec, c.opt.ValueBytes)
	for _, i := range rec.Done {
		if i < 0 || i >= len(j.tasks) {
			return fmt.Errorf("admission record %s/%d names task %d", id, n, i)
		}
		j.tasks[i].slice = s
		if j.tasks[i].state != taskDone {
			j.tasks[i].state = taskDone
			j.done++
		}
	}
	for k := 0; k+2 < len(rec.Tasks); k += 3 {
		i, attempt, h := rec.Tasks[k], ids.Attempt(rec.Tasks[k+1]), rec.Tasks[k+2]
		if i < 0 || i >= len(j.tasks) || h >= len(rec.Hosts) {
			return fmt.Errorf("admission record %s/%d names task %d on place %d", id, n, i, h)
		}
		t := &j.tasks[i]
		t.attempt, t.slice = attempt, s
		if h < 0 || t.state == taskDone {
			continue
		}
		m := c.ensureMachine(rec.Hosts[h])
		if m.Zone == "" && h < len(rec.Zones) {
			c.setSite(m, placement.Site{Zone: rec.Zones[h]}, "")
		}
		a := &assignment{job: j, index: i, attempt: attempt, machine: m, recorded: true, inherited: true,
			sentToken: ids.NewToken(c.opt.Revision, 0) - 1}
		c.attach(a)
	}
	return nil
}

// Suspend keeps a job from being placed, because it is not known where all
// its tasks may be. It stays known, and the others go on.
func (c *Core) Suspend(id ids.JobID) {
	if j := c.jobs[id]; j != nil {
		j.suspended = true
	}
}

// Begin ends the loading of records.
func (c *Core) Begin(now ids.Instant) {
	c.termBegan, c.now = now, now
	c.predecessorUntil = now
	if c.opt.Predecessor {
		c.predecessorUntil = now.Add(c.opt.Grace)
	}
	c.plannedAt = now
	c.budgetRefilledAt = now
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
			c.markOversized(j, s)
		}
		switch j.status {
		case wire.StatusQueued:
			c.rebuildPending(j)
			if j.done == len(j.tasks) {
				c.completable[j] = true
			}
		default:
			c.stopAllTasks(j)
		}
	}
	for _, m := range c.machineList {
		m.knownSince = now
		c.queueCommands(m)
	}
	c.schedulingDue = true
}

// Followed tells that every other controller has said, since this term began,
// that it follows this leader. A process that knows of a later leader answers
// no report in the name of an earlier one, nor does one that was started
// since; so no worker's lease can have been renewed by anybody else for a
// report sent after now, and what silent workers hold need not wait for the
// grace.
func (c *Core) AllFollow(now ids.Instant) {
	c.now = now
	c.predecessorUntil = min(c.predecessorUntil, now)
}

func (c *Core) rebuildPending(j *job) {
	j.pending = j.pending[:0]
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if j.tasks[i].state == taskPending {
			j.pending = append(j.pending, i)
		}
	}
}

// attach makes an assignment count on its machine, its job and the books.
func (c *Core) attach(a *assignment) {
	t := &a.job.tasks[a.index]
	t.state, t.assignment = taskAssigned, a
	a.job.started = true
	a.job.active[a.index] = a
	a.job.zones[a.machine.Zone]++
	a.machine.addTask(a)
	a.machine.used = a.machine.used.Plus(placement.Of(a.job.spec))
	c.quotas.Take(a.job.spec.Team, a.job.amount())
	c.countTask(a, 1, 0)
}

// detach undoes attach. The caller has shown that the attempt is surely gone
// or was never sent.
func (c *Core) detach(a *assignment) {
	t := &a.job.tasks[a.index]
	t.state, t.assignment = taskPending, nil
	delete(a.job.active, a.index)
	if a.job.zones[a.machine.Zone]--; a.job.zones[a.machine.Zone] <= 0 {
		delete(a.job.zones, a.machine.Zone)
	}
	a.machine.removeTask(a)
	a.machine.used = a.machine.used.Minus(placement.Of(a.job.spec))
	if len(a.machine.tasks) == 0 {
		a.machine.used = placement.Resources{}
		a.machine.idleSince = c.now
	}
	c.quotas.Free(a.job.spec.Team, a.job.amount())
	if a.stopReason == stopNone {
		c.countTask(a, -1, 0)
	} else {
		c.countTask(a, 0, -1)
	}
	c.schedulingDue = true
}

// release takes a task that is surely gone off its machine; it waits again if
// its job goes on.
func (c *Core) release(a *assignment) {
	if a.phase == wire.TaskRunning && !a.job.spec.Service {
		l := &c.lostWork[a.stopReason]
		l.tasks++
		l.cpuS += c.now.Sub(a.phaseSince).Seconds() * a.job.spec.CPUs
	}
	c.detach(a)
	j := a.job
	if j.terminal() {
		c.droppable[j] = true
		return
	}
	k, _ := slices.BinarySearchFunc(j.pending, a.index, func(e, t int) int { return t - e })
	j.pending = slices.Insert(j.pending, k, a.index)
	c.markTaskDirty(j, a.index, false)
}

// heed takes a record into the graph and does what follows for any job.
func (c *Core) applyJobRecord(id ids.JobID, rec *ledger.Job) {
	for _, other := range c.graph.Put(id, rec.Dependencies()) {
		if j := c.jobs[other]; j != nil {
			c.syncDependencies(j)
		}
	}
}

// follow brings a job in line with the graph: its priority, whether it may run,
// and whether it is withdrawn because one that it needs is. Such a job never had
// a task, and nobody answers otherwise any more; its own record says so when there
// is time.
func (c *Core) syncDependencies(j *job) {
	if j.terminal() {
		return
	}
	s := c.graph.Of(j.id)
	c.setPriority(j, s.Priority)
	if j.orderMS = s.ReadyMS; s.StartByMS != 0 {
		j.orderMS = min(j.orderMS, s.StartByMS)
	}
	switch {
	case s.State == pipeline.Cancelled:
		j.status, j.cancelUnrecorded = wire.StatusCancelled, true
		c.orphanCancels = append(c.orphanCancels, j)
		c.stopAllTasks(j)
	case s.State == pipeline.Ready && !j.ready:
		j.ready, j.readyMS = true, s.ReadyMS
		j.readyAt, j.waitingSince = c.now, c.now
		c.recordArrival(j.spec)
		c.schedulingDue = true
	}
}

// setPriority changes what a job counts as, with its tasks on machines.
func (c *Core) setPriority(j *job, p wire.Priority) {
	if p == j.priority {
		return
	}
	count := func(n int) {
		for _, a := range j.active {
			if a.stopReason == stopNone {
				c.countTask(a, n, 0)
			} else {
				c.countTask(a, 0, n)
			}
		}
	}
	count(-1)
	j.priority = p
	count(1)
	c.schedulingDue = true
}

// wallMS is the time of day, as far as it is known.
func (c *Core) wallClockMS() int64 {
	if c.opt.WallClockMS == 0 {
		return 0
	}
	return c.opt.WallClockMS + c.now.Sub(c.termBegan).Milliseconds()
}

// EnableSplitRecords tells that every controller can read slices that were split. Records
// beyond what the state service may take at any moment are split from now on.
func (c *Core) EnableSplitRecords(now ids.Instant) {
	c.now = now
	if c.opt.SplitRecords {
		return
	}
	c.opt.SplitRecords = true
	for _, j := range c.sortedJobs() {
		j.refusals = 0 // what could not be split may be now
		for _, s := range j.slices {
			c.markOversized(j, s)
		}
	}
}

// markLarge sees that a record which is too large is written again, in parts.
func (c *Core) markOversized(j *job, s *admissionSlice) {
	if c.opt.SplitRecords && s.oversized && !j.terminal() {
		c.markDirty(j, s, false)
	}
}

// touch notes that a task's record must be written: at once for a placement,
// else when there is time.
func (c *Core) markTaskDirty(j *job, index int, urgent bool) {
	c.markDirty(j, j.tasks[index].slice, urgent)
}

func (c *Core) markDirty(j *job, s *admissionSlice, urgent bool) {
	if !s.dirty {
		s.dirty, s.dirtySince = true, c.now
	}
	s.urgent = s.urgent || urgent
	c.dirty[s] = j
}

// complete notes that a task is done.
func (c *Core) completeTask(a *assignment) {
	c.detach(a)
	j := a.job
	if j.terminal() {
		c.droppable[j] = true
		return
	}
	c.compareRunTimes(a)
	if a.phase == wire.TaskRunning {
		c.recordRun(a.job.spec, c.runTime(a))
	}
	j.tasks[a.index].state = taskDone
	j.done++
	j.succeeded++
	j.failureRounds, j.backoff = 0, 0
	c.markTaskDirty(j, a.index, false)
	if j.done == len(j.tasks) {
		c.completable[j] = true
	}
}

// ObserveJob takes a job's record as found in state: new, withdrawn or with a
// version that this leader did not know.
func (c *Core) ObserveJob(now ids.Instant, id ids.JobID, rec *ledger.Job, stamp ids.Revision) {
	c.now = now
	j := c.jobs[id]
	if j != nil && stamp <= j.revision {
		return
	}
	if j == nil {
		if s := c.graph.Of(id).State; rec.Over() || s == pipeline.Done || s == pipeline.Cancelled {
			c.applyJobRecord(id, rec) // or an older record, delivered late
			return
		}
		j = c.newJob(id, rec, stamp)
		c.jobs[id] = j
		c.rebuildPending(j)
		c.applyJobRecord(id, rec)
		return
	}
	j.revision = stamp
	if rec.Over() {
		if !j.terminal() {
			j.status = rec.Status
			c.stopAllTasks(j)
		}
		c.cancelRecorded(j)
		c.applyJobRecord(id, rec)
	}
}

// written notes that a job's own record says that it is over.
func (c *Core) cancelRecorded(j *job) {
	if j.cancelUnrecorded {
		j.cancelUnrecorded = false
		c.droppable[j] = true
	}
}

// beginStop stops all that a job which is over may still have on machines.
func (c *Core) stopAllTasks(j *job) {
	j.pending = nil
	j.cancelledAt = c.now
	for _, s := range j.slices {
		delete(c.dirty, s)
		s.dirty = false
	}
	delete(c.completable, j)
	for _, a := range tasksByIndex(j.active) {
		c.stopTask(a, stopCancelled)
	}
	c.droppable[j] = true
	c.schedulingDue = true
}

func tasksByIndex(m map[int]*assignment) []*assignment {
	out := make([]*assignment, 0, len(m))
	for _, a := range m {
		out = append(out, a)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].index < out[k].index })
	return out
}

// stop decides that a task must leave its machine. One that was never sent is
// gone at once, unless its record is still being written: then the record
// decides first.
func (c *Core) stopTask(a *assignment, why stopReason) {
	if a.stopReason == stopNone {
		a.stoppedAt = c.now
		a.machine.countActive(a, -1)
		c.countTask(a, -1, 1)
	}
	c.queueCommands(a.machine)
	a.graceS = 0
	if why != stopCancelled && a.stopReason != stopCancelled && a.job.spec.CheckpointEveryS > 0 {
		a.graceS = a.job.spec.CheckpointS*1.25 + 0.5
	}
	if a.stopReason != stopCancelled {
		a.stopReason = why
	}
	if !a.mayRun() && !a.recordInFlight {
		c.release(a)
	}
	c.schedulingDue = true
}

// Status tells a job's progress for display.
func (c *Core) Status(id ids.JobID) (Status, bool) {
	j := c.jobs[id]
	if j == nil {
		return Status{}, false
	}
	s := Status{Done: j.done}
	for _, a := range j.active {
		if a.phase == wire.TaskRunning || a.phase == wire.TaskSaving {
			s.Running++
		}
	}
	return s, true
}

// ChangeResult takes the definite outcome of a change.
func (c *Core) ChangeResult(now ids.Instant, o ledger.Outcome) {
	c.now = now
	c.settleChange(o)
}

// settleChange takes the definite outcome of a change into account.
func (c *Core) settleChange(o ledger.Outcome) {
	p := c.pendingChanges[o.Change.ID]
	if p == nil {
		return
	}
	delete(c.pendingChanges, o.Change.ID)
	c.schedulingDue = true
	j := p.job
	if p.slice != nil {
		p.slice.inFlight = false
	}
	for _, s := range p.dropped {
		s.inFlight = false
	}
	if !o.Applied {
		if o.Refused {
			c.postpone(p)
		} else {
			c.changeRejected(p, o.Failed)
		}
		return
	}
	j.refusals = 0
	switch {
	case p.orphanCancel:
		j.revision = o.Revision
		c.cancelRecorded(j)
	case p.completes:
		j.completing = false
		j.status, j.revision = wire.StatusDone, o.Revision
		// Only now may those that need it start: a successor would find it done.
		c.applyJobRecord(j.id, &ledger.Job{Status: wire.StatusDone, DoneMS: p.doneMS})
		for _, s := range p.dropped {
			s.revision = 0
		}
		c.droppable[j] = true
	case p.slice != nil:
		p.slice.revision = o.Revision
		c.applySplit(p, o.Revision)
		for _, a := range p.placed {
			a.recorded, a.recordInFlight = true, false
			c.queueCommands(a.machine)
			if a.stopReason != stopNone && a.machine.tasks[a.ref()] == a {
				c.release(a) // never sent
			}
		}
		if j.terminal() {
			c.droppable[j] = true
		}
	default:
		for _, s := range p.dropped {
			s.revision = 0
		}
		c.droppable[j] = true
	}
}

// refused handles a change whose guards failed. Only the job's own key may
// have moved, by a withdrawal; anything else means that the records are not
// as this leader left them.
func (c *Core) changeRejected(p *pendingChange, failed []string) {
	j := p.job
	j.completing = false
	if len(failed) != 1 || failed[0] != ledger.JobKey(j.id) || j.revision == 0 {
		c.recordsErr = fmt.Errorf("records of %s moved without this leader: %v", j.id, failed)
		return
	}
	c.rollBack(p)
	if p.orphanCancel || !j.terminal() {
		j.rereadAt = c.now.Add(500 * time.Millisecond)
		c.effects.Refresh = append(c.effects.Refresh, j.id)
	}
}

// undo takes back what a change that was not applied would have recorded.
func (c *Core) rollBack(p *pendingChange) {
	j := p.job
	for _, a := range p.placed {
		a.recordInFlight = false
		if a.machine.tasks[a.ref()] == a {
			c.release(a)
		}
	}
	switch {
	case p.orphanCancel:
		c.orphanCancels = append(c.orphanCancels, j) // unless its user withdrew it too
	case j.terminal():
		c.droppable[j] = true
	case p.completes:
		c.completable[j] = true
	case p.slice != nil:
		c.markDirty(j, p.slice, true)
	}
}

// maxRefusals is how often a change of one job may be refused for its size.
const maxRefusals = 8

// putOff handles a change that the state service would not take at all, as when
// its limits are lower than it said. The same would be refused again: the job's
// next change is half as large and comes later, and after a few of them nothing more
// is written or placed for it, until all controllers are new or another leads. Others
// go on meanwhile.
func (c *Core) postpone(p *pendingChange) {
	j := p.job
	j.completing = false
	c.rollBack(p)
	j.refusals++
	wait := min(time.Minute, time.Second<<min(j.refusals, maxRefusals))
	j.rereadAt, j.retryAt = c.now.Add(wait), c.now.Add(wait)
}

// divide makes the slices of a split that is recorded. What happened to their
// tasks since belongs to the parts.
func (c *Core) applySplit(p *pendingChange, stamp ids.Revision) {
	for k, part := range p.parts {
		part.revision, part.tasks = stamp, p.split[k]
		for _, i := range part.tasks {
			p.job.tasks[i].slice = part
		}
		if p.slice.dirty {
			c.markDirty(p.job, part, p.slice.urgent)
		}
	}
}

func compareJobs(a, b *job) int { return strings.Compare(string(a.id), string(b.id)) }

func sortedJobs(m map[*job]bool) []*job { return slices.SortedFunc(maps.Keys(m), compareJobs) }

// sortedJobs lists all jobs by id. Whatever may reach a decision goes through them
// in this order, never in that of the map: the same events must give the same
// decisions.
func (c *Core) sortedJobs() []*job { return slices.SortedFunc(maps.Values(c.jobs), compareJobs) }

// healthCheckInterval is how often the machines are looked at for what time alone
// brings about.
const healthCheckInterval = 200 * time.Millisecond

// pauseThreshold is how long a time without a step tells that the leader did not
// run, rather than that its machines were silent: what they said meanwhile is
// still to be read.
const pauseThreshold = time.Second

// awake moves the time on, and notices that the leader did not run for a while.
func (c *Core) advance(now ids.Instant) {
	c.now = now
	if gap := now.Sub(c.lastStep); gap > pauseThreshold {
		c.resumedAt = now
		if c.lastStep != 0 {
			c.totalPause += gap
		}
	}
	c.lastStep = now
}

// scheduleAt sees that a pass comes by a time, whether or not anything happens.
func (c *Core) scheduleAt(at ids.Instant) {
	if c.recheckAt == 0 || at < c.recheckAt {
		c.recheckAt = at
	}
}

// Step runs what time and events call for and hands out the decisions.
func (c *Core) Step(now ids.Instant) Effects {
	c.advance(now)
	if c.healthCheckDue || now >= c.healthCheckedAt.Add(healthCheckInterval) {
		c.healthCheckDue, c.healthCheckedAt = false, now
		c.checkMachines()
	}
	if (c.schedulingDue || c.recheckAt != 0 && now >= c.recheckAt) && now >= c.nextRoundAt {
		c.schedulingDue, c.recheckAt = false, 0
		before := c.MachinesExamined
		c.scheduleRound()
		c.nextRoundAt = now.Add(max(c.opt.RoundInterval, time.Duration(c.MachinesExamined-before)*c.opt.RoundCostPerMachine))
	}
	c.planFleet()
	c.writeRecords()
	c.dispatchCommands()
	out := c.effects
	c.effects = Effects{}
	return out
}

// mayWrite tells whether the write rate allows one more change now.
func (c *Core) mayWrite() bool { return c.opt.WriteRate <= 0 || c.writeBudget >= 1 }

// save turns dirty records into changes, no faster than the state service may
// be written: placements first, then what is over, then what only lags behind. While
// writes are scarce, as for half a minute after a zone is lost, the ends of jobs go
// before placements: each is one write, users wait for it, and so may other jobs.
func (c *Core) writeRecords() {
	c.writeBudget = min(c.opt.WriteRate, c.writeBudget+c.opt.WriteRate*c.now.Sub(c.budgetRefilledAt).Seconds())
	c.budgetRefilledAt = c.now
	if !c.mayWrite() {
		return
	}
	if c.writeBudget < c.opt.WriteRate*scarceWrites && !c.completeJobs(0) {
		return
	}
	c.writeSlices(true)
	if !c.completeJobs(c.opt.TxnOps-2) || !c.recordOrphanCancels() {
		return
	}
	for _, j := range sortedJobs(c.droppable) {
		if !c.mayWrite() {
			return
		}
		c.dropRecords(j)
	}
	c.writeSlices(false)
}

// scarce is the part of a second's writes below which they are scarce.
const scarceWrites = 0.5

// completeJobs ends the jobs whose tasks are all done, with so many drops each. False
// means that the rate allows no more.
func (c *Core) completeJobs(drops int) bool {
	for _, j := range sortedJobs(c.completable) {
		if !c.mayWrite() {
			return false
		}
		c.completeJob(j, drops)
	}
	return true
}

// writeSlices saves the dirty slices that hold placements, or else those that
// have lagged behind for long enough.
func (c *Core) writeSlices(urgent bool) {
	type item struct {
		s *admissionSlice
		j *job
	}
	var items []item
	for s, j := range c.dirty {
		if s.inFlight || j.terminal() || j.completing || c.completable[j] || c.now < j.rereadAt || j.refusals >= maxRefusals {
			continue
		}
		if s.urgent != urgent || !urgent && c.now < s.dirtySince.Add(c.opt.LazyWriteDelay) {
			continue
		}
		items = append(items, item{s, j})
	}
	sort.Slice(items, func(i, k int) bool {
		a, b := items[i], items[k]
		if a.j.priority != b.j.priority {
			return a.j.priority > b.j.priority
		}
		if a.j.id != b.j.id {
			return a.j.id < b.j.id
		}
		return a.s.number < b.s.number
	})
	for _, it := range items {
		if !c.mayWrite() {
			return
		}
		c.writeSlice(it.j, it.s)
	}
}

func (c *Core) submitChange(p *pendingChange, ch ledger.Change) {
	c.nextChange++
	ch.ID = c.nextChange
	c.pendingChanges[ch.ID] = p
	c.writeBudget -= float64(len(ch.Apply))
	c.effects.Changes = append(c.effects.Changes, ch)
}

// nonce names the next change. No two leaders share a stamp.
func (c *Core) nextNonce() uint64 {
	return uint64(ids.NewToken(c.opt.Revision, c.nextChange+1))
}

func (c *Core) writeSlice(j *job, s *admissionSlice) {
	delete(c.dirty, s)
	s.dirty, s.urgent, s.inFlight = false, false, true
	p := &pendingChange{job: j, slice: s}
	for _, i := range s.tasks {
		if a := j.tasks[i].assignment; a != nil && !a.recorded {
			a.recordInFlight = true
			p.placed = append(p.placed, a)
		}
	}
	at := []ledger.SliceVersion{{N: s.number, Revision: s.revision}}
	recs := []ledger.Slice{c.sliceRecord(j, s.tasks)}
	limit := c.opt.ValueBytes >> j.refusals
	s.oversized = wire.Exceeds(recs[0], limit)
	if s.oversized && c.opt.SplitRecords {
		s.oversized = false
		p.split, recs = c.splitTasks(j, s.tasks, limit)
		p.parts = []*admissionSlice{s}
		for range recs[1:] {
			j.growSlices(len(j.slices) + 1)
			part := j.slices[len(j.slices)-1]
			p.parts = append(p.parts, part)
			at = append(at, ledger.SliceVersion{N: part.number})
		}
	}
	c.submitChange(p, ledger.SliceChange(j.id, j.revision, at, recs))
}

// cut divides the tasks of a record that is too large into parts whose records are
// not, no more than one change may write.
func (c *Core) splitTasks(j *job, tasks []int, limit int) (parts [][]int, recs []ledger.Slice) {
	parts = [][]int{tasks}
	for k := 0; k < len(parts); {
		list := parts[k]
		rec := c.sliceRecord(j, list)
		if len(list) < 2 || len(parts) >= c.opt.TxnOps || !wire.Exceeds(rec, limit) {
			recs = append(recs, rec)
			k++
			continue
		}
		half := len(list) / 2
		parts = slices.Replace(parts, k, k+1, slices.Clone(list[:half]), slices.Clone(list[half:]))
	}
	return parts, recs
}

// sliceRecord is the record of some of a job's tasks.
func (c *Core) sliceRecord(j *job, tasks []int) ledger.Slice {
	rec := ledger.Slice{Nonce: c.nextNonce()}
	place := map[ids.Host]int{}
	for _, i := range tasks {
		t := &j.tasks[i]
		if t.state == taskDone {
			rec.Done = append(rec.Done, i)
			continue
		}
		if t.attempt == 0 {
			continue
		}
		at := -1
		if t.assignment != nil {
			h, ok := place[t.assignment.machine.host]
			if !ok {
				h = len(rec.Hosts)
				place[t.assignment.machine.host] = h
				rec.Hosts = append(rec.Hosts, t.assignment.machine.host)
				rec.Zones = append(rec.Zones, t.assignment.machine.Zone)
			}
			at = h
		}
		rec.Tasks = append(rec.Tasks, i, int(t.attempt), at)
	}
	return rec
}

// recordOrphanCancels writes that jobs are withdrawn with one that they need. They never
// had a task, so nothing else of them has to be kept. There may be a crowd of them,
// so each is looked at once, in order. False means that the rate allows no more.
func (c *Core) recordOrphanCancels() bool {
	for n := len(c.orphanCancels); n > 0; n-- {
		if !c.mayWrite() {
			return false
		}
		j := c.orphanCancels[0]
		c.orphanCancels = c.orphanCancels[1:]
		switch {
		case !j.cancelUnrecorded: // its user withdrew it too
		case c.now < j.rereadAt:
			c.orphanCancels = append(c.orphanCancels, j)
		default:
			rec := ledger.Job{Tasks: len(j.tasks), SubmittedMS: j.readyMS}
			c.submitChange(&pendingChange{job: j, orphanCancel: true}, ledger.CancelChange(j.id, j.revision, c.nextNonce(), rec, 0))
		}
	}
	return true
}

// finish commits that a job is done, and drops what records it can in the
// same transaction.
func (c *Core) completeJob(j *job, most int) {
	for _, s := range j.slices {
		if s.inFlight {
			return // its version is not known yet
		}
	}
	if j.completing || j.terminal() || c.now < j.rereadAt {
		return
	}
	delete(c.completable, j)
	j.completing = true
	p := &pendingChange{job: j, completes: true, doneMS: c.wallClockMS()}
	// The rest of the records is dropped later, and less at once where a change
	// was refused.
	most >>= j.refusals
	var drops []ledger.SliceVersion
	for _, s := range j.slices {
		delete(c.dirty, s)
		s.dirty = false
		if s.revision != 0 && len(drops) < most {
			s.inFlight = true
			p.dropped = append(p.dropped, s)
			drops = append(drops, ledger.SliceVersion{N: s.number, Revision: s.revision})
		}
	}
	rec := ledger.Job{Nonce: c.nextNonce(), Tasks: len(j.tasks), DoneMS: p.doneMS}
	c.submitChange(p, ledger.DoneChange(j.id, j.revision, rec, drops))
}

// dropRecords drops the admission records of a job that is over, once none of its
// tasks can be on a machine.
func (c *Core) dropRecords(j *job) {
	if c.now < j.rereadAt {
		return
	}
	delete(c.droppable, j)
	if !j.terminal() || len(j.active) > 0 || j.cancelUnrecorded {
		return // comes again with what is missing
	}
	p := &pendingChange{job: j}
	var drops []ledger.SliceVersion
	for _, s := range j.slices {
		if s.inFlight {
			return // comes again with the outcome
		}
		if s.revision != 0 && len(drops) < max(1, c.opt.TxnOps>>j.refusals-1) {
			p.dropped = append(p.dropped, s)
			drops = append(drops, ledger.SliceVersion{N: s.number, Revision: s.revision})
		}
	}
	if len(drops) == 0 {
		delete(c.jobs, j.id)
		return
	}
	for _, s := range p.dropped {
		s.inFlight = true
	}
	c.submitChange(p, ledger.DropChange(j.id, drops))
}

// Summary is one line about the state of things, for the log.
func (c *Core) Summary() string {
	var b strings.Builder
	var pend, act, up, boot, starving int
	for _, j := range c.jobs {
		if j.ready && !j.terminal() && c.starving(j) {
			starving++
		}
		pend += len(j.pending)
		act += len(j.active)
	}
	for _, m := range c.machineList {
		if c.usable(m) {
			up++
		} else if !m.reported {
			boot++
		}
	}
	fmt.Fprintf(&b, "jobs=%d waiting=%d starving=%d placed=%d machines=%d usable=%d booting=%d",
		len(c.jobs), pend, starving, act, len(c.machineList), up, boot)
	for i, name := range []string{stopNone: "lost", stopCancelled: "withdrawn", stopPreempted: "preempted", stopDrained: "drained"} {
		fmt.Fprintf(&b, " %s=%d/%.0f", name, c.lostWork[i].tasks, c.lostWork[i].cpuS)
	}
	for _, t := range c.opt.Teams {
		fmt.Fprintf(&b, " %s=%.0f", t.Name, c.quotas.Used(t.Name).CPUs)
	}
	for _, zone := range slices.Sorted(maps.Keys(c.zoneStates)) {
		if c.zonePartitioned(zone) {
			fmt.Fprintf(&b, " cut-off=%s", zone)
		}
	}
	for _, why := range slices.Sorted(maps.Keys(c.returnCounts)) {
		fmt.Fprintf(&b, " returned-%s=%d", why, c.returnCounts[why])
	}
	// By type and kind: machines, those without a task, and the part of their
	// CPUs in use.
	type held struct {
		count, idle int
		used, total float64
	}
	kinds := map[placement.Site]*held{}
	for _, m := range c.machineList {
		k := placement.Site{Type: m.Type, Spot: m.Spot}
		if kinds[k] == nil {
			kinds[k] = &held{}
		}
		h := kinds[k]
		h.count++
		if len(m.tasks) == 0 {
			h.idle++
		}
		h.used += m.used.CPUs
		h.total += m.total.CPUs
	}
	for _, k := range slices.SortedFunc(maps.Keys(kinds), placement.Site.Compare) {
		kind, h := "", kinds[k]
		if k.Spot {
			kind = "/spot"
		}
		fmt.Fprintf(&b, " %s%s=%d/%d/%.2f", k.Type, kind, h.count, h.idle, h.used/max(1, h.total))
	}
	return b.String()
}
