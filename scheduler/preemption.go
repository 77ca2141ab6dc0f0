package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// evictor stops tasks to make room for waiting work that is entitled to it.
type evictor struct {
	core *Core
	// workloads counts the tasks on machines by team and priority.
	workloads        map[workload]workloadCount
	preemptionRounds uint64
}

// preemptor is the state of one round of preemption.
type preemptor struct {
	core           *Core
	borrowed       map[ids.Team]quota.Amount // what teams use beyond their guarantee
	committedQuota map[ids.Team]quota.Amount // quota spoken for, less what is being freed
	stopped        map[*assignment]bool
	// zones counts a job's tasks with those that room is being made for.
	zones            placement.TasksByZone
	presentWorkloads []workload // whose work there is at all
	// infeasible holds what no room could be made for in this round. Nothing gets
	// easier during a round, so the like of it is not tried again.
	infeasible map[infeasibleRequest]bool
	// options are the machines for the present job, as long as its claim
	// stays the same.
	plans      []preemptionPlan
	plansClaim claim
}

// preempt stops tasks for waiting work that may have its room now: work of
// lower priority for work of higher, and what other teams borrow for a team
// below its guarantee. It stops no more than the waiting work needs, and
// counts what is already leaving.
func (p *evictor) preempt(waiting []*job) {
	p.preemptionRounds++
	r := &preemptor{core: p.core, borrowed: map[ids.Team]quota.Amount{}, committedQuota: map[ids.Team]quota.Amount{},
		stopped: map[*assignment]bool{}, infeasible: map[infeasibleRequest]bool{}}
	for _, t := range p.core.opt.Teams {
		r.borrowed[t.Name] = p.core.quotas.Borrowed(t.Name)
	}
	r.collectWorkloads()
	for _, j := range waiting {
		if len(j.pending) == 0 || j.probing() {
			continue
		}
		r.zones = maps.Clone(j.zones)
		if j.needsAllTasks() {
			r.preemptForWholeJob(j)
			continue
		}
		r.plans = nil
		for range j.pending {
			victims, ok := r.planPreemption(j, nil)
			if !ok {
				break
			}
			r.evict(j, victims)
		}
	}
}

// preemptForWholeJob makes room for all waiting tasks of a job, or for none.
func (r *preemptor) preemptForWholeJob(j *job) {
	over, owed, stopped := maps.Clone(r.borrowed), maps.Clone(r.committedQuota), maps.Clone(r.stopped)
	coming := map[*machine]placement.Resources{}
	var all []*assignment
	r.plans = nil
	for range j.pending {
		victims, ok := r.planPreemption(j, coming)
		if !ok {
			r.borrowed, r.committedQuota, r.stopped = over, owed, stopped
			for m, free := range coming {
				m.plannedFree = free
			}
			return
		}
		all = append(all, victims...)
	}
	r.evict(j, all)
}

// evict stops the chosen victims.
func (r *preemptor) evict(j *job, victims []*assignment) {
	for _, a := range victims {
		if a.job.spec.Team != j.spec.Team {
			r.core.quotas.SuspendLending(j.spec.Team, r.core.now.Add(r.core.opt.LendingSuspension))
		}
		// Evicted work waits a moment, so that the room goes to the work that
		// it was made for.
		a.job.retryAt = max(a.job.retryAt, r.core.now.Add(evictionBackoff))
		r.core.stopTask(a, stopPreempted)
	}
}

// evictionBackoff is how long evicted work stays out of admission.
const evictionBackoff = 500 * time.Millisecond

// workload names the tasks of one team and priority.
type workload struct {
	team     ids.Team
	priority wire.Priority
}

// compare orders workloads by team and priority.
func (w workload) compare(o workload) int {
	return cmp.Or(strings.Compare(string(w.team), string(o.team)), cmp.Compare(w.priority, o.priority))
}

// workloadCount counts the tasks on machines that were not told to stop, and
// those that were and what they will free. Counting them anew in each round
// took a fifth of the processor with ten thousand tasks.
type workloadCount struct {
	staying, leaving int
	freeing          quota.Amount
}

// countTask keeps the counts of tasks on machines.
func (p *evictor) countTask(a *assignment, staying, leaving int) {
	w := workload{a.job.spec.Team, a.job.priority}
	on := p.workloads[w]
	on.staying += staying
	on.leaving += leaving
	if on.freeing = on.freeing.Plus(a.job.amount().Times(leaving)); on.leaving == 0 {
		on.freeing = quota.Amount{} // no rest of rounding
	}
	p.workloads[w] = on
}

// collectWorkloads takes into account what is being stopped already, and finds whose
// work there is.
func (r *preemptor) collectWorkloads() {
	for _, w := range slices.SortedFunc(maps.Keys(r.core.preemption.workloads), workload.compare) {
		on := r.core.preemption.workloads[w]
		if on.leaving > 0 {
			r.borrowed[w.team] = r.borrowed[w.team].Minus(on.freeing)
			r.committedQuota[w.team] = r.committedQuota[w.team].Minus(on.freeing)
		}
		if on.staying > 0 {
			r.presentWorkloads = append(r.presentWorkloads, w)
		}
	}
}

// claim is by what right a task may have room made for it.
type claim uint8

const (
	claimNone    claim = iota
	claimOwn           // its team is at its limit: only by its own lower work
	claimBorrow        // by work of lower priority that is its own or borrows too
	claimNominal       // by work of lower priority, and by what others borrow
)

// claim is the strongest claim that a job's team has for one more task.
func (r *preemptor) claim(j *job) claim {
	m := r.committedQuota[j.spec.Team].Plus(j.amount())
	switch {
	case !j.deferred && r.core.quotas.FitsNominal(j.spec.Team, m):
		return claimNominal
	case r.core.quotas.FitsBorrowing(j.spec.Team, m, r.core.now):
		return claimBorrow
	case j.priority > wire.BestEffort:
		return claimOwn
	}
	return claimNone
}

// anyStoppable tells whether there is any work that a claim allows to stop.
func (r *preemptor) anyStoppable(j *job, by claim) bool {
	for _, w := range r.presentWorkloads {
		free, asBorrower := mayStop(j, by, w.team, w.priority)
		if free || asBorrower && !r.borrowed[w.team].FitsIn(quota.Amount{}) {
			return true
		}
	}
	return false
}

// mayStop tells whether work may be stopped for a job: freely, or only as far
// as its team uses more than its guarantee. Admission lets those within their
// guarantee go before borrowers of any priority. Were borrowers to stop them
// for their priority, the two would take each other's room for ever.
func mayStop(j *job, by claim, team ids.Team, prio wire.Priority) (free, asBorrower bool) {
	own, lower := team == j.spec.Team, prio < j.priority
	free = lower && (own || by == claimNominal)
	asBorrower = !own && (by == claimNominal || by == claimBorrow && lower)
	return free, asBorrower
}
