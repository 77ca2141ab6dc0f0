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
	// Stamp is the stamp of the leader's key; tokens are made of it.
	Stamp ids.Stamp
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
	// AllNew.
	Split      bool
	SliceTasks int
	PassOver   int
	// Impatient names the classes whose tasks must start sooner than a
	// machine boots.
	Impatient    map[string]time.Duration
	ReclaimHold  time.Duration
	Idle         time.Duration
	SpotIdle     float64 // spot machines may stand idle this many times as long
	HeadroomIdle time.Duration
	Headroom     float64
	BootFactor   float64
	CapacityBack time.Duration
	// MaxMachines bounds the machines held; 0: no bound.
	MaxMachines int
	// PassEvery is the least time between two passes of admission, and
	// PassCost the time that each machine looked at in a pass keeps the next
	// one away. Reports and renewals have their turn in between, however much
	// work waits.
	PassEvery, PassCost time.Duration
	// LazySave is how long a record may lag behind tasks that ended. A
	// placement is recorded at once, since it is sent only then.
	LazySave time.Duration
	// WriteRate is how many writes and drops a second the records may take;
	// 0: no bound.
	WriteRate float64
	// MaxDirect bounds the calls to workers under way; 0: no bound.
	MaxDirect int
	// KeepAfter is how long a job waits to begin until room is kept for it; 0:
	// never. KeepFor is how long it is kept at a time. After twice KeepAfter a
	// job begins before others go on.
	KeepAfter, KeepFor time.Duration
	// WallMS is the time of day when the term begins, to tell how long jobs
	// have waited already; 0: not known.
	WallMS int64
}

type taskState uint8

const (
	taskPending taskState = iota
	taskAssigned
	taskDone
)

type task struct {
	attempt ids.Attempt
	state   taskState
	a       *assignment
	in      *slice // whose record it belongs to
}

type stopReason uint8

const (
	stopNone stopReason = iota
	stopWithdrawn
	stopPreempted
	stopDrained
)

// assignment is one attempt of a task on a machine. From the decision on it
// counts as used, until the attempt is surely gone.
type assignment struct {
	job     *job
	index   int
	attempt ids.Attempt
	m       *machine
	// recorded: the admission record is committed. Nothing is sent before.
	recorded bool
	// saving: a change that holds this placement is on its way.
	saving bool
	// inherited: a predecessor recorded it and may have sent it.
	inherited bool
	// sentToken is the highest token under which run may have been sent. A
	// worker that shows a higher one and not the attempt will never start it.
	sentToken  ids.Token
	sentTenure ids.Tenure
	sentAt     ids.Instant // first, since it was last known not to be there
	sent       bool
	seen       bool
	phase      string
	since      ids.Instant   // when the phase began, as far as known
	stood      time.Duration // Core.stood at that time
	stop       stopReason
	sheltered  bool // a first task of a job that starved
	stopAt     ids.Instant
	graceS     float64
	killAt     ids.Instant
}

func (a *assignment) ref() ids.TaskRef { return ids.TaskRef{Job: a.job.id, Index: a.index} }

// mayRun tells whether the worker might have the task.
func (a *assignment) mayRun() bool { return a.sent || a.inherited }

// slice is one admission record.
type slice struct {
	n        int
	stamp    ids.Stamp // 0: no record
	dirty    bool
	dirtyAt  ids.Instant
	urgent   bool // holds placements that are not recorded
	inflight bool
	tasks    []int // ascending
	// large: its record is beyond ValueBytes and was written all the same,
	// since older controllers could not read it in parts.
	large bool
}

type job struct {
	id    ids.JobID
	spec  *wire.Spec
	stamp ids.Stamp
	at    int64 // when it was ready to run, as the time of day
	// by is what jobs go by: at, or for a pipeline that is late, when this job
	// should have started for the last to be done in time.
	by     int64
	status string
	// prio is the job's own priority or that of one that needs it, ready tells
	// that all that it needs is done, and unwritten that it is withdrawn with
	// a job that it needs, but its own record does not say so yet.
	prio      wire.Priority
	ready     bool
	unwritten bool
	refusals  int // changes in a row that the state service would not take
	tasks     []task
	slices    []*slice
	pending   []int // descending, so that the lowest is popped first
	done      int
	active    map[int]*assignment
	zones     placement.Zones
	// finishing: the commit of done is on its way.
	finishing bool
	stopAt    ids.Instant
	retryAt   ids.Instant
	refreshAt ids.Instant // no change before, the record is being read again
	backoff   time.Duration
	deferred  bool     // goes with the borrowers, behind higher work of its team
	only      ids.Zone // while a zone is tried for a job that needs one
	// begun: one of its tasks was placed once. came is when it was ready to run,
	// waits since when it could not begin, keptSince since when room is kept.
	begun     bool
	setAside  bool // see SetAside
	came      ids.Instant
	waits     ids.Instant
	keptSince ids.Instant
	// coldOK: no machine that holds the image can take the job's tasks, so
	// others may.
	coldOK    bool
	failedOn  map[ids.Host]ids.Instant // when last
	succeeded int
	rounds    int                          // in which it failed everywhere, since it last succeeded
	ran       map[ids.Host][]time.Duration // tasks that were seen from start to end
}

func (j *job) over() bool { return j.status != wire.StatusQueued }

func (j *job) amount() quota.Amount { return quota.Amount{CPUs: j.spec.CPUs, GPUs: j.spec.GPUs} }

// Status is what the leader can say about a job's progress.
type Status struct {
	Done, Running int
}

type pendingChange struct {
	job   *job
	slice *slice
	// parts are the slices that come of a split, slice first, and split the
	// tasks of each; nil if there is none.
	parts   []*slice
	split   [][]int
	placed  []*assignment
	finish  bool
	doneMS  int64
	orphan  bool // the job is withdrawn with one that it needs
	dropped []*slice
}

// Core is the scheduler of one term.
type Core struct {
	opt     Options
	started ids.Instant
	// othersUntil is the latest that an earlier leader can have received a
	// report which it then answered.
	othersUntil ids.Instant
	now         ids.Instant
	types       map[ids.MachineType]*wire.MachineType
	typeList    []wire.MachineType
	jobs        map[ids.JobID]*job // all that are not over, and withdrawn ones with tasks
	graph       *pipeline.Graph    // all jobs, and who waits for whom
	unreadable  map[ids.JobID]bool // jobs whose own record cannot be read
	machines    map[ids.Host]*machine
	order       []*machine // machines by host
	gone        map[ids.Host]bool
	from        map[ids.Zone]*zoneState
	lastHeard   ids.Instant // when any machine was last heard
	lastStep    ids.Instant
	resumed     ids.Instant   // when steps went on after a time without any
	stood       time.Duration // all such times together
	book        *quota.Book
	on          map[work]onMachines
	backoff     *fleet.Backoff

	changes    map[uint64]*pendingChange
	nextChange uint64
	changed    bool        // something happened that scheduling may act on
	passAt     ids.Instant // no pass before
	recheck    ids.Instant // a pass is due although nothing changed; 0: none
	// Work counts the machines that passes of admission have looked at, all
	// told. It bounds and measures their work without a clock.
	Work uint64
	// ready holds the machines that take tasks in the present pass, by host.
	ready      []*machine
	zones      []ids.Zone // of the ready machines
	passes     uint64
	lastWatch  ids.Instant
	watchSoon  bool
	hot        []*machine // machines to which a command may have to go
	calls      int        // calls to workers under way
	writes     float64    // writes that the rate still allows
	lastWrites ids.Instant
	dirty      map[*slice]*job
	finishable map[*job]bool
	withdrawn  map[*job]bool
	orphans    []*job // unwritten ones whose change is not on its way

	lastFleet   ids.Instant
	nextBooking int
	renting     map[placement.Site]int // machines asked for
	bookings    map[placement.Site]int // rentals under way
	peaks       map[string]*peak
	paces       map[string]float64          // by class, how long tasks ran against their estimates
	boots       map[ids.MachineType]float64 // how long boots took lately against the catalog
	out         Effects

	returns map[string]int // machines given back, by reason

	spotTime   time.Duration
	spotLosses int

	lost [stopDrained + 1]loss // by what the core had decided, if anything

	// Deposed is set when a worker shows a higher leader's token.
	deposed bool
	broken  error
}

// loss counts tasks that were taken off machines before they were done, and
// the CPU seconds they had run.
type loss struct {
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
		opt:        opt,
		jobs:       map[ids.JobID]*job{},
		unreadable: map[ids.JobID]bool{},
		graph:      pipeline.New(),
		machines:   map[ids.Host]*machine{},
		gone:       map[ids.Host]bool{},
		from:       map[ids.Zone]*zoneState{},
		book:       quota.NewBook(opt.Teams),
		on:         map[work]onMachines{},
		backoff:    fleet.NewBackoff(opt.CapacityBack),
		changes:    map[uint64]*pendingChange{},
		dirty:      map[*slice]*job{},
		finishable: map[*job]bool{},
		withdrawn:  map[*job]bool{},
		renting:    map[placement.Site]int{},
		bookings:   map[placement.Site]int{},
		peaks:      map[string]*peak{},
		returns:    map[string]int{},
		paces:      map[string]float64{},
		boots:      map[ids.MachineType]float64{},
		writes:     opt.WriteRate,
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
	for _, m := range c.order {
		c.fillType(m)
	}
	c.changed = true
}

// Deposed tells that a worker has seen a later leader.
func (c *Core) Deposed() bool { return c.deposed }

// Broken is set when the records are not as this leader left them. The term
// must then end and the records be read again.
func (c *Core) Broken() error { return c.broken }

func (c *Core) newJob(id ids.JobID, rec *ledger.Job, stamp ids.Stamp) *job {
	j := &job{id: id, spec: rec.Spec, stamp: stamp, at: rec.SubmittedMS, by: rec.SubmittedMS, status: rec.Status,
		active: map[int]*assignment{}, zones: placement.Zones{}, came: c.now, waits: c.now}
	if j.spec == nil {
		j.spec = &wire.Spec{Tasks: rec.Tasks}
	}
	j.prio = j.spec.Priority
	j.tasks = make([]task, j.spec.Tasks)
	per := c.opt.SliceTasks
	j.grow((len(j.tasks) + per - 1) / per)
	for i := range j.tasks {
		j.tasks[i].in = j.slices[i/per]
	}
	j.relist()
	return j
}

// grow makes room for slices with numbers below n.
func (j *job) grow(n int) {
	for len(j.slices) < n {
		j.slices = append(j.slices, &slice{n: len(j.slices)})
	}
}

// relist lists the tasks of each slice anew.
func (j *job) relist() {
	for _, s := range j.slices {
		s.tasks = s.tasks[:0]
	}
	for i := range j.tasks {
		s := j.tasks[i].in
		s.tasks = append(s.tasks, i)
	}
}

// LoadJob takes a job's record at the start of the term. Jobs come before
// slices.
func (c *Core) LoadJob(id ids.JobID, rec *ledger.Job, stamp ids.Stamp) {
	c.graph.Put(id, rec.Pipeline())
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
func (c *Core) LoadSlice(id ids.JobID, n int, rec *ledger.Slice, stamp ids.Stamp) error {
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
	if !j.over() && n >= len(j.slices)+2*len(j.tasks) {
		return fmt.Errorf("admission record %s/%d lies outside its job", id, n)
	}
	j.grow(n + 1)
	s := j.slices[n]
	s.stamp = stamp
	if j.status == wire.StatusDone {
		return nil
	}
	s.large = wire.Exceeds(rec, c.opt.ValueBytes)
	for _, i := range rec.Done {
		if i < 0 || i >= len(j.tasks) {
			return fmt.Errorf("admission record %s/%d names task %d", id, n, i)
		}
		j.tasks[i].in = s
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
		t.attempt, t.in = attempt, s
		if h < 0 || t.state == taskDone {
			continue
		}
		m := c.machine(rec.Hosts[h])
		if m.Zone == "" && h < len(rec.Zones) {
			c.setSite(m, placement.Site{Zone: rec.Zones[h]}, "")
		}
		a := &assignment{job: j, index: i, attempt: attempt, m: m, recorded: true, inherited: true,
			sentToken: ids.NewToken(c.opt.Stamp, 0) - 1}
		c.attach(a)
	}
	return nil
}

// SetAside keeps a job from being placed, because it is not known where all
// its tasks may be. It stays known, and the others go on.
func (c *Core) SetAside(id ids.JobID) {
	if j := c.jobs[id]; j != nil {
		j.setAside = true
	}
}

// Begin ends the loading of records.
func (c *Core) Begin(now ids.Instant) {
	c.started, c.now = now, now
	c.othersUntil = now
	if c.opt.Predecessor {
		c.othersUntil = now.Add(c.opt.Grace)
	}
	c.lastFleet = now
	c.lastWrites = now
	// In order: it decides what is stopped, sent and written first.
	for _, j := range c.sortedJobs() {
		j.relist()
		c.follow(j)
		j.came = now
		if c.opt.WallMS > 0 {
			age := time.Duration(c.opt.WallMS-j.at) * time.Millisecond
			j.came = now.Add(-min(max(age, 0), time.Hour))
		}
		j.waits = j.came
		for _, s := range j.slices {
			c.markLarge(j, s)
		}
		switch j.status {
		case wire.StatusQueued:
			c.refill(j)
			if j.done == len(j.tasks) {
				c.finishable[j] = true
			}
		default:
			c.beginStop(j)
		}
	}
	for _, m := range c.order {
		m.known = now
		c.heat(m)
	}
	c.changed = true
}

// Followed tells that every other controller has said, since this term began,
// that it follows this leader. A process that knows of a later leader answers
// no report in the name of an earlier one, nor does one that was started
// since; so no worker's lease can have been renewed by anybody else for a
// report sent after now, and what silent workers hold need not wait for the
// grace.
func (c *Core) Followed(now ids.Instant) {
	c.now = now
	c.othersUntil = min(c.othersUntil, now)
}

func (c *Core) refill(j *job) {
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
	t.state, t.a = taskAssigned, a
	a.job.begun = true
	a.job.active[a.index] = a
	a.job.zones[a.m.Zone]++
	a.m.put(a)
	a.m.used = a.m.used.Plus(placement.Of(a.job.spec))
	c.book.Take(a.job.spec.Team, a.job.amount())
	c.note(a, 1, 0)
}

// detach undoes attach. The caller has shown that the attempt is surely gone
// or was never sent.
func (c *Core) detach(a *assignment) {
	t := &a.job.tasks[a.index]
	t.state, t.a = taskPending, nil
	delete(a.job.active, a.index)
	if a.job.zones[a.m.Zone]--; a.job.zones[a.m.Zone] <= 0 {
		delete(a.job.zones, a.m.Zone)
	}
	a.m.remove(a)
	a.m.used = a.m.used.Minus(placement.Of(a.job.spec))
	if len(a.m.tasks) == 0 {
		a.m.used = placement.Resources{}
		a.m.idleSince = c.now
	}
	c.book.Free(a.job.spec.Team, a.job.amount())
	if a.stop == stopNone {
		c.note(a, -1, 0)
	} else {
		c.note(a, 0, -1)
	}
	c.changed = true
}

// release takes a task that is surely gone off its machine; it waits again if
// its job goes on.
func (c *Core) release(a *assignment) {
	if a.phase == wire.TaskRunning && !a.job.spec.Service {
		l := &c.lost[a.stop]
		l.tasks++
		l.cpuS += c.now.Sub(a.since).Seconds() * a.job.spec.CPUs
	}
	c.detach(a)
	j := a.job
	if j.over() {
		c.withdrawn[j] = true
		return
	}
	k, _ := slices.BinarySearchFunc(j.pending, a.index, func(e, t int) int { return t - e })
	j.pending = slices.Insert(j.pending, k, a.index)
	c.touch(j, a.index, false)
}

// heed takes a record into the graph and does what follows for any job.
func (c *Core) heed(id ids.JobID, rec *ledger.Job) {
	for _, other := range c.graph.Put(id, rec.Pipeline()) {
		if j := c.jobs[other]; j != nil {
			c.follow(j)
		}
	}
}

// follow brings a job in line with the graph: its priority, whether it may run,
// and whether it is withdrawn because one that it needs is. Such a job never had
// a task, and nobody answers otherwise any more; its own record says so when there
// is time.
func (c *Core) follow(j *job) {
	if j.over() {
		return
	}
	s := c.graph.Of(j.id)
	c.setPriority(j, s.Priority)
	if j.by = s.ReadyMS; s.StartByMS != 0 {
		j.by = min(j.by, s.StartByMS)
	}
	switch {
	case s.State == pipeline.Withdrawn:
		j.status, j.unwritten = wire.StatusWithdrawn, true
		c.orphans = append(c.orphans, j)
		c.beginStop(j)
	case s.State == pipeline.Ready && !j.ready:
		j.ready, j.at = true, s.ReadyMS
		j.came, j.waits = c.now, c.now
		c.arrived(j.spec)
		c.changed = true
	}
}

// setPriority changes what a job counts as, with its tasks on machines.
func (c *Core) setPriority(j *job, p wire.Priority) {
	if p == j.prio {
		return
	}
	count := func(n int) {
		for _, a := range j.active {
			if a.stop == stopNone {
				c.note(a, n, 0)
			} else {
				c.note(a, 0, n)
			}
		}
	}
	count(-1)
	j.prio = p
	count(1)
	c.changed = true
}

// wallMS is the time of day, as far as it is known.
func (c *Core) wallMS() int64 {
	if c.opt.WallMS == 0 {
		return 0
	}
	return c.opt.WallMS + c.now.Sub(c.started).Milliseconds()
}

// AllNew tells that every controller can read slices that were split. Records
// beyond what the state service may take at any moment are split from now on.
func (c *Core) AllNew(now ids.Instant) {
	c.now = now
	if c.opt.Split {
		return
	}
	c.opt.Split = true
	for _, j := range c.sortedJobs() {
		j.refusals = 0 // what could not be split may be now
		for _, s := range j.slices {
			c.markLarge(j, s)
		}
	}
}

// markLarge sees that a record which is too large is written again, in parts.
func (c *Core) markLarge(j *job, s *slice) {
	if c.opt.Split && s.large && !j.over() {
		c.soil(j, s, false)
	}
}

// touch notes that a task's record must be written: at once for a placement,
// else when there is time.
func (c *Core) touch(j *job, index int, urgent bool) { c.soil(j, j.tasks[index].in, urgent) }

func (c *Core) soil(j *job, s *slice, urgent bool) {
	if !s.dirty {
		s.dirty, s.dirtyAt = true, c.now
	}
	s.urgent = s.urgent || urgent
	c.dirty[s] = j
}

// complete notes that a task is done.
func (c *Core) complete(a *assignment) {
	c.detach(a)
	j := a.job
	if j.over() {
		c.withdrawn[j] = true
		return
	}
	c.notePace(a)
	if a.phase == wire.TaskRunning {
		c.noteEstimate(a.job.spec, c.ran(a))
	}
	j.tasks[a.index].state = taskDone
	j.done++
	j.succeeded++
	j.rounds, j.backoff = 0, 0
	c.touch(j, a.index, false)
	if j.done == len(j.tasks) {
		c.finishable[j] = true
	}
}

// JobSeen takes a job's record as found in state: new, withdrawn or with a
// version that this leader did not know.
func (c *Core) JobSeen(now ids.Instant, id ids.JobID, rec *ledger.Job, stamp ids.Stamp) {
	c.now = now
	j := c.jobs[id]
	if j != nil && stamp <= j.stamp {
		return
	}
	if j == nil {
		if s := c.graph.Of(id).State; rec.Over() || s == pipeline.Done || s == pipeline.Withdrawn {
			c.heed(id, rec) // or an older record, delivered late
			return
		}
		j = c.newJob(id, rec, stamp)
		c.jobs[id] = j
		c.refill(j)
		c.heed(id, rec)
		return
	}
	j.stamp = stamp
	if rec.Over() {
		if !j.over() {
			j.status = rec.Status
			c.beginStop(j)
		}
		c.written(j)
		c.heed(id, rec)
	}
}

// written notes that a job's own record says that it is over.
func (c *Core) written(j *job) {
	if j.unwritten {
		j.unwritten = false
		c.withdrawn[j] = true
	}
}

// beginStop stops all that a job which is over may still have on machines.
func (c *Core) beginStop(j *job) {
	j.pending = nil
	j.stopAt = c.now
	for _, s := range j.slices {
		delete(c.dirty, s)
		s.dirty = false
	}
	delete(c.finishable, j)
	for _, a := range sortedTasks(j.active) {
		c.stop(a, stopWithdrawn)
	}
	c.withdrawn[j] = true
	c.changed = true
}

func sortedTasks(m map[int]*assignment) []*assignment {
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
func (c *Core) stop(a *assignment, why stopReason) {
	if a.stop == stopNone {
		a.stopAt = c.now
		a.m.count(a, -1)
		c.note(a, -1, 1)
	}
	c.heat(a.m)
	a.graceS = 0
	if why != stopWithdrawn && a.stop != stopWithdrawn && a.job.spec.SaveEvery > 0 {
		a.graceS = a.job.spec.SaveS*1.25 + 0.5
	}
	if a.stop != stopWithdrawn {
		a.stop = why
	}
	if !a.mayRun() && !a.saving {
		c.release(a)
	}
	c.changed = true
}

// Status tells a job's progress for display.
func (c *Core) Status(id ids.JobID) (Status, bool) {
	j := c.jobs[id]
	if j == nil {
		return Status{}, false
	}
	s := Status{Done: j.done}
	for _, a := range j.active {
		if a.phase == wire.TaskRunning || a.phase == wire.TaskFlushing {
			s.Running++
		}
	}
	return s, true
}

// ChangeResult takes the definite outcome of a change.
func (c *Core) ChangeResult(now ids.Instant, o ledger.Outcome) {
	c.now = now
	p := c.changes[o.Change.ID]
	if p == nil {
		return
	}
	delete(c.changes, o.Change.ID)
	c.changed = true
	j := p.job
	if p.slice != nil {
		p.slice.inflight = false
	}
	for _, s := range p.dropped {
		s.inflight = false
	}
	if !o.Applied {
		if o.Refused {
			c.putOff(p)
		} else {
			c.refused(p, o.Failed)
		}
		return
	}
	j.refusals = 0
	switch {
	case p.orphan:
		j.stamp = o.Stamp
		c.written(j)
	case p.finish:
		j.finishing = false
		j.status, j.stamp = wire.StatusDone, o.Stamp
		// Only now may those that need it start: a successor would find it done.
		c.heed(j.id, &ledger.Job{Status: wire.StatusDone, DoneMS: p.doneMS})
		for _, s := range p.dropped {
			s.stamp = 0
		}
		c.withdrawn[j] = true
	case p.slice != nil:
		p.slice.stamp = o.Stamp
		c.divide(p, o.Stamp)
		for _, a := range p.placed {
			a.recorded, a.saving = true, false
			c.heat(a.m)
			if a.stop != stopNone && a.m.tasks[a.ref()] == a {
				c.release(a) // never sent
			}
		}
		if j.over() {
			c.withdrawn[j] = true
		}
	default:
		for _, s := range p.dropped {
			s.stamp = 0
		}
		c.withdrawn[j] = true
	}
}

// refused handles a change whose guards failed. Only the job's own key may
// have moved, by a withdrawal; anything else means that the records are not
// as this leader left them.
func (c *Core) refused(p *pendingChange, failed []string) {
	j := p.job
	j.finishing = false
	if len(failed) != 1 || failed[0] != ledger.JobKey(j.id) || j.stamp == 0 {
		c.broken = fmt.Errorf("records of %s moved without this leader: %v", j.id, failed)
		return
	}
	c.undo(p)
	if p.orphan || !j.over() {
		j.refreshAt = c.now.Add(500 * time.Millisecond)
		c.out.Refresh = append(c.out.Refresh, j.id)
	}
}

// undo takes back what a change that was not applied would have recorded.
func (c *Core) undo(p *pendingChange) {
	j := p.job
	for _, a := range p.placed {
		a.saving = false
		if a.m.tasks[a.ref()] == a {
			c.release(a)
		}
	}
	switch {
	case p.orphan:
		c.orphans = append(c.orphans, j) // unless its user withdrew it too
	case j.over():
		c.withdrawn[j] = true
	case p.finish:
		c.finishable[j] = true
	case p.slice != nil:
		c.soil(j, p.slice, true)
	}
}

// mostRefusals is how often a change of one job may be refused for its size.
const mostRefusals = 8

// putOff handles a change that the state service would not take at all, as when
// its limits are lower than it said. The same would be refused again: the job's
// next change is half as large and comes later, and after a few of them nothing more
// is written or placed for it, until all controllers are new or another leads. Others
// go on meanwhile.
func (c *Core) putOff(p *pendingChange) {
	j := p.job
	j.finishing = false
	c.undo(p)
	j.refusals++
	wait := min(time.Minute, time.Second<<min(j.refusals, mostRefusals))
	j.refreshAt, j.retryAt = c.now.Add(wait), c.now.Add(wait)
}

// divide makes the slices of a split that is recorded. What happened to their
// tasks since belongs to the parts.
func (c *Core) divide(p *pendingChange, stamp ids.Stamp) {
	for k, part := range p.parts {
		part.stamp, part.tasks = stamp, p.split[k]
		for _, i := range part.tasks {
			p.job.tasks[i].in = part
		}
		if p.slice.dirty {
			c.soil(p.job, part, p.slice.urgent)
		}
	}
}

func compareJobs(a, b *job) int { return strings.Compare(string(a.id), string(b.id)) }

func sortedJobs(m map[*job]bool) []*job { return slices.SortedFunc(maps.Keys(m), compareJobs) }

// sortedJobs lists all jobs by id. Whatever may reach a decision goes through them
// in this order, never in that of the map: the same events must give the same
// decisions.
func (c *Core) sortedJobs() []*job { return slices.SortedFunc(maps.Values(c.jobs), compareJobs) }

// watchEvery is how often the machines are looked at for what time alone
// brings about.
const watchEvery = 200 * time.Millisecond

// stoodStill is how long a time without a step tells that the leader did not
// run, rather than that its machines were silent: what they said meanwhile is
// still to be read.
const stoodStill = time.Second

// awake moves the time on, and notices that the leader did not run for a while.
func (c *Core) awake(now ids.Instant) {
	c.now = now
	if gap := now.Sub(c.lastStep); gap > stoodStill {
		c.resumed = now
		if c.lastStep != 0 {
			c.stood += gap
		}
	}
	c.lastStep = now
}

// passBy sees that a pass comes by a time, whether or not anything happens.
func (c *Core) passBy(at ids.Instant) {
	if c.recheck == 0 || at < c.recheck {
		c.recheck = at
	}
}

// Step runs what time and events call for and hands out the decisions.
func (c *Core) Step(now ids.Instant) Effects {
	c.awake(now)
	if c.watchSoon || now >= c.lastWatch.Add(watchEvery) {
		c.watchSoon, c.lastWatch = false, now
		c.watchMachines()
	}
	if (c.changed || c.recheck != 0 && now >= c.recheck) && now >= c.passAt {
		c.changed, c.recheck = false, 0
		before := c.Work
		c.schedule()
		c.passAt = now.Add(max(c.opt.PassEvery, time.Duration(c.Work-before)*c.opt.PassCost))
	}
	c.planFleet()
	c.save()
	c.direct()
	out := c.out
	c.out = Effects{}
	return out
}

// mayWrite tells whether the write rate allows one more change now.
func (c *Core) mayWrite() bool { return c.opt.WriteRate <= 0 || c.writes >= 1 }

// save turns dirty records into changes, no faster than the state service may
// be written: placements first, then what is over, then what only lags behind. While
// writes are scarce, as for half a minute after a zone is lost, the ends of jobs go
// before placements: each is one write, users wait for it, and so may other jobs.
func (c *Core) save() {
	c.writes = min(c.opt.WriteRate, c.writes+c.opt.WriteRate*c.now.Sub(c.lastWrites).Seconds())
	c.lastWrites = c.now
	if !c.mayWrite() {
		return
	}
	if c.writes < c.opt.WriteRate*scarce && !c.finishAll(0) {
		return
	}
	c.saveSlices(true)
	if !c.finishAll(c.opt.TxnOps-2) || !c.writeOrphans() {
		return
	}
	for _, j := range sortedJobs(c.withdrawn) {
		if !c.mayWrite() {
			return
		}
		c.cleanUp(j)
	}
	c.saveSlices(false)
}

// scarce is the part of a second's writes below which they are scarce.
const scarce = 0.5

// finishAll ends the jobs whose tasks are all done, with so many drops each. False
// means that the rate allows no more.
func (c *Core) finishAll(drops int) bool {
	for _, j := range sortedJobs(c.finishable) {
		if !c.mayWrite() {
			return false
		}
		c.finish(j, drops)
	}
	return true
}

// saveSlices saves the dirty slices that hold placements, or else those that
// have lagged behind for long enough.
func (c *Core) saveSlices(urgent bool) {
	type item struct {
		s *slice
		j *job
	}
	var items []item
	for s, j := range c.dirty {
		if s.inflight || j.over() || j.finishing || c.finishable[j] || c.now < j.refreshAt || j.refusals >= mostRefusals {
			continue
		}
		if s.urgent != urgent || !urgent && c.now < s.dirtyAt.Add(c.opt.LazySave) {
			continue
		}
		items = append(items, item{s, j})
	}
	sort.Slice(items, func(i, k int) bool {
		a, b := items[i], items[k]
		if a.j.prio != b.j.prio {
			return a.j.prio > b.j.prio
		}
		if a.j.id != b.j.id {
			return a.j.id < b.j.id
		}
		return a.s.n < b.s.n
	})
	for _, it := range items {
		if !c.mayWrite() {
			return
		}
		c.saveSlice(it.j, it.s)
	}
}

func (c *Core) submit(p *pendingChange, ch ledger.Change) {
	c.nextChange++
	ch.ID = c.nextChange
	c.changes[ch.ID] = p
	c.writes -= float64(len(ch.Apply))
	c.out.Changes = append(c.out.Changes, ch)
}

// nonce names the next change. No two leaders share a stamp.
func (c *Core) nonce() uint64 {
	return uint64(ids.NewToken(c.opt.Stamp, c.nextChange+1))
}

func (c *Core) saveSlice(j *job, s *slice) {
	delete(c.dirty, s)
	s.dirty, s.urgent, s.inflight = false, false, true
	p := &pendingChange{job: j, slice: s}
	for _, i := range s.tasks {
		if a := j.tasks[i].a; a != nil && !a.recorded {
			a.saving = true
			p.placed = append(p.placed, a)
		}
	}
	at := []ledger.SliceVersion{{N: s.n, Stamp: s.stamp}}
	recs := []ledger.Slice{c.sliceRecord(j, s.tasks)}
	limit := c.opt.ValueBytes >> j.refusals
	s.large = wire.Exceeds(recs[0], limit)
	if s.large && c.opt.Split {
		s.large = false
		p.split, recs = c.cut(j, s.tasks, limit)
		p.parts = []*slice{s}
		for range recs[1:] {
			j.grow(len(j.slices) + 1)
			part := j.slices[len(j.slices)-1]
			p.parts = append(p.parts, part)
			at = append(at, ledger.SliceVersion{N: part.n})
		}
	}
	c.submit(p, ledger.SliceChange(j.id, j.stamp, at, recs))
}

// cut divides the tasks of a record that is too large into parts whose records are
// not, no more than one change may write.
func (c *Core) cut(j *job, tasks []int, limit int) (parts [][]int, recs []ledger.Slice) {
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
	rec := ledger.Slice{Nonce: c.nonce()}
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
		if t.a != nil {
			h, ok := place[t.a.m.host]
			if !ok {
				h = len(rec.Hosts)
				place[t.a.m.host] = h
				rec.Hosts = append(rec.Hosts, t.a.m.host)
				rec.Zones = append(rec.Zones, t.a.m.Zone)
			}
			at = h
		}
		rec.Tasks = append(rec.Tasks, i, int(t.attempt), at)
	}
	return rec
}

// writeOrphans writes that jobs are withdrawn with one that they need. They never
// had a task, so nothing else of them has to be kept. There may be a crowd of them,
// so each is looked at once, in order. False means that the rate allows no more.
func (c *Core) writeOrphans() bool {
	for n := len(c.orphans); n > 0; n-- {
		if !c.mayWrite() {
			return false
		}
		j := c.orphans[0]
		c.orphans = c.orphans[1:]
		switch {
		case !j.unwritten: // its user withdrew it too
		case c.now < j.refreshAt:
			c.orphans = append(c.orphans, j)
		default:
			rec := ledger.Job{Tasks: len(j.tasks), SubmittedMS: j.at}
			c.submit(&pendingChange{job: j, orphan: true}, ledger.WithdrawChange(j.id, j.stamp, c.nonce(), rec, 0))
		}
	}
	return true
}

// finish commits that a job is done, and drops what records it can in the
// same transaction.
func (c *Core) finish(j *job, most int) {
	for _, s := range j.slices {
		if s.inflight {
			return // its version is not known yet
		}
	}
	if j.finishing || j.over() || c.now < j.refreshAt {
		return
	}
	delete(c.finishable, j)
	j.finishing = true
	p := &pendingChange{job: j, finish: true, doneMS: c.wallMS()}
	// The rest of the records is dropped later, and less at once where a change
	// was refused.
	most >>= j.refusals
	var drops []ledger.SliceVersion
	for _, s := range j.slices {
		delete(c.dirty, s)
		s.dirty = false
		if s.stamp != 0 && len(drops) < most {
			s.inflight = true
			p.dropped = append(p.dropped, s)
			drops = append(drops, ledger.SliceVersion{N: s.n, Stamp: s.stamp})
		}
	}
	rec := ledger.Job{Nonce: c.nonce(), Tasks: len(j.tasks), DoneMS: p.doneMS}
	c.submit(p, ledger.DoneChange(j.id, j.stamp, rec, drops))
}

// cleanUp drops the admission records of a job that is over, once none of its
// tasks can be on a machine.
func (c *Core) cleanUp(j *job) {
	if c.now < j.refreshAt {
		return
	}
	delete(c.withdrawn, j)
	if !j.over() || len(j.active) > 0 || j.unwritten {
		return // comes again with what is missing
	}
	p := &pendingChange{job: j}
	var drops []ledger.SliceVersion
	for _, s := range j.slices {
		if s.inflight {
			return // comes again with the outcome
		}
		if s.stamp != 0 && len(drops) < max(1, c.opt.TxnOps>>j.refusals-1) {
			p.dropped = append(p.dropped, s)
			drops = append(drops, ledger.SliceVersion{N: s.n, Stamp: s.stamp})
		}
	}
	if len(drops) == 0 {
		delete(c.jobs, j.id)
		return
	}
	for _, s := range p.dropped {
		s.inflight = true
	}
	c.submit(p, ledger.DropChange(j.id, drops))
}

// Summary is one line about the state of things, for the log.
func (c *Core) Summary() string {
	var b strings.Builder
	var pend, act, up, boot, starving int
	for _, j := range c.jobs {
		if j.ready && !j.over() && c.starves(j) {
			starving++
		}
		pend += len(j.pending)
		act += len(j.active)
	}
	for _, m := range c.order {
		if c.usable(m) {
			up++
		} else if !m.reported {
			boot++
		}
	}
	fmt.Fprintf(&b, "jobs=%d waiting=%d starving=%d placed=%d machines=%d usable=%d booting=%d",
		len(c.jobs), pend, starving, act, len(c.order), up, boot)
	for i, name := range []string{stopNone: "lost", stopWithdrawn: "withdrawn", stopPreempted: "preempted", stopDrained: "drained"} {
		fmt.Fprintf(&b, " %s=%d/%.0f", name, c.lost[i].tasks, c.lost[i].cpuS)
	}
	for _, t := range c.opt.Teams {
		fmt.Fprintf(&b, " %s=%.0f", t.Name, c.book.Used(t.Name).CPUs)
	}
	for _, zone := range slices.Sorted(maps.Keys(c.from)) {
		if c.cutOff(zone) {
			fmt.Fprintf(&b, " cut-off=%s", zone)
		}
	}
	for _, why := range slices.Sorted(maps.Keys(c.returns)) {
		fmt.Fprintf(&b, " returned-%s=%d", why, c.returns[why])
	}
	// By type and kind: machines, those without a task, and the part of their
	// CPUs in use.
	type held struct {
		count, idle int
		used, total float64
	}
	kinds := map[placement.Site]*held{}
	for _, m := range c.order {
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
