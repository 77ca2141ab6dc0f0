package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// waiting lists the jobs with tasks to place: by priority, then creation time.
func (c *Core) waiting() []*job {
	var out []*job
	for _, j := range c.jobs {
		if !j.over() && len(j.pending) > 0 && c.now >= j.retryAt {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if a.spec.Priority != b.spec.Priority {
			return a.spec.Priority > b.spec.Priority
		}
		if a.at != b.at {
			return a.at < b.at
		}
		return a.id < b.id
	})
	return out
}

// shape is what decides whether a task finds any machine at all. Once one
// task of a shape found none, the rest of the pass need not look again.
type shape struct {
	res  placement.Resources
	spot bool
	zone ids.Zone
}

// hasty tells whether a job's class must start sooner than a machine boots.
func (c *Core) hasty(j *job) bool {
	_, ok := c.opt.Impatient[j.spec.Class]
	return ok
}

func (c *Core) shapeOf(j *job) (shape, bool) {
	s := j.spec
	// What one job may not use, another of its size may.
	if s.Spread || s.OneZone || len(s.Types) > 0 || len(j.failedOn) > 0 || c.hasty(j) && !j.coldOK {
		return shape{}, false
	}
	return shape{res: placement.Of(s), spot: s.Spot, zone: s.Zone}, true
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
}

// admitAll places what fits of the waiting jobs.
func (c *Core) admitAll(waiting []*job) {
	full := map[shape]bool{}
	// A team's lower work must not slip into the rest of its guarantee past
	// higher work that has to borrow: the higher would stop it again.
	borrower := map[ids.Team]wire.Priority{}
	for _, nominal := range []bool{true, false} {
		passed := 0
		for _, j := range waiting {
			if len(j.pending) == 0 {
				continue
			}
			if nominal {
				j.deferred = j.spec.Priority < borrower[j.spec.Team]
				if j.deferred {
					continue
				}
			}
			sh, ok := c.shapeOf(j)
			if ok && full[sh] {
				continue
			}
			if noRoom := c.admit(j, nominal); noRoom && ok && !j.whole() {
				full[sh] = true
			}
			if nominal && c.mustBorrow(j) {
				borrower[j.spec.Team] = max(borrower[j.spec.Team], j.spec.Priority)
			}
			if len(j.pending) > 0 {
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

// mustBorrow tells whether a job's waiting tasks fit quota, but not within the
// guarantee.
func (c *Core) mustBorrow(j *job) bool {
	n := 1
	if j.whole() {
		n = len(j.pending)
	}
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
	first := c.pick(j, j.pending[len(j.pending)-1])
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
	for k := len(j.pending) - 1; k >= 0; k-- {
		if !c.fitsQuota(j, nominal, 1) {
			break
		}
		i := j.pending[k]
		m := c.pick(j, i)
		if m == nil {
			noRoom = true
			break
		}
		placed = append(placed, c.place(j, i, m))
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
		c.touch(j, a.index)
	}
	return noRoom
}

// place decides on a machine for a task. From here on it counts as used; it
// is sent once the record is committed.
func (c *Core) place(j *job, i int, m *machine) *assignment {
	j.tasks[i].attempt++
	a := &assignment{job: j, index: i, attempt: j.tasks[i].attempt, m: m, since: c.now}
	c.attach(a)
	return a
}

// pick chooses the best machine for a task, or nil.
func (c *Core) pick(j *job, index int) *machine {
	var best *machine
	bestScore := 0.0
	ref := ids.TaskRef{Job: j.id, Index: index}
	need := placement.Of(j.spec)
	hasty := c.hasty(j)
	for _, m := range c.order {
		if !c.takesTasks(m) || !placement.Allowed(j.spec, m.Site) ||
			!need.Within(m.free()) || !j.zones.Admits(j.spec, m.Zone) || m.showsAny(ref) {
			continue
		}
		if j.only != "" && m.Zone != j.only {
			continue
		}
		if hasty && !j.coldOK && m.images[j.spec.Image] == nil {
			continue // a fetch takes longer than making room where the image is
		}
		o := c.offer(j, m)
		if s := placement.Score(j.spec, &o); best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
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
		Cached: m.images[j.spec.Image] != nil, SameZone: j.zones[m.Zone],
		Suspect: j.failedOn[m.host] > 0 || c.now < m.slowUntil || len(m.errors) > 0 && c.now < m.lastError.Add(quarantineFor)}
	if m.Spot {
		o.SpotRisk = c.spotRisk(j)
	}
	o.Hasty = c.hasty(j)
	if !m.Spot || !o.Cached || j.spec.Service {
		for _, a := range m.tasks {
			if a.job.spec.Service && a.stop == stopNone {
				o.Pinned = true
			}
			if a.job == j {
				o.SameJob++
			}
			if a.job.spec.Image == j.spec.Image && a.stop == stopNone {
				o.Fetching = true
			}
		}
	}
	return o
}

// makeRoom stops tasks for waiting work that may have its room now: work of
// lower priority for work of higher, and what other teams borrow for a team
// below its guarantee. It stops no more than the waiting work needs, and
// counts what is already leaving.
func (c *Core) makeRoom(waiting []*job) {
	r := &room{c: c, coming: map[*machine]placement.Resources{}, over: map[ids.Team]quota.Amount{},
		owed: map[ids.Team]quota.Amount{}, stopped: map[*assignment]bool{}}
	for _, m := range c.order {
		if !c.takesTasks(m) {
			continue
		}
		free := m.free()
		for _, a := range m.tasks {
			if a.stop != stopNone {
				free = free.Plus(placement.Of(a.job.spec))
			}
		}
		r.coming[m] = free
	}
	for _, t := range c.opt.Teams {
		r.over[t.Name] = c.book.Over(t.Name)
	}
	for _, j := range c.jobs {
		for _, a := range j.active {
			if a.stop != stopNone {
				r.over[j.spec.Team] = r.over[j.spec.Team].Minus(j.amount())
				r.owed[j.spec.Team] = r.owed[j.spec.Team].Minus(j.amount())
			}
		}
	}
	for _, j := range waiting {
		r.zones = maps.Clone(j.zones)
		if j.whole() {
			r.makeWhole(j)
			continue
		}
		for range j.pending {
			victims, ok := r.make(j)
			if !ok {
				break
			}
			r.stop(j, victims)
		}
	}
}

// room is the state of one search for victims.
type room struct {
	c       *Core
	coming  map[*machine]placement.Resources // what is free or about to be
	over    map[ids.Team]quota.Amount        // what teams use beyond their guarantee
	owed    map[ids.Team]quota.Amount        // quota spoken for, less what is being freed
	stopped map[*assignment]bool
	// zones counts a job's tasks with those that room is being made for.
	zones placement.Zones
}

// makeWhole makes room for all waiting tasks of a job, or for none.
func (r *room) makeWhole(j *job) {
	coming, over, owed, stopped := maps.Clone(r.coming), maps.Clone(r.over), maps.Clone(r.owed), maps.Clone(r.stopped)
	var all []*assignment
	for range j.pending {
		victims, ok := r.make(j)
		if !ok {
			r.coming, r.over, r.owed, r.stopped = coming, over, owed, stopped
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
	case j.spec.Priority > wire.BestEffort:
		return claimOwn
	}
	return claimNone
}

// make finds room for one more task of a job, and the tasks that must be
// stopped for it.
func (r *room) make(j *job) ([]*assignment, bool) {
	by := r.claim(j)
	if by == claimNone {
		return nil, false
	}
	need := placement.Of(j.spec)
	hasty := r.c.hasty(j)
	var best *machine
	var victims []*assignment
	bestCost := 0.0
	for _, m := range r.c.order {
		free, ok := r.coming[m]
		if !ok || !placement.Allowed(j.spec, m.Site) || !r.zones.Admits(j.spec, m.Zone) || j.failedOn[m.host] > 0 {
			continue
		}
		warm := m.images[j.spec.Image] != nil
		var v []*assignment
		cost := 0.0
		if by == claimOwn || !need.Within(free) {
			if !need.Within(m.total) {
				continue
			}
			v, cost, ok = r.victims(j, m, by, need, free)
		} else if warm || !hasty {
			best, victims = m, nil
			break
		}
		if !warm {
			cost += missingImage
		}
		if ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = m, v, cost
		}
	}
	if best == nil {
		return nil, false
	}
	if hasty && best.images[j.spec.Image] == nil && !j.coldOK {
		j.coldOK, r.c.changed = true, true
	}
	// Room for one replica beside the last would be room in the wrong zone,
	// made again and again.
	r.zones[best.Zone]++
	free, team := r.coming[best], j.spec.Team
	r.owed[team] = r.owed[team].Plus(j.amount())
	for _, a := range victims {
		s := a.job.spec
		r.stopped[a] = true
		free = free.Plus(placement.Of(s))
		r.over[s.Team] = r.over[s.Team].Minus(a.job.amount())
		r.owed[s.Team] = r.owed[s.Team].Minus(a.job.amount())
	}
	r.coming[best] = free.Minus(need)
	return victims, true
}

// missingImage is what it costs to make room where the image would have to be
// fetched first.
const missingImage = 80

// victims picks the tasks on a machine whose end loses least.
func (r *room) victims(j *job, m *machine, by claim, need, room placement.Resources) ([]*assignment, float64, bool) {
	type victim struct {
		a        *assignment
		cost     float64
		borrowed bool // only what its team uses beyond its guarantee may go
	}
	var list []victim
	for _, a := range m.sorted() {
		if a.stop != stopNone || r.stopped[a] {
			continue
		}
		v := a.job.spec
		own, lower := v.Team == j.spec.Team, v.Priority < j.spec.Priority
		// Admission lets those within their guarantee go before borrowers of
		// any priority. Were borrowers to stop them for their priority, the
		// two would take each other's room for ever.
		free := lower && (own || by == claimNominal)
		asBorrower := !own && (by == claimNominal || by == claimBorrow && lower)
		if free || asBorrower {
			list = append(list, victim{a, r.c.lossOf(a), !free})
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].cost < list[k].cost })
	over := maps.Clone(r.over)
	// With no quota left, the victims must free that as well.
	short := quota.Amount{}
	if by == claimOwn {
		short = j.amount()
	}
	var out []*assignment
	cost := 0.0
	for _, v := range list {
		s := v.a.job.spec
		if v.borrowed {
			if !v.a.job.amount().Within(over[s.Team]) {
				continue
			}
			over[s.Team] = over[s.Team].Minus(v.a.job.amount())
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
	loss := (lost + 2) * s.CPUs
	for range int(s.Priority) {
		loss *= 3
	}
	if s.Service {
		loss += 1000
	}
	return loss
}
