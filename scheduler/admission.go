package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// admitter admits waiting jobs against the quotas and places their tasks.
type admitter struct {
	cluster    *cluster.State
	rounds     *clock.RoundTrigger
	queue      *jobQueue
	quota      *quotaCheck
	candidates *candidateList
	health     machineUsability
	searches   *searcher
	zones      zoneAdmission
	lifecycle  placementStopper
	records    placementRecords
	// maxSkippedJobs is after how many jobs that did not fit a pass over the queue ends.
	maxSkippedJobs int
}

// zoneAdmission bounds what may start in a zone that recovers.
type zoneAdmission interface {
	// admits tells whether a task may start on a machine now.
	admits(j *cluster.Job, index int, m *cluster.Machine) bool
	// requestPart tells what of a job the bound depends on now; ok is false if no other job
	// is like this one.
	requestPart(j *cluster.Job) (part gateClass, ok bool)
	unproven(zone ids.Zone) bool
	started(a *cluster.Assignment)
}

// placementStopper stops tasks, or takes back placements of the present round.
type placementStopper interface {
	stop(a *cluster.Assignment, why cluster.StopReason)
	withdraw(a *cluster.Assignment)
}

// placementRecords notes which placements must be recorded.
type placementRecords interface {
	markPlacementDirty(j *cluster.Job, index int)
}

// admissionAttempt is one attempt to place tasks of a job.
type admissionAttempt struct {
	job    *cluster.Job
	source quotaSource
	whole  bool // all pending tasks are placed, or none
}

// placementResult tells why an attempt to place tasks ended.
type placementResult uint8

const (
	placementEnded  placementResult = iota // all were placed, or a limit was met
	placementNoRoom                        // no machine had room for the next task
)

// admitAll places what fits of the waiting jobs: first within the teams' nominal quotas,
// then with what they borrow.
func (adm *admitter) admitAll(waiting []*cluster.Job) {
	adm.candidates.collect(adm.cluster.Machines(), adm.health)
	pass := &admissionPass{
		admitter:       adm,
		infeasible:     map[placementRequest]bool{},
		borrowPriority: map[ids.Team]wire.Priority{},
	}
	pass.admitNominal(waiting)
	// What is lent goes to the jobs that starve first.
	pass.admitBorrowed(adm.queue.starvingFirst(waiting))
}

// admissionPass is the state of the two passes over the queue in one round.
type admissionPass struct {
	*admitter
	// infeasible are the requests that found no machine in this round.
	infeasible map[placementRequest]bool
	// borrowPriority is the highest priority of a team's work that has to borrow. The team's
	// lower work must not slip into the rest of its nominal quota past it: the higher
	// would stop it again.
	borrowPriority map[ids.Team]wire.Priority
}

// admitNominal admits jobs within their teams' nominal quotas.
func (p *admissionPass) admitNominal(waiting []*cluster.Job) {
	skipped := 0
	for _, j := range waiting {
		if len(j.Pending()) == 0 {
			continue
		}
		team := j.Spec.Team
		j.Queue.Deferred = j.Priority() < p.borrowPriority[team]
		if j.Queue.Deferred {
			continue
		}
		tried := p.try(j, nominalQuota)
		if p.quota.mustBorrow(j) {
			p.borrowPriority[team] = max(p.borrowPriority[team], j.Priority())
		}
		if tried && len(j.Pending()) > 0 {
			if skipped++; skipped > p.maxSkippedJobs {
				return
			}
		}
	}
}

// admitBorrowed admits jobs with what their teams may borrow.
func (p *admissionPass) admitBorrowed(waiting []*cluster.Job) {
	skipped := 0
	for _, j := range waiting {
		if len(j.Pending()) == 0 {
			continue
		}
		if p.try(j, borrowedQuota) && len(j.Pending()) > 0 {
			if skipped++; skipped > p.maxSkippedJobs {
				return
			}
		}
	}
}

// try places what fits of a job, unless its like found no machine in this round.
func (p *admissionPass) try(j *cluster.Job, source quotaSource) (tried bool) {
	if request, alike := p.searches.requestOf(j, j.Zones()); alike && p.infeasible[request] {
		return false
	}
	if p.admitJob(j, source) != placementNoRoom {
		return true
	}
	// The request of what is left: some tasks may have been placed.
	if request, alike := p.searches.requestOf(j, j.Zones()); alike {
		p.infeasible[request] = true
	}
	return true
}

// admitJob places what fits of a job: a service or a gang whole, an array task by task.
func (adm *admitter) admitJob(j *cluster.Job, source quotaSource) placementResult {
	if j.Spec.Gang && len(j.Active()) > 0 {
		// The rest of the gang waits for the tasks that it lost. It starts
		// again together, so it is stopped whole first.
		for _, a := range j.Assignments() {
			adm.lifecycle.stop(a, cluster.StopPreempted)
		}
		return placementEnded
	}
	attempt := admissionAttempt{job: j, source: source, whole: j.NeedsAllTasks()}
	switch {
	case attempt.whole && !adm.quota.fits(j, source, len(j.Pending())):
		return placementEnded
	case attempt.whole && j.Spec.OneZone:
		return adm.admitInOneZone(attempt)
	}
	return adm.admitTasks(attempt)
}

// admitInOneZone places all tasks of a job in one zone. The best machine for the first task
// may stand in a zone that cannot hold the rest, so every zone has its turn, that one first.
func (adm *admitter) admitInOneZone(attempt admissionAttempt) placementResult {
	j := attempt.job
	first := adm.searches.newSearch(j).next(j.Pending()[len(j.Pending())-1])
	if first == nil {
		return placementNoRoom
	}
	defer func() { j.Queue.OnlyZone = "" }()
	zones := []ids.Zone{first.Zone()}
	for _, m := range adm.cluster.Machines() {
		if !slices.Contains(zones, m.Zone()) {
			zones = append(zones, m.Zone())
		}
	}
	for _, zone := range zones {
		j.Queue.OnlyZone = zone
		if adm.admitTasks(attempt) != placementNoRoom {
			return placementEnded
		}
	}
	return placementNoRoom
}

// admitTasks places what fits of a job's pending tasks, in the one zone that the job is held
// to, if any.
func (adm *admitter) admitTasks(attempt admissionAttempt) placementResult {
	j := attempt.job
	placed, result := adm.placeTasks(attempt)
	if attempt.whole && len(placed) < len(j.Pending()) {
		for _, a := range placed {
			adm.lifecycle.withdraw(a)
		}
		return result
	}
	adm.cluster.Admit(j, len(placed))
	for _, a := range placed {
		adm.records.markPlacementDirty(j, a.Index)
	}
	return result
}

// placeTasks places a job's pending tasks in order until one does not fit.
func (adm *admitter) placeTasks(attempt admissionAttempt) (placed []*cluster.Assignment, result placementResult) {
	j := attempt.job
	var search *candidateSearch
	aged := adm.queue.agedToFront(j)
	for k := len(j.Pending()) - 1; k >= 0; k-- {
		if !adm.quota.fits(j, attempt.source, 1) {
			break
		}
		if search == nil {
			search = adm.searches.newSearch(j)
		}
		index := j.Pending()[k]
		m := search.next(index)
		if m == nil {
			return placed, placementNoRoom
		}
		placed = append(placed, adm.assign(j, index, m))
		search.reinsert(m)
		if probing(j) {
			break
		}
		if aged && !attempt.whole {
			adm.rounds.MarkDue()
			break // it has started, so the rest goes before no other job
		}
	}
	return placed, placementEnded
}

// assign places a task on a machine. It counts as used at once; the command to run it is
// sent when the record is committed.
func (adm *admitter) assign(j *cluster.Job, index int, m *cluster.Machine) *cluster.Assignment {
	protected := j.Priority() == wire.BestEffort && adm.queue.starving(j)
	a := adm.cluster.Assign(j, index, m)
	a.Protected = protected
	adm.zones.started(a)
	return a
}
