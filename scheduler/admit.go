package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// mustBegin tells whether a job has waited to begin for so long that it goes
// before the rest of those that have. A team's quota may all go to its older
// jobs, task by task: room kept for a later one is of no use to it then.
func (c *Core) mustBegin(j *job) bool { return c.waited(j, 2) }

// waited tells whether a job could not begin for so many times KeepAfter.
func (c *Core) waited(j *job, times float64) bool {
	return !j.begun && c.opt.KeepAfter > 0 && c.now > j.came.Add(time.Duration(times*float64(c.opt.KeepAfter)))
}

// starvesAfter is after how many times KeepAfter a job that could not begin has room
// kept from work of higher priority too.
const starvesAfter = 2.5

// starves tells whether a job of whatever priority has waited to begin for so long that
// it must, as every job does within four minutes where limits allow. Idle-time work
// would never see room where more urgent work takes each gap. One task is little.
func (c *Core) starves(j *job) bool { return c.waited(j, starvesAfter) }

// starvingFirst lists waiting jobs with those that starve before all others.
func (c *Core) starvingFirst(waiting []*job) []*job {
	if !slices.ContainsFunc(waiting, c.starves) {
		return waiting
	}
	out := make([]*job, 0, len(waiting))
	for _, starving := range []bool{true, false} {
		for _, j := range waiting {
			if c.starves(j) == starving {
				out = append(out, j)
			}
		}
	}
	return out
}

// keptFrom tells whether a machine's room is kept for another job. Critical work, and
// what must start sooner than a machine boots, goes before those that starve.
func (c *Core) keptFrom(m *machine, j *job) bool {
	k := m.keptFor
	return k != nil && k != j && (k.prio >= j.prio || j.prio < wire.Critical && !c.hasty(j) && c.starves(k))
}

// waiting lists the jobs with tasks to place: by priority, then those that must
// begin, then by creation time, or for pipelines by when they became ready.
func (c *Core) waiting() []*job {
	var out []*job
	for _, j := range c.jobs {
		if !j.ready || j.over() || j.setAside || j.refusals >= mostRefusals || len(j.pending) == 0 || len(j.active) > 0 && j.probes() {
			continue
		}
		if c.now < j.retryAt {
			c.passBy(j.retryAt) // nothing else may happen until then
			continue
		}
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if a.prio != b.prio {
			return a.prio > b.prio
		}
		if x, y := c.mustBegin(a), c.mustBegin(b); x != y {
			return x
		}
		if a.by != b.by {
			return a.by < b.by
		}
		return a.id < b.id
	})
	return out
}

// shape is what decides whether a task finds any machine at all. Once one
// task of a shape found none, the rest of the pass need not look again: room
// only shrinks during a pass.
type shape struct {
	res   placement.Resources
	prio  wire.Priority
	spot  bool
	zone  ids.Zone
	image ids.Image // where only machines that hold it will do
	zones uint64    // the zones that the job's other tasks leave open
	whole int       // how many must find room together
}

// hasty tells whether a job's class must start sooner than a machine boots.
func (c *Core) hasty(j *job) bool {
	_, ok := c.opt.Impatient[j.spec.Class]
	return ok
}

// shapeOf is the shape of a job's next task, given where its others are; ok is
// false for a job that is like no other.
func (c *Core) shapeOf(j *job, at placement.Zones) (sh shape, ok bool) {
	s := j.spec
	if len(s.Types) > 0 || len(c.zones) > 64 || j.keptSince != 0 {
		// Room that is kept for a job is there for no other: one like it that
		// found none must not keep the job from it.
		return shape{}, false
	}
	sh = shape{res: placement.Of(s), prio: j.prio, spot: s.Spot, zone: s.Zone}
	if c.hasty(j) && !j.coldOK {
		sh.image = s.Image
	}
	if j.whole() {
		sh.whole = len(j.pending)
	}
	for i, z := range c.zones {
		if at.Admits(s, z) {
			sh.zones |= 1 << i
		}
	}
	return sh, true
}

// schedule is one pass of admission: first the jobs that stay within their
// team's guarantee, then those that borrow, each by priority and creation
// time. One that does not fit is passed by later ones that do. Then room is
// made for those that are owed it.
func (c *Core) schedule() {
	waiting := c.waiting()
	if len(waiting) == 0 {
		return
	}
	c.countSurplus()
	c.admitAll(waiting)
	c.makeRoom(waiting)
	c.keepRoom(waiting)
}

// lookAround lists the machines that take tasks now.
func (c *Core) lookAround() {
	c.ready, c.zones = c.ready[:0], c.zones[:0]
	for _, m := range c.order {
		if c.takesTasks(m) {
			c.ready = append(c.ready, m)
			if !slices.Contains(c.zones, m.Zone) {
				c.zones = append(c.zones, m.Zone)
			}
		}
	}
	c.Work += uint64(len(c.order))
}

// admitAll places what fits of the waiting jobs.
func (c *Core) admitAll(waiting []*job) {
	c.lookAround()
	full := map[shape]bool{}
	// A team's lower work must not slip into the rest of its guarantee past
	// higher work that has to borrow: the higher would stop it again.
	borrower := map[ids.Team]wire.Priority{}
	for _, nominal := range []bool{true, false} {
		passed := 0
		if !nominal { // what is lent goes to those that starve first
			waiting = c.starvingFirst(waiting)
		}
		for _, j := range waiting {
			if len(j.pending) == 0 {
				continue
			}
			if nominal {
				j.deferred = j.prio < borrower[j.spec.Team]
				if j.deferred {
					continue
				}
			}
			sh, alike := c.shapeOf(j, j.zones)
			tried := !alike || !full[sh]
			if tried && c.admit(j, nominal) {
				// The shape of what is left: some of it may have been placed.
				if sh, alike := c.shapeOf(j, j.zones); alike {
					full[sh] = true
				}
			}
			if nominal && c.mustBorrow(j) {
				borrower[j.spec.Team] = max(borrower[j.spec.Team], j.prio)
			}
			if tried && len(j.pending) > 0 {
				if passed++; passed > c.opt.PassOver {
					break
				}
			}
		}
	}
}

// countSurplus gives the cohort what the machines have beyond the sum of the
// guarantees: left unused it would serve nobody.
func (c *Core) countSurplus() {
	var have quota.Amount
	for _, m := range c.order {
		if c.usable(m) {
			have = have.Plus(quota.Amount{CPUs: m.total.CPUs, GPUs: m.total.GPUs})
		}
	}
	c.book.SetSurplus(have.Minus(c.book.Nominal()))
}

func (c *Core) fitsQuota(j *job, nominal bool, n int) bool {
	m := j.amount().Times(n)
	if nominal {
		return c.book.FitsNominal(j.spec.Team, m)
	}
	return c.book.FitsBorrowing(j.spec.Team, m, c.now)
}

// whole tells whether all waiting tasks of a job must be placed together: a
// gang's always, a service's when it starts.
func (j *job) whole() bool { return j.spec.Gang || j.spec.Service && len(j.active) == 0 }

// together is how many of a job's waiting tasks must find room at once.
func (j *job) together() int {
	if j.whole() {
		return len(j.pending)
	}
	return 1
}

// mustBorrow tells whether a job's waiting tasks fit quota, but not within the
// guarantee.
func (c *Core) mustBorrow(j *job) bool {
	n := j.together()
	return len(j.pending) > 0 && !c.fitsQuota(j, true, n) && c.fitsQuota(j, false, n)
}

// admit places what fits of a job: a service whole when it starts, an array
// in slices that fit. noRoom tells that no machine had room.
func (c *Core) admit(j *job, nominal bool) (noRoom bool) {
	whole := j.whole()
	if j.spec.Gang && len(j.active) > 0 {
		// The rest of the gang waits for the tasks that it lost. It starts
		// again together, so it is stopped whole first.
		for _, a := range sortedTasks(j.active) {
			c.stop(a, stopPreempted)
		}
		return false
	}
	if whole && !c.fitsQuota(j, nominal, len(j.pending)) {
		return false
	}
	if !whole || !j.spec.OneZone {
		return c.admitIn(j, nominal, whole)
	}
	// The best machine for the first task may stand in a zone that cannot
	// hold the rest, so every zone has its turn, that one first.
	first := c.search(j).next(j.pending[len(j.pending)-1])
	if first == nil {
		return true
	}
	defer func() { j.only = "" }()
	zones := []ids.Zone{first.Zone}
	for _, m := range c.order {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	for _, z := range zones {
		j.only = z
		if noRoom = c.admitIn(j, nominal, whole); !noRoom {
			return false
		}
	}
	return true
}

// admitIn is admit, in the one zone that the job is held to, if any.
func (c *Core) admitIn(j *job, nominal, whole bool) (noRoom bool) {
	var placed []*assignment
	var s *search
	begins := c.mustBegin(j)
	for k := len(j.pending) - 1; k >= 0; k-- {
		if !c.fitsQuota(j, nominal, 1) {
			break
		}
		if s == nil {
			s = c.search(j)
		}
		i := j.pending[k]
		m := s.next(i)
		if m == nil {
			noRoom = true
			break
		}
		placed = append(placed, c.place(j, i, m))
		s.took(m)
		if j.probes() {
			break
		}
		if begins && !whole {
			c.changed = true
			break // the rest has no more right than others
		}
	}
	if whole && len(placed) < len(j.pending) {
		for _, a := range placed {
			c.detach(a)
			j.tasks[a.index].attempt--
		}
		return noRoom
	}
	j.pending = j.pending[:len(j.pending)-len(placed)]
	for _, a := range placed {
		c.touch(j, a.index, true)
	}
	return noRoom
}

// place decides on a machine for a task. From here on it counts as used; it
// is sent once the record is committed.
func (c *Core) place(j *job, i int, m *machine) *assignment {
	j.tasks[i].attempt++
	a := &assignment{job: j, index: i, attempt: j.tasks[i].attempt, m: m, since: c.now, sheltered: j.prio == wire.BestEffort && c.starves(j)}
	c.attach(a)
	return a
}

// keepRoom sees that every job begins. Later jobs that fit pass one that does
// not, so a large one might wait for ever while small ones take each gap as it
// opens. Once it has waited too long, machines that it could use take no other
// work of its priority or below, until their room has grown to what it needs.
// What another waits for is not kept twice, and room that did not suffice in
// time is given up for a while.
func (c *Core) keepRoom(waiting []*job) {
	if c.opt.KeepAfter <= 0 {
		return
	}
	kept := 0
	held := map[*job][]*machine{}
	for _, m := range c.order {
		k := m.keptFor
		if k == nil {
			continue
		}
		if k.begun || k.over() || c.now > k.keptSince.Add(c.opt.KeepFor) || !c.takesTasks(m) {
			m.keptFor = nil
			c.changed = true
			continue
		}
		kept++
		held[k] = append(held[k], m)
	}
	for _, j := range c.starvingFirst(waiting) {
		if j.begun {
			continue
		}
		// Time alone lets a job have room kept, or lose it again.
		c.passBy(c.now.Add(time.Second))
		if c.now < j.waits.Add(c.opt.KeepAfter) {
			continue
		}
		if j.keptSince != 0 && c.now > j.keptSince.Add(c.opt.KeepFor) {
			j.waits, j.keptSince = c.now.Add(-c.opt.KeepAfter/2), 0
			continue
		}
		n := j.together()
		if !c.fitsQuota(j, false, n) && !(j.prio == wire.BestEffort && c.starves(j)) {
			// Room is not what it waits for. What is lent comes and goes, though, and
			// idle-time work lives on it alone: it must find room when it comes.
			continue
		}
		kept += c.keepFor(j, n, held[j], kept)
	}
}

// keptMost bounds the machines whose room is kept, as a part of all.
const keptMost = 0.1

// keepFor keeps machines for n tasks of a job, beside those it holds: those with
// most room go first. With hundreds of jobs waiting it must look at the machines
// only for those that need more, and not at all once no more may be kept.
func (c *Core) keepFor(j *job, n int, held []*machine, kept int) int {
	need := placement.Of(j.spec)
	zones := placement.Zones{}
	hold := func(m *machine) {
		for room := m.total; n > 0 && need.Within(room) && zones.Admits(j.spec, m.Zone); n-- {
			room = room.Minus(need)
			zones[m.Zone]++
		}
	}
	for _, m := range held {
		hold(m)
	}
	most := keptMost * float64(len(c.ready))
	if n <= 0 || float64(kept) > most {
		return 0
	}
	c.Work += uint64(len(c.ready))
	var free []*machine
	for _, m := range c.ready {
		if m.keptFor == nil && placement.Allowed(j.spec, m.Site) && need.Within(m.total) {
			free = append(free, m)
		}
	}
	slices.SortStableFunc(free, func(a, b *machine) int { return cmp.Compare(b.free().CPUs, a.free().CPUs) })
	added := 0
	for _, m := range free {
		if n <= 0 || float64(kept+added) > most {
			break
		}
		if !zones.Admits(j.spec, m.Zone) {
			continue
		}
		m.keptFor = j
		added++
		if j.keptSince == 0 {
			j.keptSince = c.now
		}
		hold(m)
	}
	return added
}

// search finds machines for the tasks of one job, one after the other. All
// machines are looked at once; after that only those that took a task.
type search struct {
	c     *Core
	j     *job
	need  placement.Resources
	zones []*zoneHeap
	same  map[*machine]int // tasks of a service by machine
}

// candidate is a machine with its score, less what the zone counts for.
type candidate struct {
	m     *machine
	score float64
	at    int // in the order of hosts, which decides between equals
}

// zoneHeap holds the candidates of a zone, the best on top.
type zoneHeap struct {
	zone ids.Zone
	list []candidate
}

func (z *zoneHeap) Len() int { return len(z.list) }
func (z *zoneHeap) Less(i, k int) bool {
	a, b := &z.list[i], &z.list[k]
	return a.score > b.score || a.score == b.score && a.at < b.at
}
func (z *zoneHeap) Swap(i, k int) { z.list[i], z.list[k] = z.list[k], z.list[i] }
func (z *zoneHeap) Push(x any)    { z.list = append(z.list, x.(candidate)) }
func (z *zoneHeap) Pop() any {
	last := z.list[len(z.list)-1]
	z.list = z.list[:len(z.list)-1]
	return last
}

func (c *Core) search(j *job) *search {
	s := &search{c: c, j: j, need: placement.Of(j.spec)}
	if j.spec.Service {
		s.same = map[*machine]int{}
		for _, a := range j.active {
			s.same[a.m]++
		}
	}
	hasty := c.hasty(j) && !j.coldOK
	c.Work += uint64(len(c.ready))
	for at, m := range c.ready {
		if !s.need.Within(m.free()) || !placement.Allowed(j.spec, m.Site) || j.only != "" && m.Zone != j.only {
			continue
		}
		if c.keptFrom(m, j) {
			continue // it would never begin
		}
		if hasty && m.images[j.spec.Image] == nil {
			continue // a fetch takes longer than making room where the image is
		}
		z := s.zone(m.Zone)
		z.list = append(z.list, candidate{m, s.score(m, 0), at})
	}
	for _, z := range s.zones {
		heap.Init(z)
	}
	return s
}

func (s *search) zone(name ids.Zone) *zoneHeap {
	for _, z := range s.zones {
		if z.zone == name {
			return z
		}
	}
	z := &zoneHeap{zone: name}
	s.zones = append(s.zones, z)
	return z
}

func (s *search) score(m *machine, sameZone int) float64 {
	o := s.c.offer(s.j, m)
	o.SameJob, o.SameZone = s.same[m], sameZone
	return placement.Score(s.j.spec, &o)
}

// next chooses the best machine for a task, or nil.
func (s *search) next(index int) *machine {
	ref := ids.TaskRef{Job: s.j.id, Index: index}
	var best candidate
	for _, z := range s.zones {
		if !s.j.zones.Admits(s.j.spec, z.zone) {
			continue
		}
		var aside []candidate
		for z.Len() > 0 && z.list[0].m.showsAny(ref) {
			aside = append(aside, heap.Pop(z).(candidate))
		}
		if z.Len() > 0 {
			top := z.list[0]
			s.c.Work++
			top.score = s.score(top.m, s.j.zones[z.zone])
			if best.m == nil || top.score > best.score || top.score == best.score && top.at < best.at {
				best = top
			}
		}
		for _, a := range aside {
			heap.Push(z, a)
		}
	}
	return best.m
}

// took brings a machine that was given a task back to its rank.
func (s *search) took(m *machine) {
	if s.same != nil {
		s.same[m]++
	}
	z := s.zone(m.Zone)
	i := slices.IndexFunc(z.list, func(c candidate) bool { return c.m == m })
	if !s.need.Within(m.free()) {
		heap.Remove(z, i)
		return
	}
	z.list[i].score = s.score(m, 0)
	heap.Fix(z, i)
}

// spotRisk is the chance that a spot machine is taken while a task of the job
// runs, going by the losses seen so far. Before anything was seen it assumes
// one in half an hour.
func (c *Core) spotRisk(j *job) float64 {
	const priorHours = 0.5
	perHour := (1 + float64(c.spotLosses)) / (priorHours + c.spotTime.Hours())
	return perHour * j.spec.EstimateS / 3600
}

// noteSpot counts the time that spot machines were up.
func (c *Core) noteSpot(passed time.Duration) {
	for _, m := range c.order {
		if m.Spot && m.reported && !m.returning {
			c.spotTime += passed
		}
	}
}

func (c *Core) offer(j *job, m *machine) placement.Offer {
	o := placement.Offer{Site: m.Site, Free: m.free(), Total: m.total,
		Cached:  m.images[j.spec.Image] != nil,
		Suspect: j.failedOn[m.host] != 0 || c.now < m.slowUntil || len(m.errors) > 0 && c.now < m.lastError.Add(quarantineFor)}
	if m.Spot {
		o.SpotRisk = c.spotRisk(j)
	}
	o.Hasty = c.hasty(j)
	o.Pinned = m.services > 0
	o.Fetching = m.pulls[j.spec.Image] > 0
	return o
}

// makeRoom stops tasks for waiting work that may have its room now: work of
// lower priority for work of higher, and what other teams borrow for a team
// below its guarantee. It stops no more than the waiting work needs, and
// counts what is already leaving.
func (c *Core) makeRoom(waiting []*job) {
	c.passes++
	r := &room{c: c, over: map[ids.Team]quota.Amount{}, owed: map[ids.Team]quota.Amount{},
		stopped: map[*assignment]bool{}, failed: map[hopeless]bool{}}
	for _, t := range c.opt.Teams {
		r.over[t.Name] = c.book.Over(t.Name)
	}
	r.tally()
	for _, j := range waiting {
		if len(j.pending) == 0 || j.probes() {
			continue
		}
		r.zones = maps.Clone(j.zones)
		if j.whole() {
			r.makeWhole(j)
			continue
		}
		r.options = nil
		for range j.pending {
			victims, ok := r.make(j, nil)
			if !ok {
				break
			}
			r.stop(j, victims)
		}
	}
}

// tally takes in what is leaving already and whose work there is to stop.
func (r *room) tally() {
	for _, w := range slices.SortedFunc(maps.Keys(r.c.on), work.compare) {
		on := r.c.on[w]
		if on.leaving > 0 {
			r.over[w.team] = r.over[w.team].Minus(on.freeing)
			r.owed[w.team] = r.owed[w.team].Minus(on.freeing)
		}
		if on.staying > 0 {
			r.there = append(r.there, w)
		}
	}
}

// coming is what is free on a machine or about to be.
func (r *room) coming(m *machine) placement.Resources {
	if m.pass != r.c.passes {
		m.pass, m.victims = r.c.passes, nil
		m.coming = m.free()
		for _, a := range m.list {
			if a.stop != stopNone {
				m.coming = m.coming.Plus(placement.Of(a.job.spec))
			}
		}
	}
	return m.coming
}

// room is the state of one search for victims.
type room struct {
	c       *Core
	over    map[ids.Team]quota.Amount // what teams use beyond their guarantee
	owed    map[ids.Team]quota.Amount // quota spoken for, less what is being freed
	stopped map[*assignment]bool
	// zones counts a job's tasks with those that room is being made for.
	zones placement.Zones
	there []work // whose work there is at all
	// failed holds what no room could be made for in this pass. Nothing gets
	// easier during a pass, so the like of it is not tried again.
	failed map[hopeless]bool
	// options are the machines for the present job, as long as its claim
	// stays the same.
	options  []option
	optionBy claim
}

// work is whose and how important some tasks are.
type work struct {
	team ids.Team
	prio wire.Priority
}

func (w work) compare(o work) int {
	return cmp.Or(strings.Compare(string(w.team), string(o.team)), cmp.Compare(w.prio, o.prio))
}

// onMachines counts the tasks on machines that were not told to stop, and
// those that were and what they will free. Counting them anew in each pass
// took a fifth of the processor with ten thousand tasks.
type onMachines struct {
	staying, leaving int
	freeing          quota.Amount
}

// note keeps the count of tasks on machines.
func (c *Core) note(a *assignment, staying, leaving int) {
	w := work{a.job.spec.Team, a.job.prio}
	on := c.on[w]
	on.staying += staying
	on.leaving += leaving
	if on.freeing = on.freeing.Plus(a.job.amount().Times(leaving)); on.leaving == 0 {
		on.freeing = quota.Amount{} // no rest of rounding
	}
	c.on[w] = on
}

// hopeless is all that decides whether room can be made for a task.
type hopeless struct {
	shape
	team ids.Team
	by   claim
}

// option is a machine where room could be made, and at what cost.
type option struct {
	m       *machine
	victims []*assignment
	cost    float64
}

// makeWhole makes room for all waiting tasks of a job, or for none.
func (r *room) makeWhole(j *job) {
	over, owed, stopped := maps.Clone(r.over), maps.Clone(r.owed), maps.Clone(r.stopped)
	coming := map[*machine]placement.Resources{}
	var all []*assignment
	r.options = nil
	for range j.pending {
		victims, ok := r.make(j, coming)
		if !ok {
			r.over, r.owed, r.stopped = over, owed, stopped
			for m, free := range coming {
				m.coming = free
			}
			return
		}
		all = append(all, victims...)
	}
	r.stop(j, all)
}

func (r *room) stop(j *job, victims []*assignment) {
	for _, a := range victims {
		if a.job.spec.Team != j.spec.Team {
			r.c.book.Hold(j.spec.Team, r.c.now.Add(r.c.opt.ReclaimHold))
		}
		// Evicted work waits a moment, so that the room goes to the work that
		// it was made for.
		a.job.retryAt = max(a.job.retryAt, r.c.now.Add(evictedWait))
		r.c.stop(a, stopPreempted)
	}
}

// evictedWait is how long evicted work stays out of admission.
const evictedWait = 500 * time.Millisecond

// claim is by what right a task may have room made for it.
type claim uint8

const (
	claimNone    claim = iota
	claimOwn           // its team is at its limit: only by its own lower work
	claimBorrow        // by work of lower priority that is its own or borrows too
	claimNominal       // by work of lower priority, and by what others borrow
)

func (r *room) claim(j *job) claim {
	m := r.owed[j.spec.Team].Plus(j.amount())
	switch {
	case !j.deferred && r.c.book.FitsNominal(j.spec.Team, m):
		return claimNominal
	case r.c.book.FitsBorrowing(j.spec.Team, m, r.c.now):
		return claimBorrow
	case j.prio > wire.BestEffort:
		return claimOwn
	}
	return claimNone
}

// stoppable tells whether there is any work that may be stopped by such a
// claim.
func (r *room) stoppable(j *job, by claim) bool {
	for _, w := range r.there {
		free, asBorrower := mayStop(j, by, w.team, w.prio)
		if free || asBorrower && !r.over[w.team].Within(quota.Amount{}) {
			return true
		}
	}
	return false
}

// mayStop tells whether work may be stopped for a job: freely, or only as far
// as its team uses more than its guarantee. Admission lets those within their
// guarantee go before borrowers of any priority. Were borrowers to stop them
// for their priority, the two would take each other's room for ever.
func mayStop(j *job, by claim, team ids.Team, prio wire.Priority) (free, asBorrower bool) {
	own, lower := team == j.spec.Team, prio < j.prio
	free = lower && (own || by == claimNominal)
	asBorrower = !own && (by == claimNominal || by == claimBorrow && lower)
	return free, asBorrower
}

// make finds room for one more task of a job, and the tasks that must be
// stopped for it. In before, if there is one, it notes what was coming on the
// machine that it uses.
func (r *room) make(j *job, before map[*machine]placement.Resources) ([]*assignment, bool) {
	by := r.claim(j)
	if by == claimNone || by == claimOwn && !r.stoppable(j, by) {
		return nil, false
	}
	// What a gang or a service needs together matters for admission, not for
	// the one task that room is made for here.
	sh, alike := r.c.shapeOf(j, r.zones)
	sh.whole = 0
	if r.c.hasty(j) {
		sh.image = j.spec.Image
	}
	key := hopeless{sh, j.spec.Team, by}
	keyed := alike && len(j.failedOn) == 0
	if keyed && r.failed[key] {
		return nil, false
	}
	best := r.best(j, by)
	if best == nil {
		if keyed {
			r.failed[key] = true
		}
		return nil, false
	}
	m, victims := best.m, best.victims
	if r.c.hasty(j) && m.images[j.spec.Image] == nil && !j.coldOK {
		j.coldOK, r.c.changed = true, true
	}
	// Room for one replica beside the last would be room in the wrong zone,
	// made again and again.
	r.zones[m.Zone]++
	free, team := r.coming(m), j.spec.Team
	if _, noted := before[m]; before != nil && !noted {
		before[m] = free
	}
	r.owed[team] = r.owed[team].Plus(j.amount())
	for _, a := range victims {
		s := a.job.spec
		r.stopped[a] = true
		free = free.Plus(placement.Of(s))
		r.over[s.Team] = r.over[s.Team].Minus(a.job.amount())
		r.owed[s.Team] = r.owed[s.Team].Minus(a.job.amount())
	}
	m.coming = free.Minus(placement.Of(j.spec))
	if o, ok := r.option(j, m, by); ok {
		*best = o
	} else {
		best.m = nil
	}
	return victims, true
}

// best finds the cheapest machine to make room on. All machines are looked at
// once for a job and a claim. Costs only rise within a pass, so afterwards the
// cheapest is looked at again before it is taken.
func (r *room) best(j *job, by claim) *option {
	if r.options == nil || r.optionBy != by {
		r.options, r.optionBy = make([]option, 0, 16), by
		stoppable := r.stoppable(j, by)
		r.c.Work += uint64(len(r.c.ready))
		for _, m := range r.c.ready {
			if !stoppable && !placement.Of(j.spec).Within(r.coming(m)) {
				continue
			}
			if o, ok := r.option(j, m, by); ok {
				r.options = append(r.options, o)
			}
		}
	}
	for {
		var best *option
		for i := range r.options {
			if o := &r.options[i]; o.m != nil && (best == nil || o.cost < best.cost) && r.zones.Admits(j.spec, o.m.Zone) {
				best = o
			}
		}
		if best == nil {
			return nil
		}
		if len(best.victims) == 0 {
			return best
		}
		again, ok := r.option(j, best.m, by)
		switch {
		case !ok:
			best.m = nil
		case again.cost > best.cost:
			*best = again
		default:
			*best = again
			return best
		}
	}
}

// fitsAlready ranks machines that need no victim before all others.
const fitsAlready = -1

// option tells what it would cost to make room on a machine.
func (r *room) option(j *job, m *machine, by claim) (option, bool) {
	if !placement.Allowed(j.spec, m.Site) || r.c.avoids(j, m) || r.c.keptFrom(m, j) && r.c.starves(m.keptFor) {
		return option{}, false
	}
	need, free := placement.Of(j.spec), r.coming(m)
	warm, hasty := m.images[j.spec.Image] != nil, r.c.hasty(j)
	o := option{m: m}
	if by == claimOwn || !need.Within(free) {
		if !need.Within(m.total) {
			return o, false
		}
		var ok bool
		if o.victims, o.cost, ok = r.victims(j, m, by, need, free); !ok {
			return o, false
		}
	} else if warm || !hasty {
		o.cost = fitsAlready
		return o, true
	}
	if !warm {
		o.cost += missingImage
	}
	return o, true
}

// missingImage is what it costs to make room where the image would have to be
// fetched first.
const missingImage = 80

// victim is a task that might be stopped, and what its end loses.
type victim struct {
	a    *assignment
	cost float64
}

// losses lists a machine's tasks by what their end loses, once in a pass.
func (r *room) losses(m *machine) []victim {
	if m.victims == nil {
		m.victims = make([]victim, 0, len(m.list))
		for _, a := range m.list {
			if a.stop == stopNone && !r.c.sheltered(a) {
				m.victims = append(m.victims, victim{a, r.c.lossOf(a)})
			}
		}
		slices.SortStableFunc(m.victims, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
		r.c.Work++
	}
	return m.victims
}

// shelter is how long the first tasks of idle-time work that starved run undisturbed: all
// others stop it, and stopped at once it would have begun for nothing. Work of other
// priorities is not sheltered: in its place tasks that have run for longer would be stopped.
const shelter = 45 * time.Second

func (c *Core) sheltered(a *assignment) bool {
	return a.sheltered && (a.phase != wire.TaskRunning || c.ran(a) < shelter)
}

// victims picks the tasks on a machine whose end loses least.
func (r *room) victims(j *job, m *machine, by claim, need, room placement.Resources) (out []*assignment, cost float64, ok bool) {
	// With no quota left, the victims must free that as well.
	short := quota.Amount{}
	if by == claimOwn {
		short = j.amount()
	}
	var taken map[ids.Team]quota.Amount // of borrowers
	for _, v := range r.losses(m) {
		s := v.a.job.spec
		free, asBorrower := mayStop(j, by, s.Team, v.a.job.prio)
		if !free && !asBorrower || r.stopped[v.a] || v.a.stop != stopNone {
			continue
		}
		if !free {
			if !taken[s.Team].Plus(v.a.job.amount()).Within(r.over[s.Team]) {
				continue
			}
			if taken == nil {
				taken = map[ids.Team]quota.Amount{}
			}
			taken[s.Team] = taken[s.Team].Plus(v.a.job.amount())
		}
		out = append(out, v.a)
		cost += v.cost
		room = room.Plus(placement.Of(s))
		short = short.Minus(v.a.job.amount())
		if need.Within(room) && short.Within(quota.Amount{}) {
			return out, cost, true
		}
	}
	return nil, 0, false
}

// lossOf is what is lost when a task is stopped: the work since its last
// checkpoint, and more for higher priorities.
func (c *Core) lossOf(a *assignment) float64 {
	s := a.job.spec
	lost := 0.0
	if a.phase == wire.TaskRunning {
		lost = c.now.Sub(a.since).Seconds()
		if s.SaveEvery > 0 {
			lost = min(lost, s.SaveEvery) + s.SaveS
		}
	}
	// What was restarted before holds up its job, which ends with its last
	// task: it is stopped after others.
	loss := (lost + 2) * s.CPUs * float64(a.attempt)
	for range int(a.job.prio) {
		loss *= 3
	}
	if s.Service {
		loss += 1000
	}
	return loss
}
