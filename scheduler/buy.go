package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// fleetEvery is how often the fleet is planned.
const fleetEvery = time.Second

// peakWindow is how long a class's peak is remembered.
const peakWindow = 2 * time.Minute

// peak is the most tasks of a class at once, lately.
type peak struct {
	spec *wire.Spec
	now  int
	ring [4]int // by half minute
	at   int
	// Jobs and tasks that came, by half minute.
	jobs, tasks [4]int
}

// coming is how many tasks to expect within a time: those that came in the
// window, and three times their spread. Tasks come in jobs, which makes the
// spread as much wider.
func (p *peak) coming(within time.Duration) float64 {
	jobs, tasks := 0, 0
	for i := range p.jobs {
		jobs += p.jobs[i]
		tasks += p.tasks[i]
	}
	if jobs == 0 {
		return 0
	}
	part := within.Seconds() / peakWindow.Seconds()
	size := float64(tasks) / float64(jobs)
	return size * (float64(jobs)*part + 3*math.Sqrt(float64(jobs)*part))
}

// arrived notes a job that came.
func (c *Core) arrived(s *wire.Spec) {
	if p := c.peaks[s.Class]; p != nil {
		p.turn(c.now)
		p.jobs[p.at%4]++
		p.tasks[p.at%4] += s.Tasks
	}
}

// turn moves on to the half minute of now.
func (p *peak) turn(now ids.Instant) {
	slot := int(time.Duration(now) / (peakWindow / 4))
	for ; p.at < slot; p.at++ {
		if slot-p.at > 4 {
			p.at = slot - 5
			continue
		}
		next := (p.at + 1) % 4
		p.ring[next], p.jobs[next], p.tasks[next] = 0, 0, 0
	}
}

func (p *peak) value() int {
	m := p.now
	for _, v := range p.ring {
		m = max(m, v)
	}
	return m
}

// planFleet rents for what was admitted or could be and found no place, and
// gives back what stands idle.
func (c *Core) planFleet() {
	if c.now < c.lastFleet.Add(fleetEvery) {
		return
	}
	c.noteSpot(c.now.Sub(c.lastFleet))
	c.lastFleet = c.now
	c.notePeaks()
	// A predecessor's machines may not be listed yet; rented again, they
	// would be there twice.
	if c.opt.Predecessor && c.now < c.started.Add(2*c.opt.ListLag) {
		return
	}
	p := &fleet.Planner{Types: c.typeList, Held: map[placement.Site]int{}, Budget: math.MaxInt32,
		Blocked: func(s placement.Site) bool { return c.cutOff(s.Zone) || c.backoff.Blocked(s, c.now) }}
	if c.opt.MaxMachines > 0 {
		p.Budget = c.opt.MaxMachines - len(c.order)
		for _, n := range c.renting {
			p.Budget -= n
		}
	}
	for _, m := range c.order {
		p.Held[m.Site]++
		if !m.reported && !m.returning && m.typ != nil && !c.late(m) {
			p.Coming(m.Site, m.free())
		}
	}
	for _, s := range slices.SortedFunc(maps.Keys(c.renting), placement.Site.Compare) {
		p.Held[s] += c.renting[s]
		if t := c.types[s.Type]; t != nil {
			for range c.renting[s] {
				p.Coming(s, placement.OfType(t))
			}
		}
	}
	c.demand(p)
	c.headroom(p)
	c.replacements(p) // last, as it counts free room that the others have used
	for _, b := range p.Buys() {
		for left := b.Count; left > 0 && c.mayBook(b.Site); left -= mostRented {
			n := min(left, mostRented)
			c.nextBooking++
			c.renting[b.Site] += n
			c.bookings[b.Site]++
			c.out.Rent = append(c.out.Rent, wire.Rental{
				Request: fmt.Sprintf("r-%d-%d", c.opt.Stamp, c.nextBooking),
				Type:    b.Type, Zone: b.Zone, Spot: b.Spot, Count: n,
			})
		}
	}
	c.returnIdle()
}

// lateBoot is how many times as long as its type's boot, as it has been lately, a
// machine may take before it counts as late.
const lateBoot = 1.7

// late tells whether a machine takes so long to come up that it may never do so. What
// waits for it has another rented in its place, unless all of its type take as long
// now: then another would come no sooner.
func (c *Core) late(m *machine) bool {
	if m.reported || m.typ == nil || !m.ours {
		return false
	}
	usual := max(1, c.boots[m.Type])
	return c.now > m.known.Add(ids.Seconds(lateBoot*usual*m.typ.BootS)+c.opt.Report)
}

// noteBoot takes in how long a machine took to come up, as a part of its type's time.
func (c *Core) noteBoot(m *machine) {
	if m.typ == nil || !m.ours || m.typ.BootS <= 0 {
		return
	}
	took := min(c.now.Sub(m.known).Seconds()/m.typ.BootS, c.opt.BootFactor)
	if was := c.boots[m.Type]; was > 0 {
		took = 0.8*was + 0.2*took
	}
	c.boots[m.Type] = took
}

const (
	// mostRented is the protocol's limit for one rental.
	mostRented = 50
	// mostBookings bounds the rentals under way for one site.
	mostBookings = 3
)

// mayBook tells whether one more rental may be under way for a site. Where the
// cloud lacked machines lately one is enough to ask: more of them took all
// calls for seconds, only to be refused too.
func (c *Core) mayBook(s placement.Site) bool {
	if c.backoff.Lately(s) {
		return c.bookings[s] == 0
	}
	return c.bookings[s] < mostBookings
}

// demand adds the waiting tasks that quota would let in.
func (c *Core) demand(p *fleet.Planner) {
	type taken struct {
		t ids.Team
		m quota.Amount
	}
	var all []taken
	counted := map[*job]int{}
	// Machines for borrowers may be rented up to the teams' limits.
	c.book.SetSurplus(quota.Amount{CPUs: math.MaxInt32, GPUs: math.MaxInt32})
	defer c.countSurplus()
	var later []fleet.Demand
	waiting := c.waiting()
	for _, nominal := range []bool{true, false} {
		for _, j := range waiting {
			if j.whole() && !c.fitsQuota(j, nominal, len(j.pending)) {
				continue
			}
			// The most that fit; that more fit whenever fewer do makes the
			// search by halves right.
			n := sort.Search(len(j.pending)-counted[j], func(n int) bool { return !c.fitsQuota(j, nominal, n+1) })
			if j.probes() {
				n = min(n, 1-counted[j])
			}
			if n <= 0 {
				continue
			}
			c.book.Take(j.spec.Team, j.amount().Times(n))
			all = append(all, taken{j.spec.Team, j.amount().Times(n)})
			counted[j] += n
			d := fleet.Demand{Spec: j.spec, Count: n, Zones: j.zones}
			if j.whole() || c.hasty(j) || c.now > j.waits.Add(c.bootOf(j.spec)) {
				p.Add(d)
			} else {
				later = append(later, d)
			}
		}
	}
	for _, t := range all {
		c.book.Free(t.t, t.m)
	}
	if len(later) == 0 {
		return
	}
	// What need not start sooner than a machine boots can as well have the
	// room of tasks that end before one would be up. What has waited for that
	// long already has seen others take it.
	for _, m := range c.order {
		if c.takesTasks(m) && m.services < len(m.list) {
			p.Coming(m.Site, c.roomSoon(m))
		}
	}
	for _, d := range later {
		p.Add(d)
	}
}

// roomSoon is the room that a machine will have when one like it could have
// been rented and booted, going by the estimates and by how long tasks of
// their classes have run so far.
func (c *Core) roomSoon(m *machine) placement.Resources {
	free := m.free()
	by := c.now.Add(ids.Seconds(0.8 * m.typ.BootS))
	for _, a := range m.list {
		if !a.job.spec.Service && (a.stop != stopNone || a.phase == wire.TaskRunning && a.since.Add(c.expected(a.job.spec)) < by) {
			free = free.Plus(placement.Of(a.job.spec))
		}
	}
	return free
}

// expected is how long a task should run. Estimates of a class are mostly too
// high or mostly too low on some days.
func (c *Core) expected(s *wire.Spec) time.Duration {
	factor := 1.0
	if r := c.paces[s.Class]; r > 0 {
		factor = r
	}
	return ids.Seconds(factor * s.EstimateS)
}

// noteEstimate takes in how long a task of a class ran against its estimate.
func (c *Core) noteEstimate(s *wire.Spec, ran time.Duration) {
	if s.EstimateS <= 0 {
		return
	}
	r := min(10, ran.Seconds()/s.EstimateS)
	if old := c.paces[s.Class]; old > 0 {
		r = 0.98*old + 0.02*r
	}
	c.paces[s.Class] = r
}

// silentReports is after how many reports' time a single machine's silence is
// more than a worker needs to find another node.
const silentReports = 3

// replacements rents ahead for services on machines that are likely to lose
// them: whose zone is cut off, that are silent, or that will be taken. Their
// leases run out about when a machine rented now is up, and a boot that began
// only then would be time without them; if they come back, the machine is idle
// and returned.
func (c *Core) replacements(p *fleet.Planner) {
	var silent []*machine
	late := c.now > c.resumed.Add(c.opt.Report*3/2) // all have had their turn
	for _, m := range c.order {
		if m.services > 0 && !c.takesTasks(m) && (c.cutOff(m.Zone) || late && c.silent(m, silentReports*c.opt.Report) || m.noticeBy != 0) {
			silent = append(silent, m)
		}
	}
	if len(silent) == 0 {
		return
	}
	for _, m := range c.order {
		if c.takesTasks(m) {
			p.Coming(m.Site, m.free())
		}
	}
	for _, m := range silent {
		for _, a := range m.list {
			if a.job.spec.Service && a.stop == stopNone {
				p.Add(fleet.Demand{Spec: a.job.spec, Count: 1})
			}
		}
	}
}

func (c *Core) notePeaks() {
	count := map[string]int{}
	first := map[string]*job{} // by id, of the classes that are new
	for _, j := range c.jobs {
		class := j.spec.Class
		if j.over() || !j.ready {
			continue
		}
		count[class] += len(j.active) + len(j.pending)
		if f := first[class]; c.peaks[class] == nil && (f == nil || j.id < f.id) {
			first[class] = j
		}
	}
	for class, j := range first {
		c.peaks[class] = &peak{spec: j.spec}
	}
	for class, p := range c.peaks {
		p.turn(c.now)
		p.now = count[class]
		p.ring[p.at%4] = max(p.ring[p.at%4], p.now)
	}
}

// spare is the room that a class which cannot wait for a boot should have: a
// part of its peak, but no more than what may come while a machine boots. With
// hundreds of services the former is far more than ever comes.
func (c *Core) spare(p *peak) int {
	want := c.opt.Headroom * float64(p.value())
	boot := c.bootOf(p.spec)
	if c.now > c.started.Add(peakWindow/2) { // what came before is not known
		want = min(want, p.coming(spareBoots*boot))
	}
	return int(math.Ceil(want)) + 2
}

// bootOf is how long the quickest type that would do takes to boot.
func (c *Core) bootOf(s *wire.Spec) time.Duration {
	boot := time.Duration(0)
	for i := range c.typeList {
		if t := &c.typeList[i]; placement.Fits(s, t) && (boot == 0 || ids.Seconds(t.BootS) < boot) {
			boot = ids.Seconds(t.BootS)
		}
	}
	return boot
}

// spareBoots is how many boots long what may come is counted for spare room:
// the room must have the image too, and stand in the right zone.
const spareBoots = 8

// headroom keeps room for classes that cannot wait for a machine to boot.
func (c *Core) headroom(p *fleet.Planner) {
	for _, class := range slices.Sorted(maps.Keys(c.opt.Impatient)) {
		pk := c.peaks[class]
		if pk == nil {
			continue
		}
		spare := c.spare(pk)
		if want := spare - c.slots(pk.spec, spare); want > 0 {
			p.Add(fleet.Demand{Spec: pk.spec, Count: want})
		}
	}
}

// slots counts how many more tasks the machines have room for, up to most.
func (c *Core) slots(s *wire.Spec, most int) int {
	n := 0
	for _, m := range c.order {
		if n >= most {
			break
		}
		if c.usable(m) && placement.Allowed(s, m.Site) {
			n += fleet.Holds(s, m.free())
		}
	}
	return n
}

// returnIdle gives back machines that nothing has used for a while. Where a
// class cannot wait for a boot, those that its spare room is made of stay
// longer.
func (c *Core) returnIdle() {
	over := map[*peak]int{}
	for class := range c.opt.Impatient {
		if pk := c.peaks[class]; pk != nil {
			over[pk] = c.slots(pk.spec, math.MaxInt) - c.spare(pk)
		}
	}
	for _, m := range c.order {
		if m.returning || !m.reported || len(m.tasks) > 0 || m.strays.CPUs > 0 {
			continue
		}
		wait := c.opt.Idle
		if m.Spot && len(over) > 0 {
			// They cost little, and hold images for work in a hurry.
			wait = c.opt.HeadroomIdle
		}
		for pk, n := range over {
			if placement.Allowed(pk.spec, m.Site) && fleet.Holds(pk.spec, m.free()) > n {
				wait = c.opt.HeadroomIdle
			}
		}
		if m.Spot {
			wait = time.Duration(float64(wait) * c.opt.SpotIdle)
		}
		if c.now > m.idleSince.Add(wait) || c.now < m.quarantine && c.now > m.idleSince.Add(5*time.Second) {
			if c.usable(m) {
				for pk := range over {
					if placement.Allowed(pk.spec, m.Site) {
						over[pk] -= fleet.Holds(pk.spec, m.free())
					}
				}
			}
			c.giveBack(m, "idle")
		}
	}
}

// RentResult takes the answer to a rental; ok is false if the cloud had none
// or would not rent.
func (c *Core) RentResult(now ids.Instant, r wire.Rental, hosts []ids.Host, ok bool) {
	c.now = now
	site := placement.Site{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	if c.renting[site] -= r.Count; c.renting[site] <= 0 {
		delete(c.renting, site)
	}
	c.bookings[site]--
	if !ok {
		c.backoff.Refused(site, now)
		return
	}
	for _, h := range hosts {
		if c.gone[h] {
			continue
		}
		m := c.machine(h)
		m.ours = true
		c.setSite(m, site, "")
	}
	if len(hosts) < r.Count {
		c.backoff.Refused(site, now)
	} else {
		c.backoff.Granted(site)
	}
	c.changed = true
}
