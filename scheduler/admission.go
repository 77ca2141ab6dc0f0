package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// admitter admits waiting jobs against the quotas and places their tasks. Each scheduling round
// calls admitAll. It must not place a task beyond its team's quota, nor some tasks of a gang
// without the others.
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
	// maxSkippedJobs is how many jobs that do not fit a pass over the queue may skip.
	maxSkippedJobs int
}

// zoneAdmission bounds what may start in a zone that recovers.
type zoneAdmission interface {
	// admits tells whether a task may start on a machine now.
	admits(j *cluster.Job, index int, m *cluster.Machine) bool
	// admissionClass returns the properties of a job that admits depends on now; ok is false if
	// the result for this job may differ from that for an equal one.
	admissionClass(j *cluster.Job) (class zoneAdmissionClass, ok bool)
	recovering(zone ids.Zone) bool
	taskStarted(a *cluster.Assignment)
}

// placementStopper stops tasks, or undoes placements of the present round.
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
	placementEnded     placementResult = iota // all were placed, or a limit was met
	placementNoMachine                        // no machine fits the next task
)

// admitAll places as many tasks of the waiting jobs as fit, first within the teams' nominal
// quotas, then with borrowed quota.
func (adm *admitter) admitAll(waiting []*cluster.Job) {
	adm.candidates.collect(adm.cluster.Machines(), adm.health)
	pass := &admissionPass{
		admitter:       adm,
		infeasible:     map[placementRequest]bool{},
		borrowPriority: map[ids.Team]wire.Priority{},
	}
	pass.admitNominal(waiting)
	// Starving jobs may borrow first.
	pass.admitBorrowed(adm.queue.starvingFirst(waiting))
}

// admissionPass is the state of the two passes over the queue in one round.
type admissionPass struct {
	*admitter
	// infeasible are the requests that found no machine in this round.
	infeasible map[placementRequest]bool
	// borrowPriority is the highest priority of a team's jobs that must borrow. The team's
	// jobs of lower priority must not use the rest of its nominal quota first: they would be
	// preempted again.
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

// admitBorrowed admits jobs with the quota that their teams may borrow.
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

// try admits a job, unless an equal request found no machine in this round.
func (p *admissionPass) try(j *cluster.Job, source quotaSource) (tried bool) {
	if request, cacheable := p.searches.requestOf(j, j.Zones()); cacheable && p.infeasible[request] {
		return false
	}
	if p.admitJob(j, source) != placementNoMachine {
		return true
	}
	// Some tasks may have been placed, so the request may have changed.
	if request, cacheable := p.searches.requestOf(j, j.Zones()); cacheable {
		p.infeasible[request] = true
	}
	return true
}

// admitJob places the pending tasks of a job that fit: all or none of a gang or of a service
// that starts, otherwise task by task.
func (adm *admitter) admitJob(j *cluster.Job, source quotaSource) placementResult {
	if j.Spec.Gang && len(j.Active()) > 0 {
		// The gang has lost tasks. All its tasks start again together, so the others are
		// stopped first.
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
// may be in a zone that cannot hold the others, so all zones are tried, that one first.
func (adm *admitter) admitInOneZone(attempt admissionAttempt) placementResult {
	j := attempt.job
	first := adm.searches.newSearch(j).next(j.Pending()[len(j.Pending())-1])
	if first == nil {
		return placementNoMachine
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
		if adm.admitTasks(attempt) != placementNoMachine {
			return placementEnded
		}
	}
	return placementNoMachine
}

// admitTasks places the pending tasks of a job that fit, in JobQueue.OnlyZone if that is set.
// It keeps none if the attempt needs all and one did not fit.
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
			return placed, placementNoMachine
		}
		placed = append(placed, adm.assign(j, index, m))
		search.reinsert(m)
		if probing(j) {
			break
		}
		if aged && !attempt.whole {
			adm.rounds.MarkDue()
			break // it has started, so its other tasks have no precedence
		}
	}
	return placed, placementEnded
}

// assign places a task on a machine. Its resources count as used at once. The run command is
// sent once the placement is committed.
func (adm *admitter) assign(j *cluster.Job, index int, m *cluster.Machine) *cluster.Assignment {
	protected := j.Priority() == wire.BestEffort && adm.queue.starving(j)
	a := adm.cluster.Assign(j, index, m)
	a.Protected = protected
	adm.zones.taskStarted(a)
	return a
}
