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
type shownTask struct {
	ref     ids.TaskRef
	attempt ids.Attempt
	state   string
	cause   string
}

type image struct {
	gb   float64
	used ids.Instant
}

type machine struct {
	placement.Site
	host     ids.Host
	endpoint string
	typ      *wire.MachineType
	total    placement.Resources
	used     placement.Resources
	strays   placement.Resources
	strayed  []*job // whose tasks the strays are, for the books
	known    ids.Instant
	bootBy   ids.Instant

	reported   bool
	tenure     ids.Tenure
	tick       ids.Tick
	token      ids.Token // highest that the worker has shown
	lastHeard  ids.Instant
	answeredAt ids.Instant
	fenced     bool
	fencedAt   ids.Instant
	counter    uint64

	// ours: this leader rented it, so it cannot have been returned before.
	// proven: it answered a call of this leader.
	ours, proven bool
	// deaf: it reports, but what it is told does not reach it.
	deaf      bool
	deafSince ids.Instant
	keptFor   *job // the job that its room is kept for

	hot        bool // in Core.hot
	doInflight bool
	doRetryAt  ids.Instant
	doFailed   bool      // nothing heard since a direct command failed
	doToken    ids.Token // highest under which a direct run was sent
	showing    bool
	showAt     ids.Instant

	tasks map[ids.TaskRef]*assignment
	// list holds the tasks by job and index; staying, services and pulls count
	// those that are not told to stop, pulls by image.
	list     []*assignment
	staying  int
	services int
	pulls    map[ids.Image]int
	// pass, coming and victims belong to one search for room.
	pass    uint64
	coming  placement.Resources
	victims []victim
	shown   []shownTask
	images  map[ids.Image]*image

	noticeBy  ids.Instant // 0: no notice
	listed    string
	missing   int // machine lists in a row without it, after it was listed
	returning bool
	asking    bool // a return call is on its way
	returned  bool // the cloud has said that it is gone
	idleSince ids.Instant

	// errors counts failed tasks since the last that succeeded, by job.
	errors     map[ids.JobID]int
	quarantine ids.Instant
	condemned  bool // the quarantine is for its errors
	lastError  ids.Instant
	// pace is a running mean of how many times as long tasks took here as
	// others of their jobs did, as a power of 2.
	pace      float64
	slowUntil ids.Instant
	slowFor   int // jobs in a row that found the machine slow
}

func (m *machine) free() placement.Resources { return m.total.Minus(m.used).Minus(m.strays) }

func (m *machine) shows(ref ids.TaskRef, attempt ids.Attempt) *shownTask {
	for i := range m.shown {
		if m.shown[i].ref == ref && m.shown[i].attempt == attempt {
			return &m.shown[i]
		}
	}
	return nil
}

func (m *machine) showsAny(ref ids.TaskRef) bool {
	for i := range m.shown {
		if m.shown[i].ref == ref {
			return true
		}
	}
	return false
}

// sorted lists the tasks by job and index. The list may be kept while tasks
// come and go.
func (m *machine) sorted() []*assignment { return slices.Clone(m.list) }

func compareTasks(a, b *assignment) int {
	if a.job.id != b.job.id {
		return strings.Compare(string(a.job.id), string(b.job.id))
	}
	return a.index - b.index
}

func (m *machine) put(a *assignment) {
	m.tasks[a.ref()] = a
	i, _ := slices.BinarySearchFunc(m.list, a, compareTasks)
	m.list = slices.Insert(m.list, i, a)
	if a.stop == stopNone {
		m.count(a, 1)
	}
}

func (m *machine) remove(a *assignment) {
	delete(m.tasks, a.ref())
	if i, ok := slices.BinarySearchFunc(m.list, a, compareTasks); ok {
		m.list = slices.Delete(m.list, i, i+1)
	}
	if a.stop == stopNone {
		m.count(a, -1)
	}
}

// count keeps the tallies of tasks that are not told to stop.
func (m *machine) count(a *assignment, n int) {
	m.staying += n
	if a.job.spec.Service {
		m.services += n
	}
	if m.pulls[a.job.spec.Image] += n; m.pulls[a.job.spec.Image] == 0 {
		delete(m.pulls, a.job.spec.Image)
	}
}

// machine finds or makes the entry of a host.
func (c *Core) machine(h ids.Host) *machine {
	m := c.machines[h]
	if m == nil {
		m = &machine{host: h, known: c.now, idleSince: c.now, tasks: map[ids.TaskRef]*assignment{},
			images: map[ids.Image]*image{}, pulls: map[ids.Image]int{}, errors: map[ids.JobID]int{}}
		c.machines[h] = m
		i, _ := slices.BinarySearchFunc(c.order, h, func(o *machine, h ids.Host) int {
			return strings.Compare(string(o.host), string(h))
		})
		c.order = slices.Insert(c.order, i, m)
	}
	return m
}

// setSite fills in what a machine is. Tasks that records placed on it before
// its zone was known are counted to the zone now.
func (c *Core) setSite(m *machine, s placement.Site, endpoint string) {
	if endpoint != "" {
		m.endpoint = endpoint
		c.heat(m)
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
	c.fillType(m)
	c.changed = true
}

func (c *Core) fillType(m *machine) {
	if t := c.types[m.Type]; t != nil {
		m.typ = t
		m.total = placement.OfType(t)
		if m.bootBy == 0 {
			m.bootBy = m.known.Add(ids.Seconds(t.BootS*c.opt.BootFactor) + c.opt.ListLag)
		}
	}
}

// tokenOf is the token that commands to a worker carry now.
func (c *Core) tokenOf(m *machine) ids.Token { return ids.NewToken(c.opt.Stamp, m.counter) }

// Report takes a worker's report and returns the answer. Direct marks reports
// that came as answers to direct commands: they renew no lease. ok is false if
// this leader must not answer.
func (c *Core) Report(now ids.Instant, rep *wire.Report, direct bool) (answer wire.Orders, ok bool) {
	c.awake(now)
	if rep.Token.Stamp() > c.opt.Stamp {
		c.deposed = true
		return wire.Orders{}, false
	}
	if c.gone[rep.Host] {
		// A message that was held back; the machine was given back since.
		return wire.Orders{Token: ids.NewToken(c.opt.Stamp, 0), Orders: []wire.Order{}}, true
	}
	m := c.machine(rep.Host)
	if m.reported && !rep.Newer(m.tenure, m.tick) {
		// A copy of what was seen, or a message that a newer one overtook. It
		// is no sign of life and tells nothing. Its worker may still wait for
		// the answer: that renews the lease from when the message was sent,
		// which is before the newest came.
		if !direct {
			m.answeredAt = max(m.answeredAt, m.lastHeard)
		}
		return wire.Orders{Token: c.tokenOf(m), Orders: []wire.Order{}}, true
	}
	c.setSite(m, placement.Site{Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot}, rep.Endpoint)
	c.hear(m, rep, direct)
	if now > m.lastHeard.Add(c.opt.Report) {
		c.changed = c.changed || !c.usable(m) // it may be from here on
	}
	m.lastHeard = now
	c.lastHeard = now
	z := c.from[rep.Zone]
	if z == nil {
		z = &zoneState{}
		c.from[rep.Zone] = z
	}
	z.heard = now
	m.doFailed = false
	c.apply(m, rep)
	c.heat(m)
	if direct {
		m.proven = true
		return wire.Orders{}, true
	}
	m.answeredAt = now
	return c.answer(m), true
}

// hear judges whether a machine hears us. One whose reports come while nothing
// that it is told reaches it looks healthy, takes work for ever and does none:
// its lease runs out although every report was answered, and what it was told
// to start never shows.
func (c *Core) hear(m *machine, rep *wire.Report, direct bool) {
	switch {
	case direct || m.deaf && rep.Token >= c.tokenOf(m):
		// It carried out a call, or shows the token that it was given since.
		c.changed = c.changed || m.deaf
		m.deaf = false
	case m.deaf || !m.reported:
	case rep.Tenure > m.tenure && c.now < m.answeredAt.Add(c.opt.Lease*2/3), c.unheeded(m, rep):
		m.deaf, m.deafSince = true, c.now
		// A machine that does hear shows this soon.
		m.counter++
		c.changed = true
	}
}

// hearWithin is how long a machine has to show that something reached it.
func (c *Core) hearWithin() time.Duration { return 2*c.opt.Report + 2*time.Second }

// unheeded tells whether a report still lacks something that its machine was
// told long ago to start.
func (c *Core) unheeded(m *machine, rep *wire.Report) bool {
	for _, a := range m.list {
		if a.sent && !a.seen && a.stop == stopNone && c.now > max(a.sentAt, c.resumed).Add(c.hearWithin()) &&
			!slices.ContainsFunc(rep.Tasks, func(t wire.Task) bool { return t.Attempt == a.attempt && t.Name == a.ref().String() }) {
			return true
		}
	}
	return false
}

// apply takes in a report that is newer than all before it.
func (c *Core) apply(m *machine, rep *wire.Report) {
	if !m.reported {
		m.reported = true
		m.idleSince = c.now
		c.noteBoot(m)
		c.changed = true
	}
	m.tenure, m.tick = rep.Tenure, rep.Tick
	m.token = max(m.token, rep.Token)
	if !m.fenced && rep.Token >= ids.NewToken(c.opt.Stamp, 0) {
		m.fenced, m.fencedAt = true, c.now
	}
	if rep.NoticeS != nil {
		if m.noticeBy == 0 {
			c.changed, c.watchSoon = true, true
			c.spotLosses++
		}
		m.noticeBy = c.now.Add(ids.Seconds(*rep.NoticeS))
	}
	m.shown = m.shown[:0]
	for _, t := range rep.Tasks {
		if ref, ok := ids.ParseTask(t.Name); ok {
			m.shown = append(m.shown, shownTask{ref, t.Attempt, t.State, t.Cause})
		}
	}
	for _, a := range m.sorted() {
		s := m.shows(a.ref(), a.attempt)
		switch {
		case s == nil:
			c.absent(a)
		case s.state == wire.TaskEnded:
			c.endedTask(a, s.cause)
		default:
			c.alive(a, s)
		}
	}
	c.countStrays(m)
}

// absent handles a recorded task that the newest report does not show.
func (c *Core) absent(a *assignment) {
	m := a.m
	switch {
	case !a.mayRun():
		// Not sent yet.
	case a.sent && m.tenure > a.sentTenure,
		// The worker's lease ran out since; it forgot all its tasks, and the
		// new session takes no command meant for the old one.
		m.token > a.sentToken:
		// Whatever carried run under a lower token can have no effect now.
		if a.sent && !a.inherited && a.stop == stopNone && m.tenure == a.sentTenure && !a.seen {
			// Only the message was voided. The place still stands, and the
			// same attempt goes out again.
			a.sent = false
			return
		}
		c.release(a)
	case a.seen && a.stop == stopNone:
		// A worker keeps what it has until reap. Should one vanish all the
		// same, it is not started elsewhere before old commands are void.
		c.stop(a, stopDrained)
	}
}

func (c *Core) alive(a *assignment, s *shownTask) {
	a.seen = true
	if !a.sent {
		// Inherited: it surely runs here now, and newer tokens speak for it.
		a.sent, a.inherited = true, false
		a.sentTenure = a.m.tenure
	}
	if a.phase != s.state {
		a.phase = s.state
		a.since, a.stood = c.now, c.stood
		if s.state == wire.TaskRunning {
			c.noteImage(a)
		}
	}
}

// noteImage remembers that a machine holds a job's image, and forgets the
// images that the worker's cache has dropped for it.
func (c *Core) noteImage(a *assignment) {
	m := a.m
	m.images[a.job.spec.Image] = &image{a.job.spec.ImageGB, c.now}
	if m.typ == nil || m.typ.CacheGB <= 0 {
		return
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(m.images)) {
		sum += m.images[name].gb
	}
	for sum > m.typ.CacheGB && len(m.images) > 1 {
		var oldest ids.Image
		for name, im := range m.images {
			if o := m.images[oldest]; o == nil || im.used < o.used || im.used == o.used && name < oldest {
				oldest = name
			}
		}
		sum -= m.images[oldest].gb
		delete(m.images, oldest)
	}
}

func (c *Core) endedTask(a *assignment, cause string) {
	m, j := a.m, a.job
	if im := m.images[j.spec.Image]; im != nil {
		im.used = c.now
	}
	switch cause {
	case wire.CauseDone:
		c.complete(a)
		clear(m.errors)
		return
	case wire.CauseError:
		c.taskFailed(a)
	case wire.CauseFull:
		// Our view of the machine was wrong; give it a moment.
		c.avoid(j, m)
	case wire.CauseInUse:
		c.avoid(j, m)
	case wire.CauseNoSuch:
		j.retryAt = c.now.Add(2 * time.Second)
	}
	c.release(a)
}

const (
	slowPace  = 0.58 // one and a half times as long
	slowFor   = time.Minute
	slowJobs  = 4
	paceTasks = 4 // a job of fewer tasks says too little
)

// notePace compares the machines that a job's tasks ran on, once all are done.
// Before that, those still running always look slow beside those that were
// quick. Tasks of a job differ too, so one job alone says little; several in a
// row set a machine behind all others, and more of them set it aside.
func (c *Core) notePace(a *assignment) {
	j := a.job
	if j.spec.Service || a.phase != wire.TaskRunning || len(j.tasks) < paceTasks {
		return
	}
	if j.ran == nil {
		j.ran = map[ids.Host][]time.Duration{}
	}
	j.ran[a.m.host] = append(j.ran[a.m.host], max(c.ran(a), 100*time.Millisecond))
	if j.done+1 < len(j.tasks) {
		return
	}
	var sum time.Duration
	n := 0
	for _, runs := range j.ran {
		for _, r := range runs {
			sum += r
			n++
		}
	}
	for h, runs := range j.ran {
		m := c.machines[h]
		if m == nil || n-len(runs) < paceTasks/2 {
			continue
		}
		var here time.Duration
		for _, r := range runs {
			here += r
		}
		usual := float64(sum-here) / float64(n-len(runs))
		m.pace = 0.6*m.pace + 0.4*math.Log2(float64(here)/float64(len(runs))/usual)
		if m.pace < slowPace {
			m.slowFor = 0
			continue
		}
		m.slowUntil = c.now.Add(slowFor)
		if m.slowFor++; m.slowFor >= slowJobs {
			m.quarantine, m.condemned = c.now.Add(quarantineFor), false
		}
	}
}

// ran is how long a task has been in its phase, without what the leader itself stood
// still: what began or ended meanwhile is heard of only after it.
func (c *Core) ran(a *assignment) time.Duration { return c.now.Sub(a.since) - (c.stood - a.stood) }

func (c *Core) avoid(j *job, m *machine) {
	if j.failedOn == nil {
		j.failedOn = map[ids.Host]ids.Instant{}
	}
	j.failedOn[m.host] = c.now
	c.passBy(c.now.Add(avoidFor))
}

// avoids tells whether a job keeps off a machine where it failed a while ago. It
// must not for ever: there may be no other machine for it.
func (c *Core) avoids(j *job, m *machine) bool {
	at, failed := j.failedOn[m.host]
	return failed && c.now < at.Add(avoidFor)
}

const (
	avoidFor      = 45 * time.Second
	quarantineFor = 2 * time.Minute
	backoffFirst  = 2 * time.Second
	backoffMost   = time.Minute
	// failedPlaces is on how many machines a job fails, without one success, until
	// the fault is taken to be its own.
	failedPlaces = 3
	// probeRounds is after how many rounds of that it is tried task by task.
	probeRounds = 2
)

// taskFailed weighs whether the machine or the job is at fault. Failures of
// several jobs on one machine condemn the machine; failures of one job on
// several machines make the job wait, but never give it up.
func (c *Core) taskFailed(a *assignment) {
	m, j := a.m, a.job
	c.avoid(j, m)
	if j.rounds == 0 {
		m.errors[j.id]++
		m.lastError = c.now
		total := 0
		for _, n := range m.errors {
			total += n
		}
		if len(m.errors) >= 2 || total >= 2 && len(j.failedOn) == 1 {
			m.quarantine, m.condemned = c.now.Add(quarantineFor), true
		}
		if j.succeeded > 0 || len(j.failedOn) < failedPlaces {
			return
		}
		c.acquit(j)
	}
	clear(j.failedOn)
	if c.now >= j.retryAt { // the rest of a round fails with its first
		j.rounds++
		j.backoff = min(max(2*j.backoff, backoffFirst), backoffMost)
		j.retryAt = c.now.Add(j.backoff)
	}
}

// acquit takes back what a job that fails everywhere has laid to machines' charge. A
// few of them, submitted with a mistake, would condemn one healthy machine after
// another.
func (c *Core) acquit(j *job) {
	for _, m := range c.order {
		if m.errors[j.id] == 0 {
			continue
		}
		delete(m.errors, j.id)
		if m.condemned && len(m.errors) < 2 {
			m.quarantine, m.condemned = 0, false
		}
	}
	c.changed = true
}

// probes tells whether a job has failed everywhere for so long that one task at a time
// is tried: it must not hold the room that others need until its user cancels it.
func (j *job) probes() bool { return j.rounds >= probeRounds && !j.whole() }

// countStrays takes what a worker has beyond the records into account: its
// room on the machine and its team's quota.
func (c *Core) countStrays(m *machine) {
	for _, j := range m.strayed {
		c.book.Free(j.spec.Team, j.amount())
	}
	m.strayed = m.strayed[:0]
	m.strays = placement.Resources{}
	for i := range m.shown {
		s := &m.shown[i]
		if s.state == wire.TaskEnded {
			continue
		}
		if a := m.tasks[s.ref]; a != nil && a.attempt == s.attempt {
			continue
		}
		if j := c.jobs[s.ref.Job]; j != nil {
			m.strays = m.strays.Plus(placement.Of(j.spec))
			m.strayed = append(m.strayed, j)
			c.book.Take(j.spec.Team, j.amount())
		}
	}
}

// reapable tells whether the end of an attempt is recorded, or is without
// consequence.
func (c *Core) reapable(m *machine, s *shownTask) bool {
	if a := m.tasks[s.ref]; a != nil && a.attempt == s.attempt {
		return false
	}
	j := c.jobs[s.ref.Job]
	if j == nil || j.status != wire.StatusQueued {
		return true
	}
	if j.finishing || c.finishable[j] || s.ref.Index >= len(j.tasks) {
		return false
	}
	sl := j.tasks[s.ref.Index].in
	return !sl.dirty && !sl.inflight
}

// maxOrders keeps answers inside the protocol's limit for bodies.
const maxOrders = 300

// answer makes the answer to a report: what to end, what to forget, what to
// start.
func (c *Core) answer(m *machine) wire.Orders {
	orders := c.kills(m)
	if !m.doInflight {
		var reaps []wire.Order
		for i := range m.shown {
			if s := &m.shown[i]; s.state == wire.TaskEnded && c.reapable(m, s) && len(reaps) < maxOrders/2 {
				reaps = append(reaps, wire.Order{Verb: wire.VerbReap, Name: s.ref.String(), Attempt: s.attempt})
			}
		}
		// After reap the worker would start the attempt again if a direct run
		// for it came late or twice. So reap goes out under a token above
		// every one that a direct run carried.
		if len(reaps) > 0 && m.doToken >= c.tokenOf(m) {
			m.counter++
		}
		orders = append(orders, reaps...)
	}
	runs := c.runs(m, true, maxOrders-len(orders))
	return wire.Orders{Token: c.tokenOf(m), Orders: append(orders, runs...)}
}

// kills lists what must end on a machine. It also raises the counter if the
// message that would start a stopped task may still be under way.
func (c *Core) kills(m *machine) []wire.Order {
	orders := []wire.Order{}
	for _, a := range m.list {
		if a.stop == stopNone || !a.mayRun() {
			continue
		}
		s := m.shows(a.ref(), a.attempt)
		if s == nil && !a.inherited && a.sentToken >= c.tokenOf(m) && !m.doInflight {
			m.counter++
		}
		if len(orders) >= maxOrders/2 {
			continue
		}
		grace := a.graceS
		if a.killAt != 0 && c.now > a.killAt.Add(ids.Seconds(a.graceS)) {
			grace = 0
		}
		if a.killAt == 0 {
			a.killAt = c.now
		}
		orders = append(orders, wire.Order{Verb: wire.VerbKill, Name: a.ref().String(), Attempt: a.attempt, GraceS: grace})
	}
	for i := range m.shown {
		s := &m.shown[i]
		if s.state == wire.TaskEnded || len(orders) >= maxOrders/2 {
			continue
		}
		if a := m.tasks[s.ref]; a == nil || a.attempt != s.attempt {
			orders = append(orders, wire.Order{Verb: wire.VerbKill, Name: s.ref.String(), Attempt: s.attempt})
		}
	}
	return orders
}

// runs lists what should start on a machine and has not been seen there.
// Again asks also for what was sent before.
func (c *Core) runs(m *machine, again bool, most int) []wire.Order {
	var orders []wire.Order
	if m.returning {
		return orders
	}
	token := c.tokenOf(m)
	for _, a := range m.list {
		if !a.recorded || a.stop != stopNone || a.inherited || a.seen || a.sent && !again || len(orders) >= most {
			continue
		}
		if m.shows(a.ref(), a.attempt) != nil {
			continue
		}
		if !a.sent {
			a.sentAt = c.now
		}
		a.sent = true
		a.sentToken = max(a.sentToken, token)
		a.sentTenure = m.tenure
		orders = append(orders, wire.Order{Verb: wire.VerbRun, Name: a.ref().String(), Attempt: a.attempt})
	}
	return orders
}

// heat notes that a command may have to go to a machine. Only such machines
// are looked at: looking at all of them after every event costs a node its
// processor once there are a thousand.
func (c *Core) heat(m *machine) {
	if !m.hot {
		m.hot = true
		c.hot = append(c.hot, m)
	}
}

// direct lists the workers to which a command should go at once, those first
// that have waited longest. After a takeover or a cut hundreds wait, and events
// come in between: what each step looks at here must be little.
func (c *Core) direct() {
	room := c.opt.MaxDirect - c.calls
	if c.opt.MaxDirect <= 0 {
		room = len(c.hot)
	}
	left := c.hot[:0]
	for _, m := range c.hot {
		if m.hot = c.wait(m, &room); m.hot {
			left = append(left, m)
		}
	}
	clear(c.hot[len(left):])
	c.hot = left
}

// wait sends what should go to a machine now, if there is room for a call, and
// tells whether the machine must be looked at again; otherwise what changes
// heats it again.
func (c *Core) wait(m *machine, room *int) bool {
	switch {
	case c.machines[m.host] != m || m.returning || m.endpoint == "":
		return false
	case !m.reported:
		if !c.mustAsk(m) {
			return false
		}
		if *room <= 0 {
			return true
		}
		m.showing, m.showAt = true, c.now.Add(2*time.Second)
		c.calls++
		*room--
		c.out.Show = append(c.out.Show, m.host)
		return false
	case m.doInflight || m.doFailed:
		return false
	case c.now < m.doRetryAt:
		return true
	case !c.wantsDirect(m):
		return c.mustFence(m)
	case *room <= 0:
		return true
	}
	*room--
	c.out.Direct = append(c.out.Direct, m.host)
	return false
}

// mustAsk tells whether a machine that a predecessor left should be asked for
// its report now. After a change of leaders its worker's session is not known,
// and it may take seconds until it finds its way here. A predecessor that lost
// the state service and us, but not its workers, keeps them from coming; one
// that was told of us makes it give up.
func (c *Core) mustAsk(m *machine) bool {
	return !m.reported && !m.showing && c.now >= m.showAt && !m.returning && m.endpoint != "" &&
		(len(m.tasks) > 0 || m.listed == "running" && !m.ours)
}

// mustFence tells whether a machine has yet to show a token of this leader. The
// answer to its report brings it one; who does not report here must be told.
func (c *Core) mustFence(m *machine) bool { return !m.fenced && len(m.tasks) > 0 }

func (c *Core) wantsDirect(m *machine) bool {
	if c.mustFence(m) && (m.answeredAt == 0 || c.now > m.answeredAt.Add(c.opt.Report)) {
		return true
	}
	for _, a := range m.list {
		if a.recorded && !a.sent && !a.inherited && a.stop == stopNone {
			return true
		}
		if a.stop != stopNone && a.mayRun() && a.killAt == 0 {
			return true
		}
	}
	return false
}

// TakeDirect hands out the command that should go to a worker now. It must be
// followed by DirectResult.
func (c *Core) TakeDirect(now ids.Instant, h ids.Host) (d wire.Direct, endpoint string, ok bool) {
	c.now = now
	m := c.machines[h]
	if m == nil || m.doInflight || !m.reported || m.returning {
		return wire.Direct{}, "", false
	}
	orders := c.kills(m)
	token := c.tokenOf(m)
	if runs := c.runs(m, false, maxOrders-len(orders)); len(runs) > 0 {
		orders = append(orders, runs...)
		m.doToken = max(m.doToken, token)
	}
	m.doInflight = true
	c.calls++
	return wire.Direct{Token: token, Tenure: m.tenure, Orders: orders}, m.endpoint, true
}

// DirectResult takes the answer to a direct command, or its absence. Without
// one, the command may still be carried out; the tokens see to that.
func (c *Core) DirectResult(now ids.Instant, h ids.Host, rep *wire.Report) {
	c.now = now
	c.calls--
	m := c.machines[h]
	if m == nil {
		return
	}
	m.doInflight = false
	c.heat(m)
	if rep == nil {
		m.doRetryAt = now.Add(time.Second)
		m.doFailed = true
		return
	}
	if rep.Host == h {
		c.Report(now, rep, true)
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
	c.calls--
	m := c.machines[h]
	if m == nil {
		return
	}
	m.showing = false
	c.heat(m)
	if rep != nil && rep.Host == h {
		c.Report(now, rep, true)
	}
}

// leaseLost tells whether a worker has surely lost its lease: nobody can have
// answered it for that long. A predecessor without the state service may have
// gone on answering for its grace, until the worker was fenced or the
// predecessor followed this leader.
func (c *Core) leaseLost(m *machine) bool {
	last := c.othersUntil
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
	return m.ours || m.proven || m.fenced || !c.opt.Predecessor
}

// usable tells whether new tasks may go to a machine.
func (c *Core) usable(m *machine) bool {
	return m.reported && m.typ != nil && !m.returning && m.noticeBy == 0 && !m.doFailed && !m.deaf && c.trusted(m) &&
		c.now < m.lastHeard.Add(c.opt.Report*3/2+1500*time.Millisecond)
}

// takesTasks tells whether a usable machine is not set aside either.
func (c *Core) takesTasks(m *machine) bool { return c.usable(m) && c.now >= m.quarantine }

// zoneState is what is known of a zone as a whole.
type zoneState struct {
	heard ids.Instant // when any machine there was last heard
	up    int         // machines that reported while it was heard
}

const (
	// zoneMachines is how many machines must be silent together to tell a zone
	// that is cut off from machines that are.
	zoneMachines = 4
	// zoneQuiet is the least time without a word from a zone after which it
	// counts as cut off. The fewer machines it has, the longer it takes.
	zoneQuiet = 2500 * time.Millisecond
	// zoneBack is how long a zone counts as cut off without a word from it.
	// So long its machines are kept: they come back without a boot, and with
	// their images. After that it is tried again.
	zoneBack = 3 * time.Minute
)

// silentLeases is for how many leases a machine that holds nothing any more may
// be silent before it is returned. One that hung or lost the network often
// comes back soon after its lease, sooner than another boots, and has its
// images; one that died costs nothing more, and the list tells of it.
const silentLeases = 2

// countZones notes how many machines each zone has that is heard.
func (c *Core) countZones() {
	up := map[ids.Zone]int{}
	for _, m := range c.order {
		if m.reported && !m.returning {
			up[m.Zone]++
		}
	}
	for zone, z := range c.from {
		if !c.quiet(z) {
			z.up = up[zone]
		}
	}
}

// quiet tells whether a zone has not been heard for longer than its machines
// would leave between them by chance. With hundreds of them that is seconds.
func (c *Core) quiet(z *zoneState) bool {
	by := c.opt.Lease / 2
	if z.up > 0 && c.now < c.lastHeard.Add(zoneQuiet/2) { // others are heard
		by = min(by, zoneQuiet+10*c.opt.Report/time.Duration(z.up))
	}
	return c.now > max(z.heard, c.resumed).Add(by)
}

// cutOff tells whether a whole zone fell silent at once, while others are
// heard. What is rented there cannot report: it costs, takes the place of
// machines elsewhere, and counts as coming.
func (c *Core) cutOff(zone ids.Zone) bool {
	z := c.from[zone]
	return z != nil && z.up >= zoneMachines && c.quiet(z) && c.now < z.heard.Add(zoneBack)
}

// watchMachines handles what time alone brings about.
func (c *Core) watchMachines() {
	c.drainNoticed()
	c.countZones()
	// When most machines fall silent at once, it is more likely this node's
	// network than the machines: they are not given back for that.
	heard, silent := 0, 0
	for _, m := range c.order {
		if m.reported {
			heard++
			if c.silent(m, c.opt.Lease/2) {
				silent++
			}
		}
	}
	mass := silent >= 3 && 2*silent > heard
	// A predecessor's machines are up already, and have yet to find their way
	// here: that is no boot which takes too long.
	heardBy := ids.Instant(0)
	if c.opt.Predecessor {
		heardBy = c.started.Add(c.opt.Lease)
	}
	var gone []*machine // forgetting one takes it out of the order
	for _, m := range c.order {
		if m.quarantine != 0 && c.now >= m.quarantine {
			m.quarantine, c.changed = 0, true
		}
		if m.asking {
			continue
		}
		if c.mustAsk(m) {
			c.heat(m)
		}
		keep := mass || c.cutOff(m.Zone)
		if m.returning {
			if m.returned {
				gone = append(gone, m)
			} else {
				c.giveBack(m, "")
			}
			continue
		}
		switch {
		case m.listed == "failed":
			c.giveBack(m, "failed")
		case m.missing >= 2 && c.silent(m, 2*c.opt.Report):
			// It was listed and is not any more: it was taken. Returning what
			// is gone does nothing, and the answer proves that it is gone.
			if m.Spot && m.noticeBy == 0 {
				c.spotLosses++
			}
			c.giveBack(m, "missing")
		case !m.reported && m.bootBy != 0 && c.now > max(m.bootBy, heardBy, c.resumed.Add(2*c.opt.Report)) && len(m.tasks) == 0:
			c.giveBack(m, "boot")
		case len(m.tasks) > 0 && c.leaseLost(m) && c.silent(m, ids.Drift(c.opt.Lease)):
			for _, a := range m.sorted() {
				if !a.saving {
					c.release(a)
				}
			}
			c.heat(m)
		case m.reported && len(m.tasks) == 0 && !keep && c.silent(m, silentLeases*c.opt.Lease):
			c.giveBack(m, "silent")
		case c.overdue(m):
			c.giveBack(m, "withdrawn")
		case m.deaf && c.now > m.deafSince.Add(c.hearWithin()):
			// Nobody else can tell it anything either. Given back, its tasks
			// are surely gone and may go elsewhere.
			c.giveBack(m, "deaf")
		}
	}
	for _, m := range gone {
		c.forget(m)
	}
}

// drainNoticed stops what will not complete before a machine is taken.
func (c *Core) drainNoticed() {
	for _, m := range c.order {
		if m.noticeBy == 0 {
			continue
		}
		for _, a := range m.sorted() {
			if a.stop == stopNone && !c.completesBy(a, m.noticeBy) {
				c.stop(a, stopDrained)
			}
		}
	}
}

// completesBy guesses whether a task will be done by a time.
func (c *Core) completesBy(a *assignment, by ids.Instant) bool {
	if a.job.spec.Service || a.phase != wire.TaskRunning {
		return false
	}
	return a.since.Add(c.expected(a.job.spec)) < by
}

func (c *Core) silent(m *machine, d time.Duration) bool {
	return c.now > max(m.lastHeard, m.known).Add(d)
}

// overdue tells whether a machine holds a task of a withdrawn job that must be
// gone soon, whether it is silent or only does not do as it is told. Giving
// the machine back is the one sure way.
func (c *Core) overdue(m *machine) bool {
	if m.staying == len(m.list) {
		return false
	}
	for _, a := range m.list {
		if a.stop == stopWithdrawn && c.now > a.job.stopAt.Add(c.opt.Cancel*45/100) {
			return true
		}
	}
	return false
}

// giveBack returns a machine; why is for the log, and empty when it was begun
// before.
func (c *Core) giveBack(m *machine, why string) {
	if why != "" {
		c.returns[why]++
	}
	// What is still being recorded was never sent, so nothing has to wait for the
	// state service here: a withdrawn job's task beside it must be gone in time.
	m.returning, m.asking = true, true
	c.out.Return = append(c.out.Return, m.host)
	c.changed = true
}

// ReturnResult takes the outcome of giving machines back. Once it succeeded,
// the machines and all on them are gone.
func (c *Core) ReturnResult(now ids.Instant, hosts []ids.Host, ok bool) {
	c.now = now
	for _, h := range hosts {
		m := c.machines[h]
		if m == nil {
			continue
		}
		m.asking = false
		if ok {
			m.returned = true
			c.forget(m)
		}
	}
}

func (c *Core) forget(m *machine) {
	for _, a := range m.sorted() {
		if !a.saving {
			c.release(a)
		}
	}
	if len(m.tasks) > 0 {
		return // a record is being written; it is forgotten after that
	}
	for _, j := range m.strayed {
		c.book.Free(j.spec.Team, j.amount())
	}
	c.gone[m.host] = true
	delete(c.machines, m.host)
	i := slices.Index(c.order, m)
	c.order = slices.Delete(c.order, i, i+1)
	if m.endpoint != "" {
		c.out.Forget = append(c.out.Forget, m.endpoint)
	}
	c.changed = true
}

// MachineList takes the cloud's list. It lags and may be older than one
// before, so absence proves nothing by itself. asked is when it was asked for.
func (c *Core) MachineList(now, asked ids.Instant, list []wire.Machine) {
	c.now = now
	listed := map[ids.Host]bool{}
	for _, w := range list {
		listed[w.Host] = true
		if c.gone[w.Host] {
			continue
		}
		m := c.machines[w.Host]
		if m == nil {
			m = c.machine(w.Host)
			m.known = asked.Add(-ids.Seconds(w.AgeS))
		}
		c.setSite(m, placement.Site{Type: w.Type, Zone: w.Zone, Spot: w.Spot}, w.Endpoint)
		if m.listed != w.Status && !m.reported && c.opt.Predecessor {
			c.heat(m)
		}
		m.listed, m.missing = w.Status, 0
	}
	for _, m := range c.order {
		// A machine that a predecessor placed tasks on is long past the lag.
		// Unless this is said, one that died with the predecessor keeps its
		// tasks for the whole grace and a lease.
		old := m.known <= c.started && asked > c.started.Add(2*c.opt.ListLag+time.Second)
		if (m.listed != "" || old) && !listed[m.host] {
			m.missing++
		}
	}
}
