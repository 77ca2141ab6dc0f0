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

// planInterval is how often the fleet is planned.
const planInterval = time.Second

// demandWindow is how long a class's peak is remembered.
const demandWindow = 2 * time.Minute

// peak is the most tasks of a class at once, lately.
type classDemand struct {
	spec    *wire.Spec
	current int
	peaks   [4]int // by half minute
	slot    int
	// Jobs and tasks that came, by half minute.
	jobs, tasks [4]int
}

// coming is how many tasks to expect within a time: those that came in the
// window, and three times their spread. Tasks come in jobs, which makes the
// spread as much wider.
func (p *classDemand) expectedArrivals(within time.Duration) float64 {
	jobs, tasks := 0, 0
	for i := range p.jobs {
		jobs += p.jobs[i]
		tasks += p.tasks[i]
	}
	if jobs == 0 {
		return 0
	}
	part := within.Seconds() / demandWindow.Seconds()
	size := float64(tasks) / float64(jobs)
	return size * (float64(jobs)*part + 3*math.Sqrt(float64(jobs)*part))
}

// arrived notes a job that came.
func (c *Core) recordArrival(s *wire.Spec) {
	if p := c.demandByClass[s.Class]; p != nil {
		p.advance(c.now)
		p.jobs[p.slot%4]++
		p.tasks[p.slot%4] += s.Tasks
	}
}

// turn moves on to the half minute of now.
func (p *classDemand) advance(now ids.Instant) {
	slot := int(time.Duration(now) / (demandWindow / 4))
	for ; p.slot < slot; p.slot++ {
		if slot-p.slot > 4 {
			p.slot = slot - 5
			continue
		}
		next := (p.slot + 1) % 4
		p.peaks[next], p.jobs[next], p.tasks[next] = 0, 0, 0
	}
}

func (p *classDemand) peakTasks() int {
	m := p.current
	for _, v := range p.peaks {
		m = max(m, v)
	}
	return m
}

// planFleet rents for what was admitted or could be and found no place, and
// gives back what stands idle.
func (c *Core) planFleet() {
	if c.now < c.plannedAt.Add(planInterval) {
		return
	}
	c.countSpotTime(c.now.Sub(c.plannedAt))
	c.plannedAt = c.now
	c.updateDemand()
	// A predecessor's machines may not be listed yet; rented again, they
	// would be there twice.
	if c.opt.Predecessor && c.now < c.termBegan.Add(2*c.opt.ListLag) {
		return
	}
	p := &fleet.Planner{Types: c.typeList, Held: map[placement.Site]int{}, Budget: math.MaxInt32,
		Blocked: func(s placement.Site) bool { return c.zonePartitioned(s.Zone) || c.backoff.Blocked(s, c.now) }}
	if c.opt.MaxMachines > 0 {
		p.Budget = c.opt.MaxMachines - len(c.machineList)
		for _, n := range c.machinesRequested {
			p.Budget -= n
		}
	}
	for _, m := range c.machineList {
		p.Held[m.Site]++
		if !m.reported && !m.returning && m.machineType != nil && !c.bootLate(m) {
			p.AddCapacity(m.Site, m.free())
		}
	}
	for _, s := range slices.SortedFunc(maps.Keys(c.machinesRequested), placement.Site.Compare) {
		p.Held[s] += c.machinesRequested[s]
		if t := c.types[s.Type]; t != nil {
			for range c.machinesRequested[s] {
				p.AddCapacity(s, placement.OfType(t))
			}
		}
	}
	c.addDemand(p)
	c.addHeadroom(p)
	c.addReplacements(p) // last, as it counts free room that the others have used
	for _, b := range p.Purchases() {
		for left := b.Count; left > 0 && c.canRent(b.Site); left -= maxRentalSize {
			n := min(left, maxRentalSize)
			c.nextBooking++
			c.machinesRequested[b.Site] += n
			c.rentalsInFlight[b.Site]++
			c.effects.Rent = append(c.effects.Rent, wire.Rental{
				Request: fmt.Sprintf("r-%d-%d", c.opt.Revision, c.nextBooking),
				Type:    b.Type, Zone: b.Zone, Spot: b.Spot, Count: n,
			})
		}
	}
	c.returnIdle()
}

// lateBootFactor is how many times as long as its type's boot, as it has been lately, a
// machine may take before it counts as late.
const lateBootFactor = 1.7

// late tells whether a machine takes so long to come up that it may never do so. What
// waits for it has another rented in its place, unless all of its type take as long
// now: then another would come no sooner.
func (c *Core) bootLate(m *machine) bool {
	if m.reported || m.machineType == nil || !m.rentedThisTerm {
		return false
	}
	usual := max(1, c.bootFactors[m.Type])
	return c.now > m.knownSince.Add(ids.Seconds(lateBootFactor*usual*m.machineType.BootS)+c.opt.Report)
}

// recordBoot takes in how long a machine took to come up, as a part of its type's time.
func (c *Core) recordBoot(m *machine) {
	if m.machineType == nil || !m.rentedThisTerm || m.machineType.BootS <= 0 {
		return
	}
	took := min(c.now.Sub(m.knownSince).Seconds()/m.machineType.BootS, c.opt.BootFactor)
	if was := c.bootFactors[m.Type]; was > 0 {
		took = 0.8*was + 0.2*took
	}
	c.bootFactors[m.Type] = took
}

const (
	// maxRentalSize is the protocol's limit for one rental.
	maxRentalSize = 50
	// maxRentalsPerSite bounds the rentals under way for one site.
	maxRentalsPerSite = 3
)

// canRent tells whether one more rental may be under way for a site. Where the
// cloud lacked machines lately one is enough to ask: more of them took all
// calls for seconds, only to be refused too.
func (c *Core) canRent(s placement.Site) bool {
	if c.backoff.RecentlyRefused(s) {
		return c.rentalsInFlight[s] == 0
	}
	return c.rentalsInFlight[s] < maxRentalsPerSite
}

// demand adds the waiting tasks that quota would let in.
func (c *Core) addDemand(p *fleet.Planner) {
	type taken struct {
		t ids.Team
		m quota.Amount
	}
	var all []taken
	counted := map[*job]int{}
	// Machines for borrowers may be rented up to the teams' limits.
	c.quotas.SetSurplus(quota.Amount{CPUs: math.MaxInt32, GPUs: math.MaxInt32})
	defer c.updateSurplus()
	var later []fleet.Demand
	waiting := c.waitingJobs()
	for _, nominal := range []bool{true, false} {
		for _, j := range waiting {
			if j.needsAllTasks() && !c.fitsQuota(j, nominal, len(j.pending)) {
				continue
			}
			// The most that fit; that more fit whenever fewer do makes the
			// search by halves right.
			n := sort.Search(len(j.pending)-counted[j], func(n int) bool { return !c.fitsQuota(j, nominal, n+1) })
			if j.probing() {
				n = min(n, 1-counted[j])
			}
			if n <= 0 {
				continue
			}
			c.quotas.Take(j.spec.Team, j.amount().Times(n))
			all = append(all, taken{j.spec.Team, j.amount().Times(n)})
			counted[j] += n
			d := fleet.Demand{Spec: j.spec, Count: n, Zones: j.zones}
			if j.needsAllTasks() || c.latencySensitive(j) || c.now > j.waitingSince.Add(c.fastestBoot(j.spec)) {
				p.Add(d)
			} else {
				later = append(later, d)
			}
		}
	}
	for _, t := range all {
		c.quotas.Free(t.t, t.m)
	}
	if len(later) == 0 {
		return
	}
	// What need not start sooner than a machine boots can as well have the
	// room of tasks that end before one would be up. What has waited for that
	// long already has seen others take it.
	for _, m := range c.machineList {
		if c.takesTasks(m) && m.replicas < len(m.taskList) {
			p.AddCapacity(m.Site, c.freeSoon(m))
		}
	}
	for _, d := range later {
		p.Add(d)
	}
}

// freeSoon is the room that a machine will have when one like it could have
// been rented and booted, going by the estimates and by how long tasks of
// their classes have run so far.
func (c *Core) freeSoon(m *machine) placement.Resources {
	free := m.free()
	by := c.now.Add(ids.Seconds(0.8 * m.machineType.BootS))
	for _, a := range m.taskList {
		if !a.job.spec.Service && (a.stopReason != stopNone || a.phase == wire.TaskRunning && a.phaseSince.Add(c.expectedRun(a.job.spec)) < by) {
			free = free.Plus(placement.Of(a.job.spec))
		}
	}
	return free
}

// expected is how long a task should run. Estimates of a class are mostly too
// high or mostly too low on some days.
func (c *Core) expectedRun(s *wire.Spec) time.Duration {
	factor := 1.0
	if r := c.estimateFactors[s.Class]; r > 0 {
		factor = r
	}
	return ids.Seconds(factor * s.EstimateS)
}

// recordRun takes in how long a task of a class ran against its estimate.
func (c *Core) recordRun(s *wire.Spec, ran time.Duration) {
	if s.EstimateS <= 0 {
		return
	}
	r := min(10, ran.Seconds()/s.EstimateS)
	if old := c.estimateFactors[s.Class]; old > 0 {
		r = 0.98*old + 0.02*r
	}
	c.estimateFactors[s.Class] = r
}

// silentReports is after how many reports' time a single machine's silence is
// more than a worker needs to find another node.
const silentReports = 3

// replacements rents ahead for services on machines that are likely to lose
// them: whose zone is cut off, that are silent, or that will be taken. Their
// leases run out about when a machine rented now is up, and a boot that began
// only then would be time without them; if they come back, the machine is idle
// and returned.
func (c *Core) addReplacements(p *fleet.Planner) {
	var silent []*machine
	late := c.now > c.resumedAt.Add(c.opt.Report*3/2) // all have had their turn
	for _, m := range c.machineList {
		if m.replicas > 0 && !c.takesTasks(m) && (c.zonePartitioned(m.Zone) || late && c.silentFor(m, silentReports*c.opt.Report) || m.takenBy != 0) {
			silent = append(silent, m)
		}
	}
	if len(silent) == 0 {
		return
	}
	for _, m := range c.machineList {
		if c.takesTasks(m) {
			p.AddCapacity(m.Site, m.free())
		}
	}
	for _, m := range silent {
		for _, a := range m.taskList {
			if a.job.spec.Service && a.stopReason == stopNone {
				p.Add(fleet.Demand{Spec: a.job.spec, Count: 1})
			}
		}
	}
}

func (c *Core) updateDemand() {
	count := map[string]int{}
	first := map[string]*job{} // by id, of the classes that are new
	for _, j := range c.jobs {
		class := j.spec.Class
		if j.terminal() || !j.ready {
			continue
		}
		count[class] += len(j.active) + len(j.pending)
		if f := first[class]; c.demandByClass[class] == nil && (f == nil || j.id < f.id) {
			first[class] = j
		}
	}
	for class, j := range first {
		c.demandByClass[class] = &classDemand{spec: j.spec}
	}
	for class, p := range c.demandByClass {
		p.advance(c.now)
		p.current = count[class]
		p.peaks[p.slot%4] = max(p.peaks[p.slot%4], p.current)
	}
}

// spare is the room that a class which cannot wait for a boot should have: a
// part of its peak, but no more than what may come while a machine boots. With
// hundreds of services the former is far more than ever comes.
func (c *Core) spareTasks(p *classDemand) int {
	want := c.opt.Headroom * float64(p.peakTasks())
	boot := c.fastestBoot(p.spec)
	if c.now > c.termBegan.Add(demandWindow/2) { // what came before is not known
		want = min(want, p.expectedArrivals(spareBoots*boot))
	}
	return int(math.Ceil(want)) + 2
}

// fastestBoot is how long the quickest type that would do takes to boot.
func (c *Core) fastestBoot(s *wire.Spec) time.Duration {
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
func (c *Core) addHeadroom(p *fleet.Planner) {
	for _, class := range slices.Sorted(maps.Keys(c.opt.LatencySensitive)) {
		pk := c.demandByClass[class]
		if pk == nil {
			continue
		}
		spare := c.spareTasks(pk)
		if want := spare - c.freeSlots(pk.spec, spare); want > 0 {
			p.Add(fleet.Demand{Spec: pk.spec, Count: want})
		}
	}
}

// slots counts how many more tasks the machines have room for, up to most.
func (c *Core) freeSlots(s *wire.Spec, most int) int {
	n := 0
	for _, m := range c.machineList {
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
	over := map[*classDemand]int{}
	for class := range c.opt.LatencySensitive {
		if pk := c.demandByClass[class]; pk != nil {
			over[pk] = c.freeSlots(pk.spec, math.MaxInt) - c.spareTasks(pk)
		}
	}
	for _, m := range c.machineList {
		if m.returning || !m.reported || len(m.tasks) > 0 || m.unrecorded.CPUs > 0 {
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
			wait = time.Duration(float64(wait) * c.opt.SpotIdleFactor)
		}
		if c.now > m.idleSince.Add(wait) || c.now < m.quarantinedUntil && c.now > m.idleSince.Add(5*time.Second) {
			if c.usable(m) {
				for pk := range over {
					if placement.Allowed(pk.spec, m.Site) {
						over[pk] -= fleet.Holds(pk.spec, m.free())
					}
				}
			}
			c.returnMachine(m, "idle")
		}
	}
}

// RentResult takes the answer to a rental; ok is false if the cloud had none
// or would not rent.
func (c *Core) RentResult(now ids.Instant, r wire.Rental, hosts []ids.Host, ok bool) {
	c.now = now
	c.rentResult(r, hosts, ok)
}

// rentResult ends a rental.
func (c *Core) rentResult(r wire.Rental, hosts []ids.Host, ok bool) {
	site := placement.Site{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	if c.machinesRequested[site] -= r.Count; c.machinesRequested[site] <= 0 {
		delete(c.machinesRequested, site)
	}
	c.rentalsInFlight[site]--
	if !ok {
		c.backoff.Refused(site, c.now)
		return
	}
	for _, h := range hosts {
		if c.returnedHosts[h] {
			continue
		}
		m := c.ensureMachine(h)
		m.rentedThisTerm = true
		c.setSite(m, site, "")
	}
	if len(hosts) < r.Count {
		c.backoff.Refused(site, c.now)
	} else {
		c.backoff.Granted(site)
	}
	c.schedulingDue = true
}
