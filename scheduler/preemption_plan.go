package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// infeasibleRequest is all that decides whether room can be made for a task.
type infeasibleRequest struct {
	placementRequest
	team  ids.Team
	claim claim
}

// preemptionPlan is a machine on which room could be made, whose tasks would be stopped
// for it, and the cost of that.
type preemptionPlan struct {
	machine *machine
	victims []*assignment
	cost    float64
}

// costWithoutVictims ranks machines that need no victim before all others.
const costWithoutVictims = -1

// missingImageCost is what it costs to make room where the image would have to be
// fetched first.
const missingImageCost = 80

// planPreemption finds room for one more task of a job, and the tasks that must be
// stopped for it. In before, unless it is nil, it notes the expected room of the machine
// that it uses.
func (r *preemptor) planPreemption(j *job, before map[*machine]placement.Resources) ([]*assignment, bool) {
	by := r.claim(j)
	if by == claimNone || by == claimOwn && !r.anyStoppable(j, by) {
		return nil, false
	}
	// What a gang or a service needs together matters for admission, not for
	// the one task that room is made for here.
	sh, alike := r.core.admission.requestOf(j, r.zones)
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
		free = free.Plus(placement.TaskResources(s))
		r.borrowed[s.Team] = r.borrowed[s.Team].Minus(a.job.amount())
		r.committedQuota[s.Team] = r.committedQuota[s.Team].Minus(a.job.amount())
	}
	m.plannedFree = free.Minus(placement.TaskResources(j.spec))
	if o, ok := r.planOn(j, m, by); ok {
		*best = o
	} else {
		best.machine = nil
	}
	return victims, true
}

// cheapestPlan finds the cheapest machine to make room on. All machines are looked at
// once for a job and a claim. Costs only rise within a round, so afterwards the cheapest
// is looked at again before it is taken.
func (r *preemptor) cheapestPlan(j *job, by claim) *preemptionPlan {
	if r.plans == nil || r.plansClaim != by {
		r.plans, r.plansClaim = make([]preemptionPlan, 0, 16), by
		stoppable := r.anyStoppable(j, by)
		r.core.admission.MachinesExamined += uint64(len(r.core.admission.candidates))
		for _, m := range r.core.admission.candidates {
			if !stoppable && !placement.TaskResources(j.spec).FitsIn(r.expectedFree(m)) {
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
			if o := &r.plans[i]; o.machine != nil && (best == nil || o.cost < best.cost) && r.zones.Allows(j.spec, o.machine.Zone) {
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

// planOn tells what it would cost to make room on a machine.
func (r *preemptor) planOn(j *job, m *machine, by claim) (preemptionPlan, bool) {
	if !placement.Allowed(j.spec, m.Site) || !r.core.zones.admits(j, j.pending[len(j.pending)-1], m) || r.core.hasAntiAffinity(j, m) || r.core.reservedForOther(m, j) && r.core.starving(m.reservedFor) {
		return preemptionPlan{}, false
	}
	need, free := placement.TaskResources(j.spec), r.expectedFree(m)
	warm, hasty := m.images[j.spec.Image] != nil, r.core.latencySensitive(j)
	o := preemptionPlan{machine: m}
	if by == claimOwn || !need.FitsIn(free) {
		if !need.FitsIn(m.total) {
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

// expectedFree is the room that is free on a machine or about to be.
func (r *preemptor) expectedFree(m *machine) placement.Resources {
	if m.planRound != r.core.preemption.preemptionRounds {
		m.planRound, m.victimCache = r.core.preemption.preemptionRounds, nil
		m.plannedFree = m.free()
		for _, a := range m.taskList {
			if a.stopReason != stopNone {
				m.plannedFree = m.plannedFree.Plus(placement.TaskResources(a.job.spec))
			}
		}
	}
	return m.plannedFree
}

// victim is a task that might be stopped, and what its end loses.
type victim struct {
	assignment *assignment
	cost       float64
}

// victimsByCost lists a machine's tasks by the cost of stopping them, once in a round.
func (r *preemptor) victimsByCost(m *machine) []victim {
	if m.victimCache == nil {
		m.victimCache = make([]victim, 0, len(m.taskList))
		for _, a := range m.taskList {
			if a.stopReason == stopNone && !r.core.preemption.preemptionProtected(a) {
				m.victimCache = append(m.victimCache, victim{a, r.core.preemption.evictionCost(a)})
			}
		}
		slices.SortStableFunc(m.victimCache, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
		r.core.admission.MachinesExamined++
	}
	return m.victimCache
}

// protectionPeriod is how long the first task of a starving best-effort job runs without
// being preempted: all other work may stop it, and stopped at once it would have started
// for nothing. Other priorities are not protected: tasks that have run for longer would be
// stopped in their place.
const protectionPeriod = 45 * time.Second

// preemptionProtected tells whether a task must not be stopped for others yet.
func (p *evictor) preemptionProtected(a *assignment) bool {
	return a.protected && (a.phase != wire.TaskRunning || p.core.runTime(a) < protectionPeriod)
}

// chooseVictims picks the tasks on a machine that are cheapest to stop.
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
			if !taken[s.Team].Plus(v.assignment.job.amount()).FitsIn(r.borrowed[s.Team]) {
				continue
			}
			if taken == nil {
				taken = map[ids.Team]quota.Amount{}
			}
			taken[s.Team] = taken[s.Team].Plus(v.assignment.job.amount())
		}
		out = append(out, v.assignment)
		cost += v.cost
		room = room.Plus(placement.TaskResources(s))
		short = short.Minus(v.assignment.job.amount())
		if need.FitsIn(room) && short.FitsIn(quota.Amount{}) {
			return out, cost, true
		}
	}
	return nil, 0, false
}

// evictionCost is what is lost when a task is stopped: the work since its last
// checkpoint, and more for higher priorities.
func (p *evictor) evictionCost(a *assignment) float64 {
	s := a.job.spec
	lost := 0.0
	if a.phase == wire.TaskRunning {
		lost = p.core.now.Sub(a.phaseSince).Seconds()
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
