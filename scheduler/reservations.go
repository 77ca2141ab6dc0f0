package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// reservedForOther tells whether a machine is reserved for another job. Critical work, and
// what must start sooner than a machine boots, goes before those that starve.
func (c *Core) reservedForOther(m *cluster.Machine, j *cluster.Job) bool {
	k := m.Admission.ReservedFor
	return k != nil && k != j && (k.Priority() >= j.Priority() || j.Priority() < wire.Critical && !c.latencySensitive(j) && c.starving(k))
}

// updateReservations sees that every job starts. Later jobs that fit pass one that does
// not, so a large one might wait for ever while small ones take each gap as it
// opens. Once it has waited too long, machines that it could use take no other
// work of its priority or below, until their room has grown to what it needs.
// What another waits for is not reserved twice, and room that did not suffice in
// time is given up for a while.
func (c *Core) updateReservations(waiting []*cluster.Job) {
	if c.opt.ReserveAfter <= 0 {
		return
	}
	kept := 0
	held := map[*cluster.Job][]*cluster.Machine{}
	for _, m := range c.cluster.Machines() {
		k := m.Admission.ReservedFor
		if k == nil {
			continue
		}
		if k.Started() || k.Terminal() || c.clock.Now() > k.Queue.ReservedSince.Add(c.opt.ReserveFor) || !c.health.takesTasks(m) {
			m.Admission.ReservedFor = nil
			c.rounds.MarkDue()
			continue
		}
		kept++
		held[k] = append(held[k], m)
	}
	for _, j := range c.starvingFirst(waiting) {
		if j.Started() {
			continue
		}
		// Time alone lets a job gain a reservation, or lose it again.
		c.rounds.RecheckAt(c.clock.Now().Add(time.Second))
		if c.clock.Now() < j.Queue.WaitingSince.Add(c.opt.ReserveAfter) {
			continue
		}
		if j.Queue.ReservedSince != 0 && c.clock.Now() > j.Queue.ReservedSince.Add(c.opt.ReserveFor) {
			j.Queue.WaitingSince, j.Queue.ReservedSince = c.clock.Now().Add(-c.opt.ReserveAfter/2), 0
			continue
		}
		n := j.TasksTogether()
		if !c.fitsQuota(j, false, n) && !(j.Priority() == wire.BestEffort && c.starving(j)) {
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
func (c *Core) reserveMachines(j *cluster.Job, n int, held []*cluster.Machine, kept int) int {
	need := placement.TaskResources(j.Spec)
	zones := placement.TasksByZone{}
	hold := func(m *cluster.Machine) {
		for room := m.Total(); n > 0 && need.FitsIn(room) && zones.Allows(j.Spec, m.Zone()); n-- {
			room = room.Minus(need)
			zones[m.Zone()]++
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
	var free []*cluster.Machine
	for _, m := range c.admission.candidates {
		if m.Admission.ReservedFor == nil && placement.Allowed(j.Spec, m.Site()) && need.FitsIn(m.Total()) {
			free = append(free, m)
		}
	}
	slices.SortStableFunc(free, func(a, b *cluster.Machine) int { return cmp.Compare(b.Free().CPUs, a.Free().CPUs) })
	added := 0
	for _, m := range free {
		if n <= 0 || float64(kept+added) > most {
			break
		}
		if !zones.Allows(j.Spec, m.Zone()) {
			continue
		}
		m.Admission.ReservedFor = j
		added++
		if j.Queue.ReservedSince == 0 {
			j.Queue.ReservedSince = c.clock.Now()
		}
		hold(m)
	}
	return added
}
