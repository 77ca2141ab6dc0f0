package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// reservedForOther tells whether a machine is reserved for another job. Critical work, and
// what must start sooner than a machine boots, goes before those that starve.
func (c *Core) reservedForOther(m *machine, j *job) bool {
	k := m.reservedFor
	return k != nil && k != j && (k.priority >= j.priority || j.priority < wire.Critical && !c.latencySensitive(j) && c.starving(k))
}

// updateReservations sees that every job starts. Later jobs that fit pass one that does
// not, so a large one might wait for ever while small ones take each gap as it
// opens. Once it has waited too long, machines that it could use take no other
// work of its priority or below, until their room has grown to what it needs.
// What another waits for is not reserved twice, and room that did not suffice in
// time is given up for a while.
func (c *Core) updateReservations(waiting []*job) {
	if c.opt.ReserveAfter <= 0 {
		return
	}
	kept := 0
	held := map[*job][]*machine{}
	for _, m := range c.registry.machineList {
		k := m.reservedFor
		if k == nil {
			continue
		}
		if k.started || k.terminal() || c.now > k.reservedSince.Add(c.opt.ReserveFor) || !c.health.takesTasks(m) {
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
		// Time alone lets a job gain a reservation, or lose it again.
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
			// best-effort work lives on it alone: it must find room when it comes.
			continue
		}
		kept += c.reserveMachines(j, n, held[j], kept)
	}
}

// maxReservedShare bounds the reserved machines, as a part of all.
const maxReservedShare = 0.1

// reserveMachines keeps machines for n tasks of a job, beside those it holds: those with
// most room go first. With hundreds of jobs waiting it must look at the machines
// only for those that need more, and not at all once no more may be kept.
func (c *Core) reserveMachines(j *job, n int, held []*machine, kept int) int {
	need := placement.TaskResources(j.spec)
	zones := placement.TasksByZone{}
	hold := func(m *machine) {
		for room := m.total; n > 0 && need.FitsIn(room) && zones.Allows(j.spec, m.Zone); n-- {
			room = room.Minus(need)
			zones[m.Zone]++
		}
	}
	for _, m := range held {
		hold(m)
	}
	most := maxReservedShare * float64(len(c.admission.candidates))
	if n <= 0 || float64(kept) > most {
		return 0
	}
	c.admission.MachinesExamined += uint64(len(c.admission.candidates))
	var free []*machine
	for _, m := range c.admission.candidates {
		if m.reservedFor == nil && placement.Allowed(j.spec, m.Site) && need.FitsIn(m.total) {
			free = append(free, m)
		}
	}
	slices.SortStableFunc(free, func(a, b *machine) int { return cmp.Compare(b.free().CPUs, a.free().CPUs) })
	added := 0
	for _, m := range free {
		if n <= 0 || float64(kept+added) > most {
			break
		}
		if !zones.Allows(j.spec, m.Zone) {
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
