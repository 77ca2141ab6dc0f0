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
		Blocked: func(s placement.Site) bool { return c.backoff.Blocked(s, c.now) }}
	if c.opt.MaxMachines > 0 {
		p.Budget = c.opt.MaxMachines - len(c.order)
		for _, n := range c.renting {
			p.Budget -= n
		}
	}
	for _, m := range c.order {
		p.Held[m.Site]++
		if !m.reported && !m.returning && m.typ != nil {
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
	waiting := c.waiting()
	for _, nominal := range []bool{true, false} {
		for _, j := range waiting {
			if j.whole() && !c.fitsQuota(j, nominal, len(j.pending)) {
				continue
			}
			// The most that fit; that more fit whenever fewer do makes the
			// search by halves right.
			n := sort.Search(len(j.pending)-counted[j], func(n int) bool { return !c.fitsQuota(j, nominal, n+1) })
			if n > 0 {
				c.book.Take(j.spec.Team, j.amount().Times(n))
				all = append(all, taken{j.spec.Team, j.amount().Times(n)})
				counted[j] += n
				p.Add(fleet.Demand{Spec: j.spec, Count: n, Zones: j.zones})
			}
		}
	}
	for _, t := range all {
		c.book.Free(t.t, t.m)
	}
}

// replacements rents ahead for services on machines that have been silent for
// a while. If they are lost, a boot that began only then would be time without
// them; if they come back, the machine is idle and returned.
func (c *Core) replacements(p *fleet.Planner) {
	var silent []*machine
	for _, m := range c.order {
		if m.services > 0 && !c.takesTasks(m) && (m.reported && c.silent(m, c.opt.Report*3) || m.noticeBy != 0) {
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
		for _, a := range m.sorted() {
			if a.job.spec.Service && a.stop == stopNone {
				p.Add(fleet.Demand{Spec: a.job.spec, Count: 1})
			}
		}
	}
}

func (c *Core) notePeaks() {
	count := map[string]int{}
	for _, j := range c.jobs {
		if j.over() {
			continue
		}
		count[j.spec.Class] += len(j.active) + len(j.pending)
		if p := c.peaks[j.spec.Class]; p == nil {
			c.peaks[j.spec.Class] = &peak{spec: j.spec}
		}
	}
	slot := int(time.Duration(c.now) / (peakWindow / 4))
	for class, p := range c.peaks {
		if p.at != slot {
			p.at = slot
			p.ring[slot%4] = 0
		}
		p.now = count[class]
		p.ring[slot%4] = max(p.ring[slot%4], p.now)
	}
}

// headroom keeps room for classes that cannot wait for a machine to boot.
func (c *Core) headroom(p *fleet.Planner) {
	for _, class := range slices.Sorted(maps.Keys(c.opt.Impatient)) {
		pk := c.peaks[class]
		if pk == nil {
			continue
		}
		want := int(math.Ceil(c.opt.Headroom*float64(pk.value()))) + 2
		need := placement.Of(pk.spec)
		for _, m := range c.order {
			if want <= 0 {
				break
			}
			if !c.usable(m) || !placement.Allowed(pk.spec, m.Site) {
				continue
			}
			for free := m.free(); want > 0 && need.Within(free); want-- {
				free = free.Minus(need)
			}
		}
		if want > 0 {
			p.Add(fleet.Demand{Spec: pk.spec, Count: want})
		}
	}
}

// returnIdle gives back machines that nothing has used for a while.
func (c *Core) returnIdle() {
	idle := c.opt.Idle
	if len(c.opt.Impatient) > 0 {
		idle = c.opt.HeadroomIdle
	}
	for _, m := range c.order {
		if m.returning || !m.reported || len(m.tasks) > 0 || m.strays.CPUs > 0 {
			continue
		}
		wait := idle
		if m.Spot {
			wait = time.Duration(float64(wait) * c.opt.SpotIdle)
		}
		if c.now > m.idleSince.Add(wait) || c.now < m.quarantine && c.now > m.idleSince.Add(5*time.Second) {
			c.giveBack(m)
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
