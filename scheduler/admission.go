package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// admitter admits waiting jobs against the team quotas and places their tasks. Each scheduling
// round calls admitAll. It must not place a task that exceeds its team's quota, and it must not
// place some tasks of a gang without the others.
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
	// maxSkippedJobs is the maximum number of jobs of one team for which one pass over the queue may
	// search all machines in vain.
	maxSkippedJobs int
}

// zoneAdmission limits which tasks may start in a recovering zone.
type zoneAdmission interface {
	// admits reports whether a task may start on a machine now.
	admits(j *cluster.Job, index int, m *cluster.Machine) bool
	// admissionClass returns the properties of a job that the result of admits depends on now. ok
	// is false if admits may return different results for two jobs with equal properties.
	admissionClass(j *cluster.Job) (class zoneAdmissionClass, ok bool)
	// recovering reports whether a zone is recovering, so that tasks may still fail to start there.
	recovering(zone ids.Zone) bool
	// taskStarted records that a task was placed.
	taskStarted(a *cluster.Assignment)
}

// placementStopper stops tasks, or undoes placements of the current round.
type placementStopper interface {
	stop(a *cluster.Assignment, reason cluster.StopReason)
	withdraw(a *cluster.Assignment)
}

// placementRecords tracks which placements must be written to the key-value store.
type placementRecords interface {
	markPlacementDirty(j *cluster.Job, index int)
}

// admissionAttempt represents one attempt to place tasks of a job.
type admissionAttempt struct {
	job          *cluster.Job
	source       quotaSource
	allOrNothing bool // all pending tasks are placed, or none
	single       bool // at most one task is placed, unless all must be placed together
}

// placementResult is the reason why an attempt to place tasks ended.
type placementResult uint8

const (
	placementEnded     placementResult = iota // all tasks were placed or a limit was reached
	placementNoMachine                        // no machine fits the next task
)

// admitJob places the pending tasks of a job that fit. A gang and a service that starts are
// placed as a whole or not at all, other jobs task by task.
func (adm *admitter) admitJob(j *cluster.Job, source quotaSource) placementResult {
	attempt := admissionAttempt{job: j, source: source, allOrNothing: j.NeedsAllTasks()}
	switch {
	case attempt.allOrNothing && !adm.quota.fits(j, source, len(j.Pending())):
		return placementEnded
	case attempt.allOrNothing && j.Spec.OneZone:
		return adm.admitInOneZone(attempt)
	}
	_, result := adm.admitTasks(attempt)
	return result
}

// admitInOneZone places all tasks of a job in one zone. The best machine for the first task
// may be in a zone without capacity for the other tasks. Therefore all zones are tried,
// beginning with the zone of that machine.
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
		if _, result := adm.admitTasks(attempt); result != placementNoMachine {
			return placementEnded
		}
	}
	return placementNoMachine
}

// admitTasks places the pending tasks of a job that fit, in JobQueue.OnlyZone if that is set.
// It undoes all placements if the attempt is all-or-nothing and a task did not fit.
func (adm *admitter) admitTasks(attempt admissionAttempt) (placed []*cluster.Assignment, result placementResult) {
	j := attempt.job
	placed, result = adm.placeTasks(attempt)
	if attempt.allOrNothing && len(placed) < len(j.Pending()) {
		for _, a := range placed {
			adm.lifecycle.withdraw(a)
		}
		return nil, result
	}
	adm.cluster.Admit(j, len(placed))
	for _, a := range placed {
		adm.records.markPlacementDirty(j, a.Index)
	}
	return placed, result
}

// placeTasks places a job's pending tasks in order until one does not fit or a limit is reached.
func (adm *admitter) placeTasks(attempt admissionAttempt) (placed []*cluster.Assignment, result placementResult) {
	j := attempt.job
	var search *candidateSearch
	aged := adm.queue.aged(j)
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
		search.updateRank(m)
		if probing(j) || attempt.single && !attempt.allOrNothing {
			break
		}
		if aged && !attempt.allOrNothing {
			adm.rounds.MarkDue()
			break // the job has started, so its other tasks no longer precede those of other jobs
		}
	}
	return placed, placementEnded
}

// assign places a task on a machine. Its resources count as used immediately. The run command is
// sent once the placement is committed to the key-value store.
func (adm *admitter) assign(j *cluster.Job, index int, m *cluster.Machine) *cluster.Assignment {
	protected := j.Priority() == wire.BestEffort && adm.queue.starving(j)
	a := adm.cluster.Assign(j, index, m)
	a.Protected = protected
	adm.zones.taskStarted(a)
	return a
}
