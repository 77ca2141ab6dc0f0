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
func (c *Core) agedToFront(j *job) bool { return c.waitedToStart(j, 2) }

// waited tells whether a job could not begin for so many times ReserveAfter.
func (c *Core) waitedToStart(j *job, times float64) bool {
	return !j.started && c.opt.ReserveAfter > 0 && c.now > j.readyAt.Add(time.Duration(times*float64(c.opt.ReserveAfter)))
}

// starvationFactor is after how many times ReserveAfter a job that could not begin has room
// kept from work of higher priority too.
const starvationFactor = 2.5

// starves tells whether a job of whatever priority has waited to begin for so long that
// it must, as every job does within four minutes where limits allow. Idle-time work
// would never see room where more urgent work takes each gap. One task is little.
func (c *Core) starving(j *job) bool { return c.waitedToStart(j, starvationFactor) }

// starvingFirst lists waiting jobs with those that starve before all others.
func (c *Core) starvingFirst(waiting []*job) []*job {
	if !slices.ContainsFunc(waiting, c.starving) {
		return waiting
	}
	out := make([]*job, 0, len(waiting))
	for _, starving := range []bool{true, false} {
		for _, j := range waiting {
			if c.starving(j) == starving {
				out = append(out, j)
			}
		}
	}
	return out
}

// reservedForOther tells whether a machine's room is kept for another job. Critical work, and
// what must start sooner than a machine boots, goes before those that starve.
func (c *Core) reservedForOther(m *machine, j *job) bool {
	k := m.reservedFor
	return k != nil && k != j && (k.priority >= j.priority || j.priority < wire.Critical && !c.latencySensitive(j) && c.starving(k))
}

// waiting lists the jobs with tasks to place: by priority, then those that must
// begin, then by creation time, or for pipelines by when they became ready.
func (c *Core) waitingJobs() []*job {
	var out []*job
	for _, j := range c.jobs {
		if !j.ready || j.terminal() || j.suspended || j.refusals >= maxRefusals || len(j.pending) == 0 || len(j.active) > 0 && j.probing() {
			continue
		}
		if c.now < j.retryAt {
			c.scheduleAt(j.retryAt) // nothing else may happen until then
			continue
		}
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if a.priority != b.priority {
			return a.priority > b.priority
		}
		if x, y := c.agedToFront(a), c.agedToFront(b); x != y {
			return x
		}
		if a.orderMS != b.orderMS {
			return a.orderMS < b.orderMS
		}
		return a.id < b.id
	})
	return out
}

// shape is what decides whether a task finds any machine at all. Once one
// task of a shape found none, the rest of the pass need not look again: room
// only shrinks during a pass.
type placementRequest struct {
	resources     placement.Resources
	priority      wire.Priority
	spot          bool
	zone          ids.Zone
	image         ids.Image // where only machines that hold it will do
	openZones     uint64    // the zones that the job's other tasks leave open
	tasksTogether int       // how many must find room together
}

// hasty tells whether a job's class must start sooner than a machine boots.
func (c *Core) latencySensitive(j *job) bool {
	_, ok := c.opt.LatencySensitive[j.spec.Class]
	return ok
}

// requestOf is the shape of a job's next task, given where its others are; ok is
// false for a job that is like no other.
func (c *Core) requestOf(j *job, at placement.Zones) (sh placementRequest, ok bool) {
	s := j.spec
	if len(s.Types) > 0 || len(c.candidateZones) > 64 || j.reservedSince != 0 {
		// Room that is kept for a job is there for no other: one like it that
		// found none must not keep the job from it.
		return placementRequest{}, false
	}
	sh = placementRequest{resources: placement.Of(s), priority: j.priority, spot: s.Spot, zone: s.Zone}
	if c.latencySensitive(j) && !j.allowColdStart {
		sh.image = s.Image
	}
	if j.needsAllTasks() {
		sh.tasksTogether = len(j.pending)
	}
	for i, z := range c.candidateZones {
		if at.Admits(s, z) {
			sh.openZones |= 1 << i
		}
	}
	return sh, true
}

// schedule is one pass of admission: first the jobs that stay within their
// team's guarantee, then those that borrow, each by priority and creation
// time. One that does not fit is passed by later ones that do. Then room is
// made for those that are owed it.
func (c *Core) scheduleRound() {
	waiting := c.waitingJobs()
	if len(waiting) == 0 {
		return
	}
	c.updateSurplus()
	c.admitAll(waiting)
	c.preempt(waiting)
	c.updateReservations(waiting)
}

// collectCandidates lists the machines that take tasks now.
func (c *Core) collectCandidates() {
	c.candidates, c.candidateZones = c.candidates[:0], c.candidateZones[:0]
	for _, m := range c.machineList {
		if c.takesTasks(m) {
			c.candidates = append(c.candidates, m)
			if !slices.Contains(c.candidateZones, m.Zone) {
				c.candidateZones = append(c.candidateZones, m.Zone)
			}
		}
	}
	c.MachinesExamined += uint64(len(c.machineList))
}

// admitAll places what fits of the waiting jobs.
func (c *Core) admitAll(waiting []*job) {
	c.collectCandidates()
	full := map[placementRequest]bool{}
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
				j.deferred = j.priority < borrower[j.spec.Team]
				if j.deferred {
					continue
				}
			}
			sh, alike := c.requestOf(j, j.zones)
			tried := !alike || !full[sh]
			if tried && c.admitJob(j, nominal) {
				// The shape of what is left: some of it may have been placed.
				if sh, alike := c.requestOf(j, j.zones); alike {
					full[sh] = true
				}
			}
			if nominal && c.mustBorrow(j) {
				borrower[j.spec.Team] = max(borrower[j.spec.Team], j.priority)
			}
			if tried && len(j.pending) > 0 {
				if passed++; passed > c.opt.MaxSkippedJobs {
					break
				}
			}
		}
	}
}

// updateSurplus gives the cohort what the machines have beyond the sum of the
// guarantees: left unused it would serve nobody.
func (c *Core) updateSurplus() {
	var have quota.Amount
	for _, m := range c.machineList {
		if c.usable(m) {
			have = have.Plus(quota.Amount{CPUs: m.total.CPUs, GPUs: m.total.GPUs})
		}
	}
	c.quotas.SetSurplus(have.Minus(c.quotas.Nominal()))
}

func (c *Core) fitsQuota(j *job, nominal bool, n int) bool {
	m := j.amount().Times(n)
	if nominal {
		return c.quotas.FitsNominal(j.spec.Team, m)
	}
	return c.quotas.FitsBorrowing(j.spec.Team, m, c.now)
}

// whole tells whether all waiting tasks of a job must be placed together: a
// gang's always, a service's when it starts.
func (j *job) needsAllTasks() bool { return j.spec.Gang || j.spec.Service && len(j.active) == 0 }

// together is how many of a job's waiting tasks must find room at once.
func (j *job) tasksTogether() int {
	if j.needsAllTasks() {
		return len(j.pending)
	}
	return 1
}

// mustBorrow tells whether a job's waiting tasks fit quota, but not within the
// guarantee.
func (c *Core) mustBorrow(j *job) bool {
	n := j.tasksTogether()
	return len(j.pending) > 0 && !c.fitsQuota(j, true, n) && c.fitsQuota(j, false, n)
}

// admit places what fits of a job: a service whole when it starts, an array
// in slices that fit. noRoom tells that no machine had room.
func (c *Core) admitJob(j *job, nominal bool) (noRoom bool) {
	whole := j.needsAllTasks()
	if j.spec.Gang && len(j.active) > 0 {
		// The rest of the gang waits for the tasks that it lost. It starts
		// again together, so it is stopped whole first.
		for _, a := range tasksByIndex(j.active) {
			c.stopTask(a, stopPreempted)
		}
		return false
	}
	if whole && !c.fitsQuota(j, nominal, len(j.pending)) {
		return false
	}
	if !whole || !j.spec.OneZone {
		return c.admitTasks(j, nominal, whole)
	}
	// The best machine for the first task may stand in a zone that cannot
	// hold the rest, so every zone has its turn, that one first.
	first := c.newSearch(j).next(j.pending[len(j.pending)-1])
	if first == nil {
		return true
	}
	defer func() { j.onlyZone = "" }()
	zones := []ids.Zone{first.Zone}
	for _, m := range c.machineList {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	for _, z := range zones {
		j.onlyZone = z
		if noRoom = c.admitTasks(j, nominal, whole); !noRoom {
			return false
		}
	}
	return true
}

// admitTasks is admit, in the one zone that the job is held to, if any.
func (c *Core) admitTasks(j *job, nominal, whole bool) (noRoom bool) {
	var placed []*assignment
	var s *candidateSearch
	begins := c.agedToFront(j)
	for k := len(j.pending) - 1; k >= 0; k-- {
		if !c.fitsQuota(j, nominal, 1) {
			break
		}
		if s == nil {
			s = c.newSearch(j)
		}
		i := j.pending[k]
		m := s.next(i)
		if m == nil {
			noRoom = true
			break
		}
		placed = append(placed, c.assign(j, i, m))
		s.reinsert(m)
		if j.probing() {
			break
		}
		if begins && !whole {
			c.schedulingDue = true
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
		c.markTaskDirty(j, a.index, true)
	}
	return noRoom
}

// place decides on a machine for a task. From here on it counts as used; it
// is sent once the record is committed.
func (c *Core) assign(j *job, i int, m *machine) *assignment {
	j.tasks[i].attempt++
	a := &assignment{job: j, index: i, attempt: j.tasks[i].attempt, machine: m, phaseSince: c.now, protected: j.priority == wire.BestEffort && c.starving(j)}
	c.attach(a)
	return a
}

// updateReservations sees that every job begins. RetryLater jobs that fit pass one that does
// not, so a large one might wait for ever while small ones take each gap as it
// opens. Once it has waited too long, machines that it could use take no other
// work of its priority or below, until their room has grown to what it needs.
// What another waits for is not kept twice, and room that did not suffice in
// time is given up for a while.
func (c *Core) updateReservations(waiting []*job) {
	if c.opt.ReserveAfter <= 0 {
		return
	}
	kept := 0
	held := map[*job][]*machine{}
	for _, m := range c.machineList {
		k := m.reservedFor
		if k == nil {
			continue
		}
		if k.started || k.terminal() || c.now > k.reservedSince.Add(c.opt.ReserveFor) || !c.takesTasks(m) {
			m.reservedFor = nil
			c.schedulingDue = true
			continue
		}
		kept++
		held[k] = append(held[k], m)
	}
	for _, j := range c.starvingFirst(waiting) {
		if j.started {
			continue
		}
		// Time alone lets a job have room kept, or lose it again.
		c.scheduleAt(c.now.Add(time.Second))
		if c.now < j.waitingSince.Add(c.opt.ReserveAfter) {
			continue
		}
		if j.reservedSince != 0 && c.now > j.reservedSince.Add(c.opt.ReserveFor) {
			j.waitingSince, j.reservedSince = c.now.Add(-c.opt.ReserveAfter/2), 0
			continue
		}
		n := j.tasksTogether()
		if !c.fitsQuota(j, false, n) && !(j.priority == wire.BestEffort && c.starving(j)) {
			// Room is not what it waits for. What is lent comes and goes, though, and
			// idle-time work lives on it alone: it must find room when it comes.
			continue
		}
		kept += c.reserveMachines(j, n, held[j], kept)
	}
}

// maxReservedShare bounds the machines whose room is kept, as a part of all.
const maxReservedShare = 0.1

// reserveMachines keeps machines for n tasks of a job, beside those it holds: those with
// most room go first. With hundreds of jobs waiting it must look at the machines
// only for those that need more, and not at all once no more may be kept.
func (c *Core) reserveMachines(j *job, n int, held []*machine, kept int) int {
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
	most := maxReservedShare * float64(len(c.candidates))
	if n <= 0 || float64(kept) > most {
		return 0
	}
	c.MachinesExamined += uint64(len(c.candidates))
	var free []*machine
	for _, m := range c.candidates {
		if m.reservedFor == nil && placement.Allowed(j.spec, m.Site) && need.Within(m.total) {
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
		m.reservedFor = j
		added++
		if j.reservedSince == 0 {
			j.reservedSince = c.now
		}
		hold(m)
	}
	return added
}

// search finds machines for the tasks of one job, one after the other. All
// machines are looked at once; after that only those that took a task.
type candidateSearch struct {
	core       *Core
	job        *job
	need       placement.Resources
	zones      []*zoneHeap
	replicasOn map[*machine]int // tasks of a service by machine
}

// candidate is a machine with its score, less what the zone counts for.
type candidate struct {
	machine  *machine
	score    float64
	position int // in the order of hosts, which decides between equals
}

// zoneHeap holds the candidates of a zone, the best on top.
type zoneHeap struct {
	zone ids.Zone
	list []candidate
}

func (z *zoneHeap) Len() int { return len(z.list) }
func (z *zoneHeap) Less(i, k int) bool {
	a, b := &z.list[i], &z.list[k]
	return a.score > b.score || a.score == b.score && a.position < b.position
}
func (z *zoneHeap) Swap(i, k int) { z.list[i], z.list[k] = z.list[k], z.list[i] }
func (z *zoneHeap) Push(x any)    { z.list = append(z.list, x.(candidate)) }
func (z *zoneHeap) Pop() any {
	last := z.list[len(z.list)-1]
	z.list = z.list[:len(z.list)-1]
	return last
}

func (c *Core) newSearch(j *job) *candidateSearch {
	s := &candidateSearch{core: c, job: j, need: placement.Of(j.spec)}
	if j.spec.Service {
		s.replicasOn = map[*machine]int{}
		for _, a := range j.active {
			s.replicasOn[a.machine]++
		}
	}
	hasty := c.latencySensitive(j) && !j.allowColdStart
	c.MachinesExamined += uint64(len(c.candidates))
	for at, m := range c.candidates {
		if !s.need.Within(m.free()) || !placement.Allowed(j.spec, m.Site) || j.onlyZone != "" && m.Zone != j.onlyZone {
			continue
		}
		if c.reservedForOther(m, j) {
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

func (s *candidateSearch) zone(name ids.Zone) *zoneHeap {
	for _, z := range s.zones {
		if z.zone == name {
			return z
		}
	}
	z := &zoneHeap{zone: name}
	s.zones = append(s.zones, z)
	return z
}

func (s *candidateSearch) score(m *machine, sameZone int) float64 {
	o := s.core.offer(s.job, m)
	o.SameJob, o.SameZone = s.replicasOn[m], sameZone
	return placement.Score(s.job.spec, &o)
}

// next chooses the best machine for a task, or nil.
func (s *candidateSearch) next(index int) *machine {
	ref := ids.TaskRef{Job: s.job.id, Index: index}
	var best candidate
	for _, z := range s.zones {
		if !s.job.zones.Admits(s.job.spec, z.zone) {
			continue
		}
		var aside []candidate
		for z.Len() > 0 && z.list[0].machine.reportsTask(ref) {
			aside = append(aside, heap.Pop(z).(candidate))
		}
		if z.Len() > 0 {
			top := z.list[0]
			s.core.MachinesExamined++
			top.score = s.score(top.machine, s.job.zones[z.zone])
			if best.machine == nil || top.score > best.score || top.score == best.score && top.position < best.position {
				best = top
			}
		}
		for _, a := range aside {
			heap.Push(z, a)
		}
	}
	return best.machine
}

// took brings a machine that was given a task back to its rank.
func (s *candidateSearch) reinsert(m *machine) {
	if s.replicasOn != nil {
		s.replicasOn[m]++
	}
	z := s.zone(m.Zone)
	i := slices.IndexFunc(z.list, func(c candidate) bool { return c.machine == m })
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

// countSpotTime counts the time that spot machines were up.
func (c *Core) countSpotTime(passed time.Duration) {
	for _, m := range c.machineList {
		if m.Spot && m.reported && !m.returning {
			c.spotTime += passed
		}
	}
}

func (c *Core) offer(j *job, m *machine) placement.Offer {
	o := placement.Offer{Site: m.Site, Free: m.free(), Total: m.total,
		Cached:  m.images[j.spec.Image] != nil,
		Suspect: j.antiAffinity[m.host] != 0 || c.now < m.slowUntil || len(m.failuresByJob) > 0 && c.now < m.lastFailure.Add(quarantinePeriod)}
	if m.Spot {
		o.SpotRisk = c.spotRisk(j)
	}
	o.LatencySensitive = c.latencySensitive(j)
	o.HostsServices = m.replicas > 0
	o.Fetching = m.fetches[j.spec.Image] > 0
	return o
}

// preempt stops tasks for waiting work that may have its room now: work of
// lower priority for work of higher, and what other teams borrow for a team
// below its guarantee. It stops no more than the waiting work needs, and
// counts what is already leaving.
func (c *Core) preempt(waiting []*job) {
	c.preemptionRounds++
	r := &preemptor{core: c, borrowed: map[ids.Team]quota.Amount{}, committedQuota: map[ids.Team]quota.Amount{},
		stopped: map[*assignment]bool{}, infeasible: map[infeasibleRequest]bool{}}
	for _, t := range c.opt.Teams {
		r.borrowed[t.Name] = c.quotas.Borrowed(t.Name)
	}
	r.collectWorkloads()
	for _, j := range waiting {
		if len(j.pending) == 0 || j.probing() {
			continue
		}
		r.zones = maps.Clone(j.zones)
		if j.needsAllTasks() {
			r.preemptForWholeJob(j)
			continue
		}
		r.plans = nil
		for range j.pending {
			victims, ok := r.planPreemption(j, nil)
			if !ok {
				break
			}
			r.evict(j, victims)
		}
	}
}

// tally takes in what is leaving already and whose work there is to stop.
func (r *preemptor) collectWorkloads() {
	for _, w := range slices.SortedFunc(maps.Keys(r.core.workloads), workload.compare) {
		on := r.core.workloads[w]
		if on.leaving > 0 {
			r.borrowed[w.team] = r.borrowed[w.team].Minus(on.freeing)
			r.committedQuota[w.team] = r.committedQuota[w.team].Minus(on.freeing)
		}
		if on.staying > 0 {
			r.presentWorkloads = append(r.presentWorkloads, w)
		}
	}
}

// coming is what is free on a machine or about to be.
func (r *preemptor) expectedFree(m *machine) placement.Resources {
	if m.planRound != r.core.preemptionRounds {
		m.planRound, m.victimCache = r.core.preemptionRounds, nil
		m.plannedFree = m.free()
		for _, a := range m.taskList {
			if a.stopReason != stopNone {
				m.plannedFree = m.plannedFree.Plus(placement.Of(a.job.spec))
			}
		}
	}
	return m.plannedFree
}

// room is the state of one search for victims.
type preemptor struct {
	core           *Core
	borrowed       map[ids.Team]quota.Amount // what teams use beyond their guarantee
	committedQuota map[ids.Team]quota.Amount // quota spoken for, less what is being freed
	stopped        map[*assignment]bool
	// zones counts a job's tasks with those that room is being made for.
	zones            placement.Zones
	presentWorkloads []workload // whose work there is at all
	// failed holds what no room could be made for in this pass. Nothing gets
	// easier during a pass, so the like of it is not tried again.
	infeasible map[infeasibleRequest]bool
	// options are the machines for the present job, as long as its claim
	// stays the same.
	plans      []preemptionPlan
	plansClaim claim
}

// work is whose and how important some tasks are.
type workload struct {
	team     ids.Team
	priority wire.Priority
}

func (w workload) compare(o workload) int {
	return cmp.Or(strings.Compare(string(w.team), string(o.team)), cmp.Compare(w.priority, o.priority))
}

// workloadCount counts the tasks on machines that were not told to stop, and
// those that were and what they will free. Counting them anew in each pass
// took a fifth of the processor with ten thousand tasks.
type workloadCount struct {
	staying, leaving int
	freeing          quota.Amount
}

// note keeps the count of tasks on machines.
func (c *Core) countTask(a *assignment, staying, leaving int) {
	w := workload{a.job.spec.Team, a.job.priority}
	on := c.workloads[w]
	on.staying += staying
	on.leaving += leaving
	if on.freeing = on.freeing.Plus(a.job.amount().Times(leaving)); on.leaving == 0 {
		on.freeing = quota.Amount{} // no rest of rounding
	}
	c.workloads[w] = on
}

// hopeless is all that decides whether room can be made for a task.
type infeasibleRequest struct {
	placementRequest
	team  ids.Team
	claim claim
}

// option is a machine where room could be made, and at what cost.
type preemptionPlan struct {
	machine *machine
	victims []*assignment
	cost    float64
}

// preemptForWholeJob makes room for all waiting tasks of a job, or for none.
func (r *preemptor) preemptForWholeJob(j *job) {
	over, owed, stopped := maps.Clone(r.borrowed), maps.Clone(r.committedQuota), maps.Clone(r.stopped)
	coming := map[*machine]placement.Resources{}
	var all []*assignment
	r.plans = nil
	for range j.pending {
		victims, ok := r.planPreemption(j, coming)
		if !ok {
			r.borrowed, r.committedQuota, r.stopped = over, owed, stopped
			for m, free := range coming {
				m.plannedFree = free
			}
			return
		}
		all = append(all, victims...)
	}
	r.evict(j, all)
}

func (r *preemptor) evict(j *job, victims []*assignment) {
	for _, a := range victims {
		if a.job.spec.Team != j.spec.Team {
			r.core.quotas.SuspendLending(j.spec.Team, r.core.now.Add(r.core.opt.ReclaimHold))
		}
		// Evicted work waits a moment, so that the room goes to the work that
		// it was made for.
		a.job.retryAt = max(a.job.retryAt, r.core.now.Add(evictionBackoff))
		r.core.stopTask(a, stopPreempted)
	}
}

// evictionBackoff is how long evicted work stays out of admission.
const evictionBackoff = 500 * time.Millisecond

// claim is by what right a task may have room made for it.
type claim uint8

const (
	claimNone    claim = iota
	claimOwn           // its team is at its limit: only by its own lower work
	claimBorrow        // by work of lower priority that is its own or borrows too
	claimNominal       // by work of lower priority, and by what others borrow
)

func (r *preemptor) claim(j *job) claim {
	m := r.committedQuota[j.spec.Team].Plus(j.amount())
	switch {
	case !j.deferred && r.core.quotas.FitsNominal(j.spec.Team, m):
		return claimNominal
	case r.core.quotas.FitsBorrowing(j.spec.Team, m, r.core.now):
		return claimBorrow
	case j.priority > wire.BestEffort:
		return claimOwn
	}
	return claimNone
}

// stoppable tells whether there is any work that may be stopped by such a
// claim.
func (r *preemptor) anyStoppable(j *job, by claim) bool {
	for _, w := range r.presentWorkloads {
		free, asBorrower := mayStop(j, by, w.team, w.priority)
		if free || asBorrower && !r.borrowed[w.team].Within(quota.Amount{}) {
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
	own, lower := team == j.spec.Team, prio < j.priority
	free = lower && (own || by == claimNominal)
	asBorrower = !own && (by == claimNominal || by == claimBorrow && lower)
	return free, asBorrower
}

// make finds room for one more task of a job, and the tasks that must be
// stopped for it. In before, if there is one, it notes what was coming on the
// machine that it uses.
func (r *preemptor) planPreemption(j *job, before map[*machine]placement.Resources) ([]*assignment, bool) {
	by := r.claim(j)
	if by == claimNone || by == claimOwn && !r.anyStoppable(j, by) {
		return nil, false
	}
	// What a gang or a service needs together matters for admission, not for
	// the one task that room is made for here.
	sh, alike := r.core.requestOf(j, r.zones)
	sh.tasksTogether = 0
	if r.core.latencySensitive(j) {
		sh.image = j.spec.Image
	}
	key := infeasibleRequest{sh, j.spec.Team, by}
	keyed := alike && len(j.antiAffinity) == 0
	if keyed && r.infeasible[key] {
		return nil, false
	}
	best := r.cheapestPlan(j, by)
	if best == nil {
		if keyed {
			r.infeasible[key] = true
		}
		return nil, false
	}
	m, victims := best.machine, best.victims
	if r.core.latencySensitive(j) && m.images[j.spec.Image] == nil && !j.allowColdStart {
		j.allowColdStart, r.core.schedulingDue = true, true
	}
	// Room for one replica beside the last would be room in the wrong zone,
	// made again and again.
	r.zones[m.Zone]++
	free, team := r.expectedFree(m), j.spec.Team
	if _, noted := before[m]; before != nil && !noted {
		before[m] = free
	}
	r.committedQuota[team] = r.committedQuota[team].Plus(j.amount())
	for _, a := range victims {
		s := a.job.spec
		r.stopped[a] = true
		free = free.Plus(placement.Of(s))
		r.borrowed[s.Team] = r.borrowed[s.Team].Minus(a.job.amount())
		r.committedQuota[s.Team] = r.committedQuota[s.Team].Minus(a.job.amount())
	}
	m.plannedFree = free.Minus(placement.Of(j.spec))
	if o, ok := r.planOn(j, m, by); ok {
		*best = o
	} else {
		best.machine = nil
	}
	return victims, true
}

// best finds the cheapest machine to make room on. All machines are looked at
// once for a job and a claim. Costs only rise within a pass, so afterwards the
// cheapest is looked at again before it is taken.
func (r *preemptor) cheapestPlan(j *job, by claim) *preemptionPlan {
	if r.plans == nil || r.plansClaim != by {
		r.plans, r.plansClaim = make([]preemptionPlan, 0, 16), by
		stoppable := r.anyStoppable(j, by)
		r.core.MachinesExamined += uint64(len(r.core.candidates))
		for _, m := range r.core.candidates {
			if !stoppable && !placement.Of(j.spec).Within(r.expectedFree(m)) {
				continue
			}
			if o, ok := r.planOn(j, m, by); ok {
				r.plans = append(r.plans, o)
			}
		}
	}
	for {
		var best *preemptionPlan
		for i := range r.plans {
			if o := &r.plans[i]; o.machine != nil && (best == nil || o.cost < best.cost) && r.zones.Admits(j.spec, o.machine.Zone) {
				best = o
			}
		}
		if best == nil {
			return nil
		}
		if len(best.victims) == 0 {
			return best
		}
		again, ok := r.planOn(j, best.machine, by)
		switch {
		case !ok:
			best.machine = nil
		case again.cost > best.cost:
			*best = again
		default:
			*best = again
			return best
		}
	}
}

// costWithoutVictims ranks machines that need no victim before all others.
const costWithoutVictims = -1

// option tells what it would cost to make room on a machine.
func (r *preemptor) planOn(j *job, m *machine, by claim) (preemptionPlan, bool) {
	if !placement.Allowed(j.spec, m.Site) || r.core.hasAntiAffinity(j, m) || r.core.reservedForOther(m, j) && r.core.starving(m.reservedFor) {
		return preemptionPlan{}, false
	}
	need, free := placement.Of(j.spec), r.expectedFree(m)
	warm, hasty := m.images[j.spec.Image] != nil, r.core.latencySensitive(j)
	o := preemptionPlan{machine: m}
	if by == claimOwn || !need.Within(free) {
		if !need.Within(m.total) {
			return o, false
		}
		var ok bool
		if o.victims, o.cost, ok = r.chooseVictims(j, m, by, need, free); !ok {
			return o, false
		}
	} else if warm || !hasty {
		o.cost = costWithoutVictims
		return o, true
	}
	if !warm {
		o.cost += missingImageCost
	}
	return o, true
}

// missingImageCost is what it costs to make room where the image would have to be
// fetched first.
const missingImageCost = 80

// victim is a task that might be stopped, and what its end loses.
type victim struct {
	assignment *assignment
	cost       float64
}

// losses lists a machine's tasks by what their end loses, once in a pass.
func (r *preemptor) victimsByCost(m *machine) []victim {
	if m.victimCache == nil {
		m.victimCache = make([]victim, 0, len(m.taskList))
		for _, a := range m.taskList {
			if a.stopReason == stopNone && !r.core.preemptionProtected(a) {
				m.victimCache = append(m.victimCache, victim{a, r.core.evictionCost(a)})
			}
		}
		slices.SortStableFunc(m.victimCache, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
		r.core.MachinesExamined++
	}
	return m.victimCache
}

// shelter is how long the first tasks of idle-time work that starved run undisturbed: all
// others stop it, and stopped at once it would have begun for nothing. Work of other
// priorities is not sheltered: in its place tasks that have run for longer would be stopped.
const protectionPeriod = 45 * time.Second

func (c *Core) preemptionProtected(a *assignment) bool {
	return a.protected && (a.phase != wire.TaskRunning || c.runTime(a) < protectionPeriod)
}

// victims picks the tasks on a machine whose end loses least.
func (r *preemptor) chooseVictims(j *job, m *machine, by claim, need, room placement.Resources) (out []*assignment, cost float64, ok bool) {
	// With no quota left, the victims must free that as well.
	short := quota.Amount{}
	if by == claimOwn {
		short = j.amount()
	}
	var taken map[ids.Team]quota.Amount // of borrowers
	for _, v := range r.victimsByCost(m) {
		s := v.assignment.job.spec
		free, asBorrower := mayStop(j, by, s.Team, v.assignment.job.priority)
		if !free && !asBorrower || r.stopped[v.assignment] || v.assignment.stopReason != stopNone {
			continue
		}
		if !free {
			if !taken[s.Team].Plus(v.assignment.job.amount()).Within(r.borrowed[s.Team]) {
				continue
			}
			if taken == nil {
				taken = map[ids.Team]quota.Amount{}
			}
			taken[s.Team] = taken[s.Team].Plus(v.assignment.job.amount())
		}
		out = append(out, v.assignment)
		cost += v.cost
		room = room.Plus(placement.Of(s))
		short = short.Minus(v.assignment.job.amount())
		if need.Within(room) && short.Within(quota.Amount{}) {
			return out, cost, true
		}
	}
	return nil, 0, false
}

// evictionCost is what is lost when a task is stopped: the work since its last
// checkpoint, and more for higher priorities.
func (c *Core) evictionCost(a *assignment) float64 {
	s := a.job.spec
	lost := 0.0
	if a.phase == wire.TaskRunning {
		lost = c.now.Sub(a.phaseSince).Seconds()
		if s.CheckpointEveryS > 0 {
			lost = min(lost, s.CheckpointEveryS) + s.CheckpointS
		}
	}
	// What was restarted before holds up its job, which ends with its last
	// task: it is stopped after others.
	loss := (lost + 2) * s.CPUs * float64(a.attempt)
	for range int(a.job.priority) {
		loss *= 3
	}
	if s.Service {
		loss += 1000
	}
	return loss
}
