package scheduler

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// shownTask is one entry of a worker's newest report.
type reportedTask struct {
	ref     ids.TaskRef
	attempt ids.Attempt
	state   string
	cause   string
}

type cachedImage struct {
	sizeGB float64
	usedAt ids.Instant
}

type machine struct {
	placement.Site
	host           ids.Host
	endpoint       string
	machineType    *wire.MachineType
	total          placement.Resources
	used           placement.Resources
	unrecorded     placement.Resources
	unrecordedJobs []*job // whose tasks the strays are, for the books
	knownSince     ids.Instant
	bootDeadline   ids.Instant

	reported   bool
	session    ids.Session
	sequence   ids.Sequence
	token      ids.Token // highest that the worker has shown
	lastHeard  ids.Instant
	answeredAt ids.Instant
	fenced     bool
	fencedAt   ids.Instant
	counter    uint64

	// ours: this leader rented it, so it cannot have been returned before.
	// proven: it answered a call of this leader.
	rentedThisTerm, answeredCall bool
	// deaf: it reports, but what it is told does not reach it.
	unreachable      bool
	unreachableSince ids.Instant
	reservedFor      *job // the job that its room is kept for

	queued          bool // in Core.hot
	callInFlight    bool
	callRetryAt     ids.Instant
	callFailed      bool      // nothing heard since a direct command failed
	directRunToken  ids.Token // highest under which a direct run was sent
	reportRequested bool
	requestReportAt ids.Instant

	tasks map[ids.TaskRef]*assignment
	// list holds the tasks by job and index; staying, services and pulls count
	// those that are not told to stop, pulls by image.
	taskList []*assignment
	staying  int
	replicas int
	fetches  map[ids.Image]int
	// pass, coming and victims belong to one search for room.
	planRound     uint64
	plannedFree   placement.Resources
	victimCache   []victim
	reportedTasks []reportedTask
	images        map[ids.Image]*cachedImage

	takenBy        ids.Instant // 0: no notice
	listedStatus   string
	missingLists   int // machine lists in a row without it, after it was listed
	returning      bool
	returnInFlight bool // a return call is on its way
	returned       bool // the cloud has said that it is gone
	idleSince      ids.Instant

	// errors counts failed tasks since the last that succeeded, by job.
	failuresByJob          map[ids.JobID]int
	quarantinedUntil       ids.Instant
	quarantinedForFailures bool // the quarantine is for its errors
	lastFailure            ids.Instant
	// pace is a running mean of how many times as long tasks took here as
	// others of their jobs did, as a power of 2.
	slowness   float64
	slowUntil  ids.Instant
	slowStreak int // jobs in a row that found the machine slow
}

func (m *machine) free() placement.Resources { return m.total.Minus(m.used).Minus(m.unrecorded) }

func (m *machine) findReported(ref ids.TaskRef, attempt ids.Attempt) *reportedTask {
	for i := range m.reportedTasks {
		if m.reportedTasks[i].ref == ref && m.reportedTasks[i].attempt == attempt {
			return &m.reportedTasks[i]
		}
	}
	return nil
}

func (m *machine) reportsTask(ref ids.TaskRef) bool {
	for i := range m.reportedTasks {
		if m.reportedTasks[i].ref == ref {
			return true
		}
	}
	return false
}

// sorted lists the tasks by job and index. The list may be kept while tasks
// come and go.
func (m *machine) tasksSnapshot() []*assignment { return slices.Clone(m.taskList) }

func compareTasks(a, b *assignment) int {
	if a.job.id != b.job.id {
		return strings.Compare(string(a.job.id), string(b.job.id))
	}
	return a.index - b.index
}

func (m *machine) addTask(a *assignment) {
	m.tasks[a.ref()] = a
	i, _ := slices.BinarySearchFunc(m.taskList, a, compareTasks)
	m.taskList = slices.Insert(m.taskList, i, a)
	if a.stopReason == stopNone {
		m.countActive(a, 1)
	}
}

func (m *machine) removeTask(a *assignment) {
	delete(m.tasks, a.ref())
	if i, ok := slices.BinarySearchFunc(m.taskList, a, compareTasks); ok {
		m.taskList = slices.Delete(m.taskList, i, i+1)
	}
	if a.stopReason == stopNone {
		m.countActive(a, -1)
	}
}

// count keeps the tallies of tasks that are not told to stop.
func (m *machine) countActive(a *assignment, n int) {
	m.staying += n
	if a.job.spec.Service {
		m.replicas += n
	}
	if m.fetches[a.job.spec.Image] += n; m.fetches[a.job.spec.Image] == 0 {
		delete(m.fetches, a.job.spec.Image)
	}
}

// machine finds or makes the entry of a host.
func (c *Core) ensureMachine(h ids.Host) *machine {
	m := c.machines[h]
	if m == nil {
		m = &machine{host: h, knownSince: c.now, idleSince: c.now, tasks: map[ids.TaskRef]*assignment{},
			images: map[ids.Image]*cachedImage{}, fetches: map[ids.Image]int{}, failuresByJob: map[ids.JobID]int{}}
		c.machines[h] = m
		i, _ := slices.BinarySearchFunc(c.machineList, h, func(o *machine, h ids.Host) int {
			return strings.Compare(string(o.host), string(h))
		})
		c.machineList = slices.Insert(c.machineList, i, m)
	}
	return m
}

// setSite fills in what a machine is. Tasks that records placed on it before
// its zone was known are counted to the zone now.
func (c *Core) setSite(m *machine, s placement.Site, endpoint string) {
	if endpoint != "" {
		m.endpoint = endpoint
		c.queueCommands(m)
	}
	if m.Site == s {
		return
	}
	for _, a := range m.tasks {
		if a.job.zones[m.Zone]--; a.job.zones[m.Zone] <= 0 {
			delete(a.job.zones, m.Zone)
		}
		a.job.zones[s.Zone]++
	}
	m.Site = s
	c.applyType(m)
	c.schedulingDue = true
}

func (c *Core) applyType(m *machine) {
	if t := c.types[m.Type]; t != nil {
		m.machineType = t
		m.total = placement.OfType(t)
		if m.bootDeadline == 0 {
			m.bootDeadline = m.knownSince.Add(ids.Seconds(t.BootS*c.opt.BootFactor) + c.opt.ListLag)
		}
	}
}

// tokenOf is the token that commands to a worker carry now.
func (c *Core) tokenOf(m *machine) ids.Token { return ids.NewToken(c.opt.Revision, m.counter) }

// Report takes a worker's report and returns the answer. Direct marks reports
// that came as answers to direct commands: they renew no lease. ok is false if
// this leader must not answer.
func (c *Core) Report(now ids.Instant, rep *wire.Report, direct bool) (answer wire.ReportAnswer, ok bool) {
	c.advance(now)
	if rep.Token.Revision() > c.opt.Revision {
		c.deposed = true
		return wire.ReportAnswer{}, false
	}
	if c.returnedHosts[rep.Host] {
		// A message that was held back; the machine was given back since.
		return wire.ReportAnswer{Token: ids.NewToken(c.opt.Revision, 0), Commands: []wire.Command{}}, true
	}
	m := c.ensureMachine(rep.Host)
	if m.reported && !rep.Newer(m.session, m.sequence) {
		// A copy of what was seen, or a message that a newer one overtook. It
		// is no sign of life and tells nothing. Its worker may still wait for
		// the answer: that renews the lease from when the message was sent,
		// which is before the newest came.
		if !direct {
			m.answeredAt = max(m.answeredAt, m.lastHeard)
		}
		return wire.ReportAnswer{Token: c.tokenOf(m), Commands: []wire.Command{}}, true
	}
	c.setSite(m, placement.Site{Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot}, rep.Endpoint)
	c.updateReachability(m, rep, direct)
	if now > m.lastHeard.Add(c.opt.Report) {
		c.schedulingDue = c.schedulingDue || !c.usable(m) // it may be from here on
	}
	m.lastHeard = now
	c.lastHeard = now
	z := c.zoneStates[rep.Zone]
	if z == nil {
		z = &zoneState{}
		c.zoneStates[rep.Zone] = z
	}
	z.lastHeard = now
	m.callFailed = false
	c.applyReport(m, rep)
	c.queueCommands(m)
	if direct {
		m.answeredCall = true
		return wire.ReportAnswer{}, true
	}
	m.answeredAt = now
	return c.answerReport(m), true
}

// hear judges whether a machine hears us. One whose reports come while nothing
// that it is told reaches it looks healthy, takes work for ever and does none:
// its lease runs out although every report was answered, and what it was told
// to start never shows.
func (c *Core) updateReachability(m *machine, rep *wire.Report, direct bool) {
	switch {
	case direct || m.unreachable && rep.Token >= c.tokenOf(m):
		// It carried out a call, or shows the token that it was given since.
		c.schedulingDue = c.schedulingDue || m.unreachable
		m.unreachable = false
	case m.unreachable || !m.reported:
	case rep.Session > m.session && c.now < m.answeredAt.Add(c.opt.Lease*2/3), c.startUnacknowledged(m, rep):
		m.unreachable, m.unreachableSince = true, c.now
		// A machine that does hear shows this soon.
		m.counter++
		c.schedulingDue = true
	}
}

// acknowledgeWithin is how long a machine has to show that something reached it.
func (c *Core) acknowledgeWithin() time.Duration { return 2*c.opt.Report + 2*time.Second }

// unheeded tells whether a report still lacks something that its machine was
// told long ago to start.
func (c *Core) startUnacknowledged(m *machine, rep *wire.Report) bool {
	for _, a := range m.taskList {
		if a.sent && !a.seen && a.stopReason == stopNone && c.now > max(a.sentAt, c.resumedAt).Add(c.acknowledgeWithin()) &&
			!slices.ContainsFunc(rep.Tasks, func(t wire.Task) bool { return t.Attempt == a.attempt && t.Name == a.ref().String() }) {
			return true
		}
	}
	return false
}

// apply takes in a report that is newer than all before it.
func (c *Core) applyReport(m *machine, rep *wire.Report) {
	if !m.reported {
		m.reported = true
		m.idleSince = c.now
		c.recordBoot(m)
		c.schedulingDue = true
	}
	m.session, m.sequence = rep.Session, rep.Sequence
	m.token = max(m.token, rep.Token)
	if !m.fenced && rep.Token >= ids.NewToken(c.opt.Revision, 0) {
		m.fenced, m.fencedAt = true, c.now
	}
	if rep.SpotNoticeS != nil {
		if m.takenBy == 0 {
			c.schedulingDue, c.healthCheckDue = true, true
			c.spotLosses++
		}
		m.takenBy = c.now.Add(ids.Seconds(*rep.SpotNoticeS))
	}
	m.reportedTasks = m.reportedTasks[:0]
	for _, t := range rep.Tasks {
		if ref, ok := ids.ParseTask(t.Name); ok {
			m.reportedTasks = append(m.reportedTasks, reportedTask{ref, t.Attempt, t.State, t.Cause})
		}
	}
	for _, a := range m.tasksSnapshot() {
		s := m.findReported(a.ref(), a.attempt)
		switch {
		case s == nil:
			c.handleMissingTask(a)
		case s.state == wire.TaskEnded:
			c.handleEndedTask(a, s.cause)
		default:
			c.handleActiveTask(a, s)
		}
	}
	c.countUnrecorded(m)
}

// absent handles a recorded task that the newest report does not show.
func (c *Core) handleMissingTask(a *assignment) {
	m := a.machine
	switch {
	case !a.mayRun():
		// Not sent yet.
	case a.sent && m.session > a.sentSession,
		// The worker's lease ran out since; it forgot all its tasks, and the
		// new session takes no command meant for the old one.
		m.token > a.sentToken:
		// Whatever carried run under a lower token can have no effect now.
		if a.sent && !a.inherited && a.stopReason == stopNone && m.session == a.sentSession && !a.seen {
			// Only the message was voided. The place still stands, and the
			// same attempt goes out again.
			a.sent = false
			return
		}
		c.release(a)
	case a.seen && a.stopReason == stopNone:
		// A worker keeps what it has until reap. Should one vanish all the
		// same, it is not started elsewhere before old commands are void.
		c.stopTask(a, stopDrained)
	}
}

func (c *Core) handleActiveTask(a *assignment, s *reportedTask) {
	a.seen = true
	if !a.sent {
		// Inherited: it surely runs here now, and newer tokens speak for it.
		a.sent, a.inherited = true, false
		a.sentSession = a.machine.session
	}
	if a.phase != s.state {
		a.phase = s.state
		a.phaseSince, a.pausedBefore = c.now, c.totalPause
		if s.state == wire.TaskRunning {
			c.recordImage(a)
		}
	}
}

// recordImage remembers that a machine holds a job's image, and forgets the
// images that the worker's cache has dropped for it.
func (c *Core) recordImage(a *assignment) {
	m := a.machine
	m.images[a.job.spec.Image] = &cachedImage{a.job.spec.ImageGB, c.now}
	if m.machineType == nil || m.machineType.CacheGB <= 0 {
		return
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(m.images)) {
		sum += m.images[name].sizeGB
	}
	for sum > m.machineType.CacheGB && len(m.images) > 1 {
		var oldest ids.Image
		for name, im := range m.images {
			if o := m.images[oldest]; o == nil || im.usedAt < o.usedAt || im.usedAt == o.usedAt && name < oldest {
				oldest = name
			}
		}
		sum -= m.images[oldest].sizeGB
		delete(m.images, oldest)
	}
}

func (c *Core) handleEndedTask(a *assignment, cause string) {
	m, j := a.machine, a.job
	if im := m.images[j.spec.Image]; im != nil {
		im.usedAt = c.now
	}
	switch cause {
	case wire.CauseDone:
		c.completeTask(a)
		clear(m.failuresByJob)
		return
	case wire.CauseError:
		c.recordFailure(a)
	case wire.CauseFull:
		// Our view of the machine was wrong; give it a moment.
		c.addAntiAffinity(j, m)
	case wire.CauseInUse:
		c.addAntiAffinity(j, m)
	case wire.CauseNoSuch:
		j.retryAt = c.now.Add(2 * time.Second)
	}
	c.release(a)
}

const (
	slownessLimit     = 0.58 // one and a half times as long
	slowPeriod        = time.Minute
	slowStreakLimit   = 4
	minTasksToCompare = 4 // a job of fewer tasks says too little
)

// compareRunTimes compares the machines that a job's tasks ran on, once all are done.
// Before that, those still running always look slow beside those that were
// quick. Tasks of a job differ too, so one job alone says little; several in a
// row set a machine behind all others, and more of them set it aside.
func (c *Core) compareRunTimes(a *assignment) {
	j := a.job
	if j.spec.Service || a.phase != wire.TaskRunning || len(j.tasks) < minTasksToCompare {
		return
	}
	if j.runTimes == nil {
		j.runTimes = map[ids.Host][]time.Duration{}
	}
	j.runTimes[a.machine.host] = append(j.runTimes[a.machine.host], max(c.runTime(a), 100*time.Millisecond))
	if j.done+1 < len(j.tasks) {
		return
	}
	var sum time.Duration
	n := 0
	for _, runs := range j.runTimes {
		for _, r := range runs {
			sum += r
			n++
		}
	}
	for h, runs := range j.runTimes {
		m := c.machines[h]
		if m == nil || n-len(runs) < minTasksToCompare/2 {
			continue
		}
		var here time.Duration
		for _, r := range runs {
			here += r
		}
		usual := float64(sum-here) / float64(n-len(runs))
		m.slowness = 0.6*m.slowness + 0.4*math.Log2(float64(here)/float64(len(runs))/usual)
		if m.slowness < slownessLimit {
			m.slowStreak = 0
			continue
		}
		m.slowUntil = c.now.Add(slowPeriod)
		if m.slowStreak++; m.slowStreak >= slowStreakLimit {
			m.quarantinedUntil, m.quarantinedForFailures = c.now.Add(quarantinePeriod), false
		}
	}
}

// ran is how long a task has been in its phase, without what the leader itself stood
// still: what began or ended meanwhile is heard of only after it.
func (c *Core) runTime(a *assignment) time.Duration {
	return c.now.Sub(a.phaseSince) - (c.totalPause - a.pausedBefore)
}

func (c *Core) addAntiAffinity(j *job, m *machine) {
	if j.antiAffinity == nil {
		j.antiAffinity = map[ids.Host]ids.Instant{}
	}
	j.antiAffinity[m.host] = c.now
	c.scheduleAt(c.now.Add(antiAffinityPeriod))
}

// avoids tells whether a job keeps off a machine where it failed a while ago. It
// must not for ever: there may be no other machine for it.
func (c *Core) hasAntiAffinity(j *job, m *machine) bool {
	at, failed := j.antiAffinity[m.host]
	return failed && c.now < at.Add(antiAffinityPeriod)
}

const (
	antiAffinityPeriod = 45 * time.Second
	quarantinePeriod   = 2 * time.Minute
	initialBackoff     = 2 * time.Second
	maxBackoff         = time.Minute
	// failedMachinesLimit is on how many machines a job fails, without one success, until
	// the fault is taken to be its own.
	failedMachinesLimit = 3
	// probingAfterRounds is after how many rounds of that it is tried task by task.
	probingAfterRounds = 2
)

// recordFailure weighs whether the machine or the job is at fault. Failures of
// several jobs on one machine condemn the machine; failures of one job on
// several machines make the job wait, but never give it up.
func (c *Core) recordFailure(a *assignment) {
	m, j := a.machine, a.job
	c.addAntiAffinity(j, m)
	if j.failureRounds == 0 {
		m.failuresByJob[j.id]++
		m.lastFailure = c.now
		total := 0
		for _, n := range m.failuresByJob {
			total += n
		}
		if len(m.failuresByJob) >= 2 || total >= 2 && len(j.antiAffinity) == 1 {
			m.quarantinedUntil, m.quarantinedForFailures = c.now.Add(quarantinePeriod), true
		}
		if j.succeeded > 0 || len(j.antiAffinity) < failedMachinesLimit {
			return
		}
		c.clearFailureHistory(j)
	}
	clear(j.antiAffinity)
	if c.now >= j.retryAt { // the rest of a round fails with its first
		j.failureRounds++
		j.backoff = min(max(2*j.backoff, initialBackoff), maxBackoff)
		j.retryAt = c.now.Add(j.backoff)
	}
}

// acquit takes back what a job that fails everywhere has laid to machines' charge. A
// few of them, submitted with a mistake, would condemn one healthy machine after
// another.
func (c *Core) clearFailureHistory(j *job) {
	for _, m := range c.machineList {
		if m.failuresByJob[j.id] == 0 {
			continue
		}
		delete(m.failuresByJob, j.id)
		if m.quarantinedForFailures && len(m.failuresByJob) < 2 {
			m.quarantinedUntil, m.quarantinedForFailures = 0, false
		}
	}
	c.schedulingDue = true
}

// probes tells whether a job has failed everywhere for so long that one task at a time
// is tried: it must not hold the room that others need until its user cancels it.
func (j *job) probing() bool { return j.failureRounds >= probingAfterRounds && !j.needsAllTasks() }

// countUnrecorded takes what a worker has beyond the records into account: its
// room on the machine and its team's quota.
func (c *Core) countUnrecorded(m *machine) {
	for _, j := range m.unrecordedJobs {
		c.quotas.Free(j.spec.Team, j.amount())
	}
	m.unrecordedJobs = m.unrecordedJobs[:0]
	m.unrecorded = placement.Resources{}
	for i := range m.reportedTasks {
		s := &m.reportedTasks[i]
		if s.state == wire.TaskEnded {
			continue
		}
		if a := m.tasks[s.ref]; a != nil && a.attempt == s.attempt {
			continue
		}
		if j := c.jobs[s.ref.Job]; j != nil {
			m.unrecorded = m.unrecorded.Plus(placement.Of(j.spec))
			m.unrecordedJobs = append(m.unrecordedJobs, j)
			c.quotas.Take(j.spec.Team, j.amount())
		}
	}
}

// reapable tells whether the end of an attempt is recorded, or is without
// consequence.
func (c *Core) canReap(m *machine, s *reportedTask) bool {
	if a := m.tasks[s.ref]; a != nil && a.attempt == s.attempt {
		return false
	}
	j := c.jobs[s.ref.Job]
	if j == nil || j.status != wire.StatusQueued {
		return true
	}
	if j.completing || c.completable[j] || s.ref.Index >= len(j.tasks) {
		return false
	}
	sl := j.tasks[s.ref.Index].slice
	return !sl.dirty && !sl.inFlight
}

// maxCommands keeps answers inside the protocol's limit for bodies.
const maxCommands = 300

// answer makes the answer to a report: what to end, what to forget, what to
// start.
func (c *Core) answerReport(m *machine) wire.ReportAnswer {
	orders := c.killCommands(m)
	if !m.callInFlight {
		var reaps []wire.Command
		for i := range m.reportedTasks {
			if s := &m.reportedTasks[i]; s.state == wire.TaskEnded && c.canReap(m, s) && len(reaps) < maxCommands/2 {
				reaps = append(reaps, wire.Command{Verb: wire.VerbReap, Name: s.ref.String(), Attempt: s.attempt})
			}
		}
		// After reap the worker would start the attempt again if a direct run
		// for it came late or twice. So reap goes out under a token above
		// every one that a direct run carried.
		if len(reaps) > 0 && m.directRunToken >= c.tokenOf(m) {
			m.counter++
		}
		orders = append(orders, reaps...)
	}
	runs := c.runCommands(m, true, maxCommands-len(orders))
	return wire.ReportAnswer{Token: c.tokenOf(m), Commands: append(orders, runs...)}
}

// kills lists what must end on a machine. It also raises the counter if the
// message that would start a stopped task may still be under way.
func (c *Core) killCommands(m *machine) []wire.Command {
	orders := []wire.Command{}
	for _, a := range m.taskList {
		if a.stopReason == stopNone || !a.mayRun() {
			continue
		}
		s := m.findReported(a.ref(), a.attempt)
		if s == nil && !a.inherited && a.sentToken >= c.tokenOf(m) && !m.callInFlight {
			m.counter++
		}
		if len(orders) >= maxCommands/2 {
			continue
		}
		grace := a.graceS
		if a.killSentAt != 0 && c.now > a.killSentAt.Add(ids.Seconds(a.graceS)) {
			grace = 0
		}
		if a.killSentAt == 0 {
			a.killSentAt = c.now
		}
		orders = append(orders, wire.Command{Verb: wire.VerbKill, Name: a.ref().String(), Attempt: a.attempt, GraceS: grace})
	}
	for i := range m.reportedTasks {
		s := &m.reportedTasks[i]
		if s.state == wire.TaskEnded || len(orders) >= maxCommands/2 {
			continue
		}
		if a := m.tasks[s.ref]; a == nil || a.attempt != s.attempt {
			orders = append(orders, wire.Command{Verb: wire.VerbKill, Name: s.ref.String(), Attempt: s.attempt})
		}
	}
	return orders
}

// runs lists what should start on a machine and has not been seen there.
// Again asks also for what was sent before.
func (c *Core) runCommands(m *machine, again bool, most int) []wire.Command {
	var orders []wire.Command
	if m.returning {
		return orders
	}
	token := c.tokenOf(m)
	for _, a := range m.taskList {
		if !a.recorded || a.stopReason != stopNone || a.inherited || a.seen || a.sent && !again || len(orders) >= most {
			continue
		}
		if m.findReported(a.ref(), a.attempt) != nil {
			continue
		}
		if !a.sent {
			a.sentAt = c.now
		}
		a.sent = true
		a.sentToken = max(a.sentToken, token)
		a.sentSession = m.session
		orders = append(orders, wire.Command{Verb: wire.VerbRun, Name: a.ref().String(), Attempt: a.attempt})
	}
	return orders
}

// heat notes that a command may have to go to a machine. Only such machines
// are looked at: looking at all of them after every event costs a node its
// processor once there are a thousand.
func (c *Core) queueCommands(m *machine) {
	if !m.queued {
		m.queued = true
		c.queuedMachines = append(c.queuedMachines, m)
	}
}

// direct lists the workers to which a command should go at once, those first
// that have waited longest. After a takeover or a cut hundreds wait, and events
// come in between: what each step looks at here must be little.
func (c *Core) dispatchCommands() {
	room := c.opt.MaxDirectCalls - c.callsInFlight
	if c.opt.MaxDirectCalls <= 0 {
		room = len(c.queuedMachines)
	}
	left := c.queuedMachines[:0]
	for _, m := range c.queuedMachines {
		if m.queued = c.dispatchTo(m, &room); m.queued {
			left = append(left, m)
		}
	}
	clear(c.queuedMachines[len(left):])
	c.queuedMachines = left
}

// wait sends what should go to a machine now, if there is room for a call, and
// tells whether the machine must be looked at again; otherwise what changes
// heats it again.
func (c *Core) dispatchTo(m *machine, room *int) bool {
	switch {
	case c.machines[m.host] != m || m.returning || m.endpoint == "":
		return false
	case !m.reported:
		if !c.needsReportRequest(m) {
			return false
		}
		if *room <= 0 {
			return true
		}
		m.reportRequested, m.requestReportAt = true, c.now.Add(2*time.Second)
		c.callsInFlight++
		*room--
		c.effects.Show = append(c.effects.Show, m.host)
		return false
	case m.callInFlight || m.callFailed:
		return false
	case c.now < m.callRetryAt:
		return true
	case !c.needsDirectCommand(m):
		return c.needsFencing(m)
	case *room <= 0:
		return true
	}
	*room--
	c.effects.Direct = append(c.effects.Direct, m.host)
	return false
}

// needsReportRequest tells whether a machine that a predecessor left should be asked for
// its report now. After a change of leaders its worker's session is not known,
// and it may take seconds until it finds its way here. A predecessor that lost
// the state service and us, but not its workers, keeps them from coming; one
// that was told of us makes it give up.
func (c *Core) needsReportRequest(m *machine) bool {
	return !m.reported && !m.reportRequested && c.now >= m.requestReportAt && !m.returning && m.endpoint != "" &&
		(len(m.tasks) > 0 || m.listedStatus == "running" && !m.rentedThisTerm)
}

// needsFencing tells whether a machine has yet to show a token of this leader. The
// answer to its report brings it one; who does not report here must be told.
func (c *Core) needsFencing(m *machine) bool { return !m.fenced && len(m.tasks) > 0 }

func (c *Core) needsDirectCommand(m *machine) bool {
	if c.needsFencing(m) && (m.answeredAt == 0 || c.now > m.answeredAt.Add(c.opt.Report)) {
		return true
	}
	for _, a := range m.taskList {
		if a.recorded && !a.sent && !a.inherited && a.stopReason == stopNone {
			return true
		}
		if a.stopReason != stopNone && a.mayRun() && a.killSentAt == 0 {
			return true
		}
	}
	return false
}

// TakeDirect hands out the command that should go to a worker now. It must be
// followed by DirectResult.
func (c *Core) TakeDirect(now ids.Instant, h ids.Host) (d wire.DirectCommand, endpoint string, ok bool) {
	c.now = now
	return c.takeDirect(h)
}

// takeDirect makes the command for a worker and counts the call as under way.
func (c *Core) takeDirect(h ids.Host) (d wire.DirectCommand, endpoint string, ok bool) {
	m := c.machines[h]
	if m == nil || m.callInFlight || !m.reported || m.returning {
		return wire.DirectCommand{}, "", false
	}
	orders := c.killCommands(m)
	token := c.tokenOf(m)
	if runs := c.runCommands(m, false, maxCommands-len(orders)); len(runs) > 0 {
		orders = append(orders, runs...)
		m.directRunToken = max(m.directRunToken, token)
	}
	m.callInFlight = true
	c.callsInFlight++
	return wire.DirectCommand{Token: token, Session: m.session, Commands: orders}, m.endpoint, true
}

// DirectResult takes the answer to a direct command, or its absence. Without
// one, the command may still be carried out; the tokens see to that.
func (c *Core) DirectResult(now ids.Instant, h ids.Host, rep *wire.Report) {
	c.now = now
	c.directResult(h, rep)
}

// directResult ends a call to a worker; rep is nil if it was not answered.
func (c *Core) directResult(h ids.Host, rep *wire.Report) {
	c.callsInFlight--
	m := c.machines[h]
	if m == nil {
		return
	}
	m.callInFlight = false
	c.queueCommands(m)
	if rep == nil {
		m.callRetryAt = c.now.Add(time.Second)
		m.callFailed = true
		return
	}
	if rep.Host == h {
		c.Report(c.now, rep, true)
	}
}

// Endpoint is a worker's address.
func (c *Core) Endpoint(h ids.Host) string {
	if m := c.machines[h]; m != nil {
		return m.endpoint
	}
	return ""
}

// ShowResult takes the answer to a request for a report, or nil.
func (c *Core) ShowResult(now ids.Instant, h ids.Host, rep *wire.Report) {
	c.now = now
	c.showResult(h, rep)
}

// showResult ends a request for a report; rep is nil if it was not answered.
func (c *Core) showResult(h ids.Host, rep *wire.Report) {
	c.callsInFlight--
	m := c.machines[h]
	if m == nil {
		return
	}
	m.reportRequested = false
	c.queueCommands(m)
	if rep != nil && rep.Host == h {
		c.Report(c.now, rep, true)
	}
}

// leaseExpired tells whether a worker has surely lost its lease: nobody can have
// answered it for that long. A predecessor without the state service may have
// gone on answering for its grace, until the worker was fenced or the
// predecessor followed this leader.
func (c *Core) leaseExpired(m *machine) bool {
	last := c.predecessorUntil
	if m.fenced {
		last = max(m.fencedAt, m.answeredAt)
	} else if m.answeredAt > last {
		last = m.answeredAt
	}
	return c.now > last.Add(ids.Drift(c.opt.Lease)+time.Second)
}

// trusted tells whether a machine's messages are surely no late copies: what
// this leader did not rent may have been returned by a predecessor, and then
// only an answer, or a token of ours, shows that it is there.
func (c *Core) trusted(m *machine) bool {
	return m.rentedThisTerm || m.answeredCall || m.fenced || !c.opt.Predecessor
}

// usable tells whether new tasks may go to a machine.
func (c *Core) usable(m *machine) bool {
	return m.reported && m.machineType != nil && !m.returning && m.takenBy == 0 && !m.callFailed && !m.unreachable && c.trusted(m) &&
		c.now < m.lastHeard.Add(c.opt.Report*3/2+1500*time.Millisecond)
}

// takesTasks tells whether a usable machine is not set aside either.
func (c *Core) takesTasks(m *machine) bool { return c.usable(m) && c.now >= m.quarantinedUntil }

// zoneState is what is known of a zone as a whole.
type zoneState struct {
	lastHeard  ids.Instant // when any machine there was last heard
	machinesUp int         // machines that reported while it was heard
}

const (
	// minZoneMachines is how many machines must be silent together to tell a zone
	// that is cut off from machines that are.
	minZoneMachines = 4
	// zoneSilence is the least time without a word from a zone after which it
	// counts as cut off. The fewer machines it has, the longer it takes.
	zoneSilence = 2500 * time.Millisecond
	// zoneOutageLimit is how long a zone counts as cut off without a word from it.
	// So long its machines are kept: they come back without a boot, and with
	// their images. After that it is tried again.
	zoneOutageLimit = 3 * time.Minute
)

// silentLeases is for how many leases a machine that holds nothing any more may
// be silent before it is returned. One that hung or lost the network often
// comes back soon after its lease, sooner than another boots, and has its
// images; one that died costs nothing more, and the list tells of it.
const silentLeases = 2

// updateZones notes how many machines each zone has that is heard.
func (c *Core) updateZones() {
	up := map[ids.Zone]int{}
	for _, m := range c.machineList {
		if m.reported && !m.returning {
			up[m.Zone]++
		}
	}
	for zone, z := range c.zoneStates {
		if !c.zoneSilent(z) {
			z.machinesUp = up[zone]
		}
	}
}

// quiet tells whether a zone has not been heard for longer than its machines
// would leave between them by chance. With hundreds of them that is seconds.
func (c *Core) zoneSilent(z *zoneState) bool {
	by := c.opt.Lease / 2
	if z.machinesUp > 0 && c.now < c.lastHeard.Add(zoneSilence/2) { // others are heard
		by = min(by, zoneSilence+10*c.opt.Report/time.Duration(z.machinesUp))
	}
	return c.now > max(z.lastHeard, c.resumedAt).Add(by)
}

// cutOff tells whether a whole zone fell silent at once, while others are
// heard. What is rented there cannot report: it costs, takes the place of
// machines elsewhere, and counts as coming.
func (c *Core) zonePartitioned(zone ids.Zone) bool {
	z := c.zoneStates[zone]
	return z != nil && z.machinesUp >= minZoneMachines && c.zoneSilent(z) && c.now < z.lastHeard.Add(zoneOutageLimit)
}

// checkMachines handles what time alone brings about.
func (c *Core) checkMachines() {
	c.drainNoticed()
	c.updateZones()
	// When most machines fall silent at once, it is more likely this node's
	// network than the machines: they are not given back for that.
	heard, silent := 0, 0
	for _, m := range c.machineList {
		if m.reported {
			heard++
			if c.silentFor(m, c.opt.Lease/2) {
				silent++
			}
		}
	}
	mass := silent >= 3 && 2*silent > heard
	// A predecessor's machines are up already, and have yet to find their way
	// here: that is no boot which takes too long.
	heardBy := ids.Instant(0)
	if c.opt.Predecessor {
		heardBy = c.termBegan.Add(c.opt.Lease)
	}
	var gone []*machine // forgetting one takes it out of the order
	for _, m := range c.machineList {
		if m.quarantinedUntil != 0 && c.now >= m.quarantinedUntil {
			m.quarantinedUntil, c.schedulingDue = 0, true
		}
		if m.returnInFlight {
			continue
		}
		if c.needsReportRequest(m) {
			c.queueCommands(m)
		}
		keep := mass || c.zonePartitioned(m.Zone)
		if m.returning {
			if m.returned {
				gone = append(gone, m)
			} else {
				c.returnMachine(m, "")
			}
			continue
		}
		switch {
		case m.listedStatus == "failed":
			c.returnMachine(m, "failed")
		case m.missingLists >= 2 && c.silentFor(m, 2*c.opt.Report):
			// It was listed and is not any more: it was taken. Returning what
			// is gone does nothing, and the answer proves that it is gone.
			if m.Spot && m.takenBy == 0 {
				c.spotLosses++
			}
			c.returnMachine(m, "missing")
		case !m.reported && m.bootDeadline != 0 && c.now > max(m.bootDeadline, heardBy, c.resumedAt.Add(2*c.opt.Report)) && len(m.tasks) == 0:
			c.returnMachine(m, "boot")
		case len(m.tasks) > 0 && c.leaseExpired(m) && c.silentFor(m, ids.Drift(c.opt.Lease)):
			for _, a := range m.tasksSnapshot() {
				if !a.recordInFlight {
					c.release(a)
				}
			}
			c.queueCommands(m)
		case m.reported && len(m.tasks) == 0 && !keep && c.silentFor(m, silentLeases*c.opt.Lease):
			c.returnMachine(m, "silent")
		case c.cancelOverdue(m):
			c.returnMachine(m, "withdrawn")
		case m.unreachable && c.now > m.unreachableSince.Add(c.acknowledgeWithin()):
			// Nobody else can tell it anything either. Given back, its tasks
			// are surely gone and may go elsewhere.
			c.returnMachine(m, "deaf")
		}
	}
	for _, m := range gone {
		c.removeMachine(m)
	}
}

// drainNoticed stops what will not complete before a machine is taken.
func (c *Core) drainNoticed() {
	for _, m := range c.machineList {
		if m.takenBy == 0 {
			continue
		}
		for _, a := range m.tasksSnapshot() {
			if a.stopReason == stopNone && !c.completesBy(a, m.takenBy) {
				c.stopTask(a, stopDrained)
			}
		}
	}
}

// completesBy guesses whether a task will be done by a time.
func (c *Core) completesBy(a *assignment, by ids.Instant) bool {
	if a.job.spec.Service || a.phase != wire.TaskRunning {
		return false
	}
	return a.phaseSince.Add(c.expectedRun(a.job.spec)) < by
}

func (c *Core) silentFor(m *machine, d time.Duration) bool {
	return c.now > max(m.lastHeard, m.knownSince).Add(d)
}

// overdue tells whether a machine holds a task of a withdrawn job that must be
// gone soon, whether it is silent or only does not do as it is told. Giving
// the machine back is the one sure way.
func (c *Core) cancelOverdue(m *machine) bool {
	if m.staying == len(m.taskList) {
		return false
	}
	for _, a := range m.taskList {
		if a.stopReason == stopCancelled && c.now > a.job.cancelledAt.Add(c.opt.Cancel*45/100) {
			return true
		}
	}
	return false
}

// returnMachine returns a machine; why is for the log, and empty when it was begun
// before.
func (c *Core) returnMachine(m *machine, why string) {
	if why != "" {
		c.returnCounts[why]++
	}
	// What is still being recorded was never sent, so nothing has to wait for the
	// state service here: a withdrawn job's task beside it must be gone in time.
	m.returning, m.returnInFlight = true, true
	c.effects.Return = append(c.effects.Return, m.host)
	c.schedulingDue = true
}

// ReturnResult takes the outcome of giving machines back. Once it succeeded,
// the machines and all on them are gone.
func (c *Core) ReturnResult(now ids.Instant, hosts []ids.Host, ok bool) {
	c.now = now
	c.returnResult(hosts, ok)
}

// returnResult takes the outcome of a return call.
func (c *Core) returnResult(hosts []ids.Host, ok bool) {
	for _, h := range hosts {
		m := c.machines[h]
		if m == nil {
			continue
		}
		m.returnInFlight = false
		if ok {
			m.returned = true
			c.removeMachine(m)
		}
	}
}

func (c *Core) removeMachine(m *machine) {
	for _, a := range m.tasksSnapshot() {
		if !a.recordInFlight {
			c.release(a)
		}
	}
	if len(m.tasks) > 0 {
		return // a record is being written; it is forgotten after that
	}
	for _, j := range m.unrecordedJobs {
		c.quotas.Free(j.spec.Team, j.amount())
	}
	c.returnedHosts[m.host] = true
	delete(c.machines, m.host)
	i := slices.Index(c.machineList, m)
	c.machineList = slices.Delete(c.machineList, i, i+1)
	if m.endpoint != "" {
		c.effects.Forget = append(c.effects.Forget, m.endpoint)
	}
	c.schedulingDue = true
}

// MachineList takes the cloud's list. It lags and may be older than one
// before, so absence proves nothing by itself. asked is when it was asked for.
func (c *Core) MachineList(now, asked ids.Instant, list []wire.Machine) {
	c.now = now
	c.observeList(asked, list)
}

// observeList takes the cloud's list into account.
func (c *Core) observeList(asked ids.Instant, list []wire.Machine) {
	listed := map[ids.Host]bool{}
	for _, w := range list {
		listed[w.Host] = true
		if c.returnedHosts[w.Host] {
			continue
		}
		m := c.machines[w.Host]
		if m == nil {
			m = c.ensureMachine(w.Host)
			m.knownSince = asked.Add(-ids.Seconds(w.AgeS))
		}
		c.setSite(m, placement.Site{Type: w.Type, Zone: w.Zone, Spot: w.Spot}, w.Endpoint)
		if m.listedStatus != w.Status && !m.reported && c.opt.Predecessor {
			c.queueCommands(m)
		}
		m.listedStatus, m.missingLists = w.Status, 0
	}
	for _, m := range c.machineList {
		// A machine that a predecessor placed tasks on is long past the lag.
		// Unless this is said, one that died with the predecessor keeps its
		// tasks for the whole grace and a lease.
		old := m.knownSince <= c.termBegan && asked > c.termBegan.Add(2*c.opt.ListLag+time.Second)
		if (m.listedStatus != "" || old) && !listed[m.host] {
			m.missingLists++
		}
	}
}
