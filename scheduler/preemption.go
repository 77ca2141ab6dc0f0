package scheduler

import (
	"maps"
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// evictor stops tasks to make room for waiting work that is entitled to it.
type evictor struct {
	core             *Core
	preemptionRounds uint64
}

// preemptor is the state of one round of preemption.
type preemptor struct {
	core           *Core
	borrowed       map[ids.Team]quota.Amount // what teams use beyond their guarantee
	committedQuota map[ids.Team]quota.Amount // quota spoken for, less what is being freed
	stopped        map[*cluster.Assignment]bool
	// zones counts a job's tasks with those that room is being made for.
	zones            placement.TasksByZone
	presentWorkloads []cluster.Workload // whose work there is at all
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
func (p *evictor) preempt(waiting []*cluster.Job) {
	p.preemptionRounds++
	r := &preemptor{core: p.core, borrowed: map[ids.Team]quota.Amount{}, committedQuota: map[ids.Team]quota.Amount{},
		stopped: map[*cluster.Assignment]bool{}, infeasible: map[infeasibleRequest]bool{}}
	for _, t := range p.core.opt.Teams {
		r.borrowed[t.Name] = p.core.quotas.Borrowed(t.Name)
	}
	r.collectWorkloads()
	for _, j := range waiting {
		if len(j.Pending()) == 0 || probing(j) {
			continue
		}
		r.zones = maps.Clone(j.Zones())
		if j.NeedsAllTasks() {
			r.preemptForWholeJob(j)
			continue
		}
		r.plans = nil
		for range j.Pending() {
			victims, ok := r.planPreemption(j, nil)
			if !ok {
				break
			}
			r.evict(j, victims)
		}
	}
}

// preemptForWholeJob makes room for all waiting tasks of a job, or for none.
func (r *preemptor) preemptForWholeJob(j *cluster.Job) {
	over, owed, stopped := maps.Clone(r.borrowed), maps.Clone(r.committedQuota), maps.Clone(r.stopped)
	coming := map[*cluster.Machine]placement.Resources{}
	var all []*cluster.Assignment
	r.plans = nil
	for range j.Pending() {
		victims, ok := r.planPreemption(j, coming)
		if !ok {
			r.borrowed, r.committedQuota, r.stopped = over, owed, stopped
			for m, free := range coming {
				m.Preemption.ExpectedFree = free
			}
			return
		}
		all = append(all, victims...)
	}
	r.evict(j, all)
}

// evict stops the chosen victims.
func (r *preemptor) evict(j *cluster.Job, victims []*cluster.Assignment) {
	for _, a := range victims {
		if a.Job.Spec.Team != j.Spec.Team {
			r.core.quotas.SuspendLending(j.Spec.Team, r.core.clock.Now().Add(r.core.opt.LendingSuspension))
		}
		// Evicted work waits a moment, so that the room goes to the work that
		// it was made for.
		a.Job.Queue.RetryAt = max(a.Job.Queue.RetryAt, r.core.clock.Now().Add(evictionBackoff))
		r.core.lifecycle.stop(a, cluster.StopPreempted)
	}
}

// evictionBackoff is how long evicted work stays out of admission.
const evictionBackoff = 500 * time.Millisecond

// collectWorkloads takes into account what is being stopped already, and finds whose
// work there is.
func (r *preemptor) collectWorkloads() {
	for _, w := range slices.SortedFunc(maps.Keys(r.core.cluster.Workloads()), cluster.Workload.Compare) {
		on := r.core.cluster.Workloads()[w]
		if on.Leaving > 0 {
			r.borrowed[w.Team] = r.borrowed[w.Team].Minus(on.Freeing)
			r.committedQuota[w.Team] = r.committedQuota[w.Team].Minus(on.Freeing)
		}
		if on.Staying > 0 {
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
func (r *preemptor) claim(j *cluster.Job) claim {
	m := r.committedQuota[j.Spec.Team].Plus(j.Amount())
	switch {
	case !j.Queue.Deferred && r.core.quotas.FitsNominal(j.Spec.Team, m):
		return claimNominal
	case r.core.quotas.FitsBorrowing(j.Spec.Team, m, r.core.clock.Now()):
		return claimBorrow
	case j.Priority() > wire.BestEffort:
		return claimOwn
	}
	return claimNone
}

// anyStoppable tells whether there is any work that a claim allows to stop.
func (r *preemptor) anyStoppable(j *cluster.Job, by claim) bool {
	for _, w := range r.presentWorkloads {
		free, asBorrower := mayStop(j, by, w.Team, w.Priority)
		if free || asBorrower && !r.borrowed[w.Team].FitsIn(quota.Amount{}) {
			return true
		}
	}
	return false
}

// mayStop tells whether work may be stopped for a job: freely, or only as far
// as its team uses more than its guarantee. Admission lets those within their
// guarantee go before borrowers of any priority. Were borrowers to stop them
// for their priority, the two would take each other's room for ever.
func mayStop(j *cluster.Job, by claim, team ids.Team, prio wire.Priority) (free, asBorrower bool) {
	own, lower := team == j.Spec.Team, prio < j.Priority()
	free = lower && (own || by == claimNominal)
	asBorrower = !own && (by == claimNominal || by == claimBorrow && lower)
	return free, asBorrower
}
