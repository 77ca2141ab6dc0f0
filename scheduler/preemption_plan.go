package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
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
	machine *cluster.Machine
	victims []*cluster.Assignment
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
func (r *preemptor) planPreemption(j *cluster.Job, before map[*cluster.Machine]placement.Resources) ([]*cluster.Assignment, bool) {
	by := r.claim(j)
	if by == claimNone || by == claimOwn && !r.anyStoppable(j, by) {
		return nil, false
	}
	// What a gang or a service needs together matters for admission, not for
	// the one task that room is made for here.
	sh, alike := r.core.searches.requestOf(j, r.zones)
	sh.tasksTogether = 0
	if r.core.queue.latencySensitive(j) {
		sh.image = j.Spec.Image
	}
	key := infeasibleRequest{sh, j.Spec.Team, by}
	keyed := alike && len(j.Failures.AntiAffinity) == 0
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
	if r.core.queue.latencySensitive(j) && !m.HasImage(j.Spec.Image) && !j.Queue.AllowColdStart {
		j.Queue.AllowColdStart = true
		r.core.rounds.MarkDue()
	}
	// Room for one replica beside the last would be room in the wrong zone,
	// made again and again.
	r.zones[m.Zone()]++
	free, team := r.expectedFree(m), j.Spec.Team
	if _, noted := before[m]; before != nil && !noted {
		before[m] = free
	}
	r.committedQuota[team] = r.committedQuota[team].Plus(j.Amount())
	for _, a := range victims {
		s := a.Job.Spec
		r.stopped[a] = true
		free = free.Plus(placement.TaskResources(s))
		r.borrowed[s.Team] = r.borrowed[s.Team].Minus(a.Job.Amount())
		r.committedQuota[s.Team] = r.committedQuota[s.Team].Minus(a.Job.Amount())
	}
	m.Preemption.ExpectedFree = free.Minus(placement.TaskResources(j.Spec))
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
func (r *preemptor) cheapestPlan(j *cluster.Job, by claim) *preemptionPlan {
	if r.plans == nil || r.plansClaim != by {
		r.plans, r.plansClaim = make([]preemptionPlan, 0, 16), by
		stoppable := r.anyStoppable(j, by)
		r.core.candidates.examined += uint64(len(r.core.candidates.machines))
		for _, m := range r.core.candidates.machines {
			if !stoppable && !placement.TaskResources(j.Spec).FitsIn(r.expectedFree(m)) {
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
			if o := &r.plans[i]; o.machine != nil && (best == nil || o.cost < best.cost) && r.zones.Allows(j.Spec, o.machine.Zone()) {
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
func (r *preemptor) planOn(j *cluster.Job, m *cluster.Machine, by claim) (preemptionPlan, bool) {
	if !placement.Allowed(j.Spec, m.Site()) || !r.core.zones.admits(j, j.Pending()[len(j.Pending())-1], m) || r.core.failures.hasAntiAffinity(j, m) || r.core.reservations.reservedForOther(m, j) && r.core.queue.starving(m.Admission.ReservedFor) {
		return preemptionPlan{}, false
	}
	need, free := placement.TaskResources(j.Spec), r.expectedFree(m)
	warm, hasty := m.HasImage(j.Spec.Image), r.core.queue.latencySensitive(j)
	o := preemptionPlan{machine: m}
	if by == claimOwn || !need.FitsIn(free) {
		if !need.FitsIn(m.Total()) {
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
func (r *preemptor) expectedFree(m *cluster.Machine) placement.Resources {
	if m.Preemption.Round != r.core.preemption.preemptionRounds {
		m.Preemption.Round, m.Preemption.Victims = r.core.preemption.preemptionRounds, nil
		m.Preemption.ExpectedFree = m.Free()
		for _, a := range m.Assignments() {
			if a.StopReason() != cluster.StopNone {
				m.Preemption.ExpectedFree = m.Preemption.ExpectedFree.Plus(placement.TaskResources(a.Job.Spec))
			}
		}
	}
	return m.Preemption.ExpectedFree
}

// victimsByCost lists a machine's tasks by the cost of stopping them, once in a round.
func (r *preemptor) victimsByCost(m *cluster.Machine) []cluster.Victim {
	if m.Preemption.Victims == nil {
		m.Preemption.Victims = make([]cluster.Victim, 0, len(m.Assignments()))
		for _, a := range m.Assignments() {
			if a.StopReason() == cluster.StopNone && !r.core.preemption.preemptionProtected(a) {
				m.Preemption.Victims = append(m.Preemption.Victims, cluster.Victim{Assignment: a, Cost: r.core.preemption.evictionCost(a)})
			}
		}
		slices.SortStableFunc(m.Preemption.Victims, func(a, b cluster.Victim) int { return cmp.Compare(a.Cost, b.Cost) })
		r.core.candidates.examined++
	}
	return m.Preemption.Victims
}

// protectionPeriod is how long the first task of a starving best-effort job runs without
// being preempted: all other work may stop it, and stopped at once it would have started
// for nothing. Other priorities are not protected: tasks that have run for longer would be
// stopped in their place.
const protectionPeriod = 45 * time.Second

// preemptionProtected tells whether a task must not be stopped for others yet.
func (p *evictor) preemptionProtected(a *cluster.Assignment) bool {
	return a.Protected && (a.Run.Phase != wire.TaskRunning || runTime(p.core.clock, a) < protectionPeriod)
}

// chooseVictims picks the tasks on a machine that are cheapest to stop.
func (r *preemptor) chooseVictims(j *cluster.Job, m *cluster.Machine, by claim, need, room placement.Resources) (out []*cluster.Assignment, cost float64, ok bool) {
	// With no quota left, the victims must free that as well.
	short := quota.Amount{}
	if by == claimOwn {
		short = j.Amount()
	}
	var taken map[ids.Team]quota.Amount // of borrowers
	for _, v := range r.victimsByCost(m) {
		s := v.Assignment.Job.Spec
		free, asBorrower := mayStop(j, by, s.Team, v.Assignment.Job.Priority())
		if !free && !asBorrower || r.stopped[v.Assignment] || v.Assignment.StopReason() != cluster.StopNone {
			continue
		}
		if !free {
			if !taken[s.Team].Plus(v.Assignment.Job.Amount()).FitsIn(r.borrowed[s.Team]) {
				continue
			}
			if taken == nil {
				taken = map[ids.Team]quota.Amount{}
			}
			taken[s.Team] = taken[s.Team].Plus(v.Assignment.Job.Amount())
		}
		out = append(out, v.Assignment)
		cost += v.Cost
		room = room.Plus(placement.TaskResources(s))
		short = short.Minus(v.Assignment.Job.Amount())
		if need.FitsIn(room) && short.FitsIn(quota.Amount{}) {
			return out, cost, true
		}
	}
	return nil, 0, false
}

// evictionCost is what is lost when a task is stopped: the work since its last
// checkpoint, and more for higher priorities.
func (p *evictor) evictionCost(a *cluster.Assignment) float64 {
	s := a.Job.Spec
	lost := 0.0
	if a.Run.Phase == wire.TaskRunning {
		lost = p.core.clock.Now().Sub(a.Run.PhaseSince).Seconds()
		if s.CheckpointEveryS > 0 {
			lost = min(lost, s.CheckpointEveryS) + s.CheckpointS
		}
	}
	// What was restarted before holds up its job, which ends with its last
	// task: it is stopped after others.
	loss := (lost + 2) * s.CPUs * float64(a.Attempt)
	for range int(a.Job.Priority()) {
		loss *= 3
	}
	if s.Service {
		loss += 1000
	}
	return loss
}
