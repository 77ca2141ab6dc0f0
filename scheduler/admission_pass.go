package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// admissionRound holds the state of the two passes over the queue in one round. Within a round free resources
// and free quota only shrink, so a request that did not fit is not examined again, whichever job makes it. What
// one team's jobs cost therefore never keeps the passes from another team's jobs.
type admissionRound struct {
	*admitter
	// infeasible holds the requests for which no machine was found.
	infeasible map[placementRequest]bool
	// overQuota holds the requests for quota that did not fit, and lastOverQuota the last of each source:
	// most jobs make the same request as the one before.
	overQuota     map[quotaRequest]bool
	lastOverQuota [2]quotaRequest
	// borrowPriority holds, by team, the highest priority of the jobs that must borrow. The
	// team's jobs of lower priority must not use the rest of its nominal quota first, because
	// they would be preempted again.
	borrowPriority map[ids.Team]wire.Priority
	// unreached holds the jobs that a pass did not reach because their team had used up its searches.
	unreached map[*cluster.Job]bool
}

// quotaRequest holds everything that decides whether a job's next tasks fit its team's quota.
type quotaRequest struct {
	team   ids.Team
	source quotaSource
	amount quota.Amount
}

// admitAll places as many tasks of the waiting jobs as fit, first within the teams' nominal
// quotas, then with borrowed quota. It returns the jobs that both passes have reached, in the order of the queue.
// Nothing may be preempted for the others, since admission might not reach them in the next round either.
func (adm *admitter) admitAll(waiting []*cluster.Job) (reached []*cluster.Job) {
	adm.candidates.collect(adm.cluster.Machines(), adm.health)
	round := &admissionRound{
		admitter:       adm,
		infeasible:     map[placementRequest]bool{},
		overQuota:      map[quotaRequest]bool{},
		borrowPriority: map[ids.Team]wire.Priority{},
		unreached:      map[*cluster.Job]bool{},
	}
	round.admitNominal(waiting)
	// Starving jobs may borrow first.
	round.admitBorrowed(adm.queue.starvingFirst(waiting))
	round.admitProbes(waiting)
	if len(round.unreached) == 0 {
		return waiting
	}
	return slices.DeleteFunc(slices.Clone(waiting), func(j *cluster.Job) bool { return round.unreached[j] })
}

// admissionPass holds the state of one pass over the queue.
type admissionPass struct {
	*admissionRound
	source quotaSource
	// searchedInVain counts, by team, the jobs for which no machine was found.
	searchedInVain map[ids.Team]int
}

// newPass returns a pass that charges tasks to a source of quota.
func (r *admissionRound) newPass(source quotaSource) *admissionPass {
	return &admissionPass{admissionRound: r, source: source, searchedInVain: map[ids.Team]int{}}
}

// admitNominal admits jobs within their teams' nominal quotas.
func (r *admissionRound) admitNominal(waiting []*cluster.Job) {
	pass := r.newPass(nominalQuota)
	for _, j := range waiting {
		if len(j.Pending()) == 0 {
			continue
		}
		team := j.Spec.Team
		j.Queue.BorrowOnly = j.Priority() < r.borrowPriority[team]
		if j.Queue.BorrowOnly {
			continue
		}
		pass.try(j)
		if j.Priority() > r.borrowPriority[team] && r.mustBorrow(j) {
			r.borrowPriority[team] = j.Priority()
		}
	}
}

// admitBorrowed admits jobs against the quota that their teams may borrow.
func (r *admissionRound) admitBorrowed(waiting []*cluster.Job) {
	pass := r.newPass(borrowedQuota)
	for _, j := range waiting {
		if len(j.Pending()) > 0 {
			pass.try(j)
		}
	}
}

// mustBorrow reports whether a job's pending tasks fit its team's quota only with borrowing.
func (r *admissionRound) mustBorrow(j *cluster.Job) bool {
	return len(j.Pending()) > 0 && !r.fitsQuota(j, nominalQuota) && r.fitsQuota(j, borrowedQuota)
}

// fitsQuota reports whether the tasks of a job that must be placed together fit its team's quota.
func (r *admissionRound) fitsQuota(j *cluster.Job, source quotaSource) bool {
	n := j.TasksTogether()
	request := quotaRequest{team: j.Spec.Team, source: source, amount: j.Amount().Times(n)}
	if request == r.lastOverQuota[source] {
		return false
	}
	if !r.overQuota[request] {
		if r.quota.fits(j, source, n) {
			return true
		}
		r.overQuota[request] = true
	}
	r.lastOverQuota[source] = request
	return false
}

// try attempts to admit a job, unless an equal request did not fit in this round or the team has used up its
// searches.
func (p *admissionPass) try(j *cluster.Job) {
	if lostTasks(j) {
		p.restartGang(j)
		return
	}
	if !p.fitsQuota(j, p.source) {
		return
	}
	if request, cacheable := p.searches.requestOf(j, j.Zones()); cacheable && p.infeasible[request] {
		return
	}
	if p.searchedInVain[j.Spec.Team] > p.maxSkippedJobs {
		p.unreached[j] = true
		return
	}
	if p.admitJob(j, p.source) != placementNoMachine {
		return
	}
	p.searchedInVain[j.Spec.Team]++
	// Some tasks may have been placed, so the request may have changed.
	if request, cacheable := p.searches.requestOf(j, j.Zones()); cacheable {
		p.infeasible[request] = true
	}
}

// lostTasks reports whether a gang runs without some of its tasks. All its tasks must restart together, so
// the remaining ones are stopped first.
func lostTasks(j *cluster.Job) bool { return j.Spec.Gang && len(j.Active()) > 0 }

// restartGang stops the remaining tasks of a gang. Those that were never sent free their quota at once.
func (p *admissionPass) restartGang(j *cluster.Job) {
	for _, a := range j.Assignments() {
		p.lifecycle.stop(a, cluster.StopPreempted)
	}
	clear(p.overQuota)
	p.lastOverQuota = [2]quotaRequest{}
}
