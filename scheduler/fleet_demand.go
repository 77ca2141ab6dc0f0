package scheduler

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// addDemand adds the waiting tasks that quota would admit.
func (as *autoscaler) addDemand(p *fleet.Planner) {
	urgent, later := as.admissibleDemand()
	for _, d := range urgent {
		p.Add(d)
	}
	if len(later) == 0 {
		return
	}
	// What need not start sooner than a machine boots can as well have the
	// room of tasks that end before one would be up. What has waited for that
	// long already has seen others take it.
	for _, m := range as.core.cluster.Machines() {
		if as.core.health.takesTasks(m) && m.Replicas() < len(m.Assignments()) {
			p.AddCapacity(m.Site(), as.freeSoon(m))
		}
	}
	for _, d := range later {
		p.Add(d)
	}
}

// admissibleDemand lists the waiting tasks that quota would admit: those that machines are
// rented for at once, and those that may wait for room on others. Machines for borrowers
// may be rented up to the teams' limits.
func (as *autoscaler) admissibleDemand() (urgent, later []fleet.Demand) {
	quotas := as.core.quotas
	quotas.SetCohortQuota(quota.Amount{CPUs: math.MaxInt32, GPUs: math.MaxInt32})
	defer as.core.quota.updateSurplus()
	counted := map[*cluster.Job]int{}
	var order []*cluster.Job // of the counted jobs
	waiting := as.core.queue.waitingJobs()
	for _, source := range []quotaSource{nominalQuota, borrowedQuota} {
		for _, j := range waiting {
			n := as.admissibleTasks(j, source, counted[j])
			if n <= 0 {
				continue
			}
			quotas.Charge(j.Spec.Team, j.Amount().Times(n))
			if counted[j] == 0 {
				order = append(order, j)
			}
			counted[j] += n
			d := fleet.Demand{Spec: j.Spec, Count: n, Zones: j.Zones()}
			if j.NeedsAllTasks() || as.core.queue.latencySensitive(j) || as.core.clock.Now() > j.Queue.WaitingSince.Add(as.fastestBoot(j.Spec)) {
				urgent = append(urgent, d)
			} else {
				later = append(later, d)
			}
		}
	}
	for _, j := range order {
		quotas.Release(j.Spec.Team, j.Amount().Times(counted[j]))
	}
	return urgent, later
}

// admissibleTasks is how many more of a job's waiting tasks quota would admit, beside those
// counted already.
func (as *autoscaler) admissibleTasks(j *cluster.Job, source quotaSource, counted int) int {
	if j.NeedsAllTasks() && !as.core.quota.fits(j, source, len(j.Pending())) {
		return 0
	}
	// That more fit whenever fewer do makes the search by halves right.
	n := sort.Search(len(j.Pending())-counted, func(n int) bool { return !as.core.quota.fits(j, source, n+1) })
	if probing(j) {
		n = min(n, 1-counted)
	}
	return n
}

// freeSoon is the room that a machine will have when one like it could have
// been rented and booted, going by the estimates and by how long tasks of
// their classes have run so far.
func (as *autoscaler) freeSoon(m *cluster.Machine) placement.Resources {
	free := m.Free()
	by := as.core.clock.Now().Add(monotonic.Seconds(0.8 * m.MachineType().BootS))
	for _, a := range m.Assignments() {
		if !a.Job.Spec.Service && (a.StopReason() != cluster.StopNone || a.Run.Phase == wire.TaskRunning && a.Run.PhaseSince.Add(as.core.estimates.expectedRun(a.Job.Spec)) < by) {
			free = free.Plus(placement.TaskResources(a.Job.Spec))
		}
	}
	return free
}

// silentReports is after how many reports' time a single machine's silence is
// more than a worker needs to find another node.
const silentReports = 3

// addReplacements rents ahead for services on machines that are likely to lose them:
// whose zone is partitioned, that are silent, or that will be taken. Their leases run out
// about when a machine rented now is up; a boot begun only then would be downtime. If the
// machines come back, the new one is idle and is returned.
func (as *autoscaler) addReplacements(p *fleet.Planner) {
	var silent []*cluster.Machine
	late := as.core.clock.Now() > as.core.clock.ResumedAt().Add(as.core.opt.HeartbeatInterval*3/2) // all have had their turn
	for _, m := range as.core.cluster.Machines() {
		if m.Replicas() > 0 && !as.core.health.takesTasks(m) && (as.core.health.zonePartitioned(m.Zone()) || late && m.SilentFor(as.core.clock.Now(), silentReports*as.core.opt.HeartbeatInterval) || m.Health.SpotReclaimAt != 0) {
			silent = append(silent, m)
		}
	}
	if len(silent) == 0 {
		return
	}
	for _, m := range as.core.cluster.Machines() {
		if as.core.health.takesTasks(m) {
			p.AddCapacity(m.Site(), m.Free())
		}
	}
	for _, m := range silent {
		for _, a := range m.Assignments() {
			if a.Job.Spec.Service && a.StopReason() == cluster.StopNone {
				p.Add(fleet.Demand{Spec: a.Job.Spec, Count: 1})
			}
		}
	}
}

// spareBoots is how many boots long what may come is counted for spare room:
// the room must have the image too, and stand in the right zone.
const spareBoots = 8

// spareTasks is the spare room, in tasks, that a latency-sensitive class should have: a
// part of its peak, but no more than what may arrive within a few boots. With hundreds of
// services the former is far more than ever arrives.
func (as *autoscaler) spareTasks(p *classDemand) int {
	want := as.core.opt.Headroom * float64(p.peakTasks())
	boot := as.fastestBoot(p.spec)
	if as.core.clock.Now() > as.core.clock.TermBegan().Add(demandWindow/2) { // what came before is not known
		want = min(want, p.expectedArrivals(spareBoots*boot))
	}
	return int(math.Ceil(want)) + 2
}

// addHeadroom rents spare room for classes that cannot wait for a machine to boot.
func (as *autoscaler) addHeadroom(p *fleet.Planner) {
	for _, class := range slices.Sorted(maps.Keys(as.core.opt.LatencySensitive)) {
		pk := as.demandByClass[class]
		if pk == nil {
			continue
		}
		spare := as.spareTasks(pk)
		if want := spare - as.freeSlots(pk.spec, spare); want > 0 {
			p.Add(fleet.Demand{Spec: pk.spec, Count: want})
		}
	}
}

// freeSlots counts how many more tasks the machines have room for, up to most.
func (as *autoscaler) freeSlots(s *wire.JobSpec, most int) int {
	n := 0
	for _, m := range as.core.cluster.Machines() {
		if n >= most {
			break
		}
		if as.core.health.usable(m) && placement.Allowed(s, m.Site()) {
			n += fleet.TasksThatFit(s, m.Free())
		}
	}
	return n
}

// returnIdle gives back machines that nothing has used for a while. Where a
// class cannot wait for a boot, those that its spare room is made of stay
// longer.
func (as *autoscaler) returnIdle() {
	over := map[*classDemand]int{}
	for class := range as.core.opt.LatencySensitive {
		if pk := as.demandByClass[class]; pk != nil {
			over[pk] = as.freeSlots(pk.spec, math.MaxInt) - as.spareTasks(pk)
		}
	}
	for _, m := range as.core.cluster.Machines() {
		if m.Lifecycle.Terminating || !m.Agent.Reported || len(m.Assignments()) > 0 || m.Unrecorded().CPUs > 0 {
			continue
		}
		wait := as.core.opt.IdleTimeout
		if m.Spot() && len(over) > 0 {
			// They cost little, and hold images for work in a hurry.
			wait = as.core.opt.HeadroomIdleTimeout
		}
		for pk, n := range over {
			if placement.Allowed(pk.spec, m.Site()) && fleet.TasksThatFit(pk.spec, m.Free()) > n {
				wait = as.core.opt.HeadroomIdleTimeout
			}
		}
		if m.Spot() {
			wait = time.Duration(float64(wait) * as.core.opt.SpotIdleFactor)
		}
		if as.core.clock.Now() > m.Lifecycle.IdleSince.Add(wait) || as.core.clock.Now() < m.Health.QuarantinedUntil && as.core.clock.Now() > m.Lifecycle.IdleSince.Add(5*time.Second) {
			if as.core.health.usable(m) {
				for pk := range over {
					if placement.Allowed(pk.spec, m.Site()) {
						over[pk] -= fleet.TasksThatFit(pk.spec, m.Free())
					}
				}
			}
			as.core.registry.terminateMachine(m, terminateIdle)
		}
	}
}
