package scheduler

import (
	"sort"

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
	res     placement.Resources
	spot    bool
	zone    ids.Zone
	types   string
	oneZone bool
}

func shapeOf(s *wire.Spec) (shape, bool) {
	if s.Spread || s.OneZone || len(s.Types) > 0 {
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
	full := map[shape]bool{}
	for _, nominal := range []bool{true, false} {
		passed := 0
		for _, j := range waiting {
			if len(j.pending) == 0 {
				continue
			}
			sh, ok := shapeOf(j.spec)
			if ok && full[sh] {
				continue
			}
			if noRoom := c.admit(j, nominal); noRoom && ok && !j.spec.Service {
				full[sh] = true
			}
			if len(j.pending) > 0 {
				if passed++; passed > c.opt.PassOver {
					break
				}
			}
		}
	}
	c.makeRoom(waiting)
}

func (c *Core) fitsQuota(j *job, nominal bool, n int) bool {
	m := j.amount().Times(n)
	if nominal {
		return c.book.FitsNominal(j.spec.Team, m)
	}
	return c.book.FitsBorrowing(j.spec.Team, m, c.now)
}

// admit places what fits of a job: a service whole when it starts, an array
// in slices that fit. noRoom tells that no machine had room.
func (c *Core) admit(j *job, nominal bool) (noRoom bool) {
	whole := j.spec.Service && len(j.active) == 0
	if whole && !c.fitsQuota(j, nominal, len(j.pending)) {
		return false
	}
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
	for _, m := range c.order {
		if !c.usable(m) || c.now < m.quarantine || !placement.Allowed(j.spec, m.Site) ||
			!need.Within(m.free()) || !j.zones.Admits(j.spec, m.Zone) || m.showsAny(ref) {
			continue
		}
		o := c.offer(j, m)
		if s := placement.Score(j.spec, &o); best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

func (c *Core) offer(j *job, m *machine) placement.Offer {
	o := placement.Offer{Site: m.Site, Free: m.free(), Total: m.total,
		Cached: m.images[j.spec.Image] != nil, SameZone: j.zones[m.Zone],
		Suspect: j.failedOn[m.host] > 0 || len(m.errors) > 0 && c.now < m.lastError.Add(quarantineFor)}
	if !o.Cached || j.spec.Service {
		for _, a := range m.tasks {
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
	r := &room{c: c, coming: map[*machine]placement.Resources{}, over: map[ids.Team]quota.Amount{}}
	for _, m := range c.order {
		if !c.usable(m) || c.now < m.quarantine {
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
			}
		}
	}
	owed := map[ids.Team]quota.Amount{}
	for _, j := range waiting {
		for range j.pending {
			m := j.amount()
			nominal := c.book.FitsNominal(j.spec.Team, owed[j.spec.Team].Plus(m))
			if !nominal && !(j.spec.Priority > wire.BestEffort && c.book.FitsBorrowing(j.spec.Team, owed[j.spec.Team].Plus(m), c.now)) {
				break
			}
			if !r.make(j, nominal) {
				break
			}
			owed[j.spec.Team] = owed[j.spec.Team].Plus(m)
		}
	}
}

// room is the state of one search for victims.
type room struct {
	c      *Core
	coming map[*machine]placement.Resources
	over   map[ids.Team]quota.Amount
}

// make finds room for one more task of a job, by stopping tasks if it must.
func (r *room) make(j *job, nominal bool) bool {
	need := placement.Of(j.spec)
	var best *machine
	var bestVictims []*assignment
	bestCost := 0.0
	for _, m := range r.c.order {
		free, ok := r.coming[m]
		if !ok || !placement.Allowed(j.spec, m.Site) || !j.zones.Admits(j.spec, m.Zone) || j.failedOn[m.host] > 0 {
			continue
		}
		if need.Within(free) {
			r.coming[m] = free.Minus(need)
			return true
		}
		if !need.Within(m.total) {
			continue
		}
		victims, cost, ok := r.victims(j, m, nominal, need, free)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = m, victims, cost
		}
	}
	if best == nil {
		return false
	}
	free := r.coming[best]
	for _, a := range bestVictims {
		free = free.Plus(placement.Of(a.job.spec))
		if a.job.spec.Team != j.spec.Team {
			r.over[a.job.spec.Team] = r.over[a.job.spec.Team].Minus(a.job.amount())
			r.c.book.Hold(j.spec.Team, r.c.now.Add(r.c.opt.ReclaimHold))
		}
		r.c.stop(a, stopPreempted)
	}
	r.coming[best] = free.Minus(need)
	return true
}

// victims picks the tasks on a machine whose end loses least.
func (r *room) victims(j *job, m *machine, nominal bool, need, free placement.Resources) ([]*assignment, float64, bool) {
	type victim struct {
		a    *assignment
		cost float64
	}
	var list []victim
	for _, a := range m.sorted() {
		if a.stop != stopNone {
			continue
		}
		v := a.job.spec
		lower := v.Priority < j.spec.Priority
		borrowed := nominal && v.Team != j.spec.Team && a.job.amount().Within(r.over[v.Team])
		if !lower && !borrowed {
			continue
		}
		list = append(list, victim{a, r.c.lossOf(a)})
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].cost < list[k].cost })
	over := map[ids.Team]quota.Amount{}
	for t, o := range r.over {
		over[t] = o
	}
	var out []*assignment
	cost := 0.0
	for _, v := range list {
		s := v.a.job.spec
		if s.Priority >= j.spec.Priority {
			if !v.a.job.amount().Within(over[s.Team]) {
				continue
			}
			over[s.Team] = over[s.Team].Minus(v.a.job.amount())
		}
		out = append(out, v.a)
		cost += v.cost
		free = free.Plus(placement.Of(s))
		if need.Within(free) {
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
