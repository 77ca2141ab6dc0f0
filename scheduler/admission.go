package scheduler

import (
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// admitter admits waiting jobs against the quotas and places their tasks.
type admitter struct {
	core *Core
	// candidates are the machines that take tasks in the present round, by host, and
	// candidateZones their zones.
	candidates     []*cluster.Machine
	candidateZones []ids.Zone
	// MachinesExamined counts the machines that all rounds so far have looked at. It
	// measures and bounds their work without a clock.
	MachinesExamined uint64
}

// scheduleRound is one round of admission: first the jobs that stay within their team's
// guarantee, then those that borrow, each by priority and creation time. A job that does
// not fit is passed by later ones that do. Then room is made for jobs that are entitled
// to it, and machines are reserved for those that have waited too long.
func (adm *admitter) scheduleRound() {
	waiting := adm.core.waitingJobs()
	if len(waiting) == 0 {
		return
	}
	adm.core.updateSurplus()
	adm.admitAll(waiting)
	adm.MachinesExamined += adm.core.preemption.Preempt(waiting, adm.candidates)
	adm.core.updateReservations(waiting)
}

// collectCandidates lists the machines that take tasks now.
func (adm *admitter) collectCandidates() {
	adm.candidates, adm.candidateZones = adm.candidates[:0], adm.candidateZones[:0]
	for _, m := range adm.core.cluster.Machines() {
		if adm.core.health.takesTasks(m) {
			adm.candidates = append(adm.candidates, m)
			if !slices.Contains(adm.candidateZones, m.Zone()) {
				adm.candidateZones = append(adm.candidateZones, m.Zone())
			}
		}
	}
	adm.MachinesExamined += uint64(len(adm.core.cluster.Machines()))
}

// admitAll places what fits of the waiting jobs.
func (adm *admitter) admitAll(waiting []*cluster.Job) {
	adm.collectCandidates()
	full := map[placementRequest]bool{}
	// A team's lower work must not slip into the rest of its guarantee past
	// higher work that has to borrow: the higher would stop it again.
	borrower := map[ids.Team]wire.Priority{}
	for _, nominal := range []bool{true, false} {
		passed := 0
		if !nominal { // what is lent goes to those that starve first
			waiting = adm.core.starvingFirst(waiting)
		}
		for _, j := range waiting {
			if len(j.Pending()) == 0 {
				continue
			}
			if nominal {
				j.Queue.Deferred = j.Priority() < borrower[j.Spec.Team]
				if j.Queue.Deferred {
					continue
				}
			}
			sh, alike := adm.requestOf(j, j.Zones())
			tried := !alike || !full[sh]
			if tried && adm.admitJob(j, nominal) {
				// The shape of what is left: some of it may have been placed.
				if sh, alike := adm.requestOf(j, j.Zones()); alike {
					full[sh] = true
				}
			}
			if nominal && adm.mustBorrow(j) {
				borrower[j.Spec.Team] = max(borrower[j.Spec.Team], j.Priority())
			}
			if tried && len(j.Pending()) > 0 {
				if passed++; passed > adm.core.opt.MaxSkippedJobs {
					break
				}
			}
		}
	}
}

// updateSurplus gives the cohort what the machines have beyond the sum of the
// guarantees: left unused it would serve nobody.
func (c *Core) updateSurplus() {
	var have quota.Amount
	for _, m := range c.cluster.Machines() {
		if c.health.usable(m) {
			have = have.Plus(quota.Amount{CPUs: m.Total().CPUs, GPUs: m.Total().GPUs})
		}
	}
	c.quotas.SetCohortQuota(have.Minus(c.quotas.Nominal()))
}

// fitsQuota tells whether n more tasks of a job fit its team's quota: within the
// guarantee, or else with what may be borrowed.
func (c *Core) fitsQuota(j *cluster.Job, nominal bool, n int) bool {
	m := j.Amount().Times(n)
	if nominal {
		return c.quotas.FitsNominal(j.Spec.Team, m)
	}
	return c.quotas.FitsBorrowing(j.Spec.Team, m, c.clock.Now())
}

// mustBorrow tells whether a job's waiting tasks fit quota, but not within the
// guarantee.
func (adm *admitter) mustBorrow(j *cluster.Job) bool {
	n := j.TasksTogether()
	return len(j.Pending()) > 0 && !adm.core.fitsQuota(j, true, n) && adm.core.fitsQuota(j, false, n)
}

// admitJob places what fits of a job: a service or a gang whole, an array task by task.
// noRoom tells that no machine had room.
func (adm *admitter) admitJob(j *cluster.Job, nominal bool) (noRoom bool) {
	whole := j.NeedsAllTasks()
	if j.Spec.Gang && len(j.Active()) > 0 {
		// The rest of the gang waits for the tasks that it lost. It starts
		// again together, so it is stopped whole first.
		for _, a := range j.Assignments() {
			adm.core.lifecycle.stop(a, cluster.StopPreempted)
		}
		return false
	}
	if whole && !adm.core.fitsQuota(j, nominal, len(j.Pending())) {
		return false
	}
	if !whole || !j.Spec.OneZone {
		return adm.admitTasks(j, nominal, whole)
	}
	// The best machine for the first task may stand in a zone that cannot
	// hold the rest, so every zone has its turn, that one first.
	first := adm.newSearch(j).next(j.Pending()[len(j.Pending())-1])
	if first == nil {
		return true
	}
	defer func() { j.Queue.OnlyZone = "" }()
	zones := []ids.Zone{first.Zone()}
	for _, m := range adm.core.cluster.Machines() {
		if !slices.Contains(zones, m.Zone()) {
			zones = append(zones, m.Zone())
		}
	}
	for _, z := range zones {
		j.Queue.OnlyZone = z
		if noRoom = adm.admitTasks(j, nominal, whole); !noRoom {
			return false
		}
	}
	return true
}

// admitTasks is admit, in the one zone that the job is held to, if any.
func (adm *admitter) admitTasks(j *cluster.Job, nominal, whole bool) (noRoom bool) {
	var placed []*cluster.Assignment
	var s *candidateSearch
	begins := adm.core.agedToFront(j)
	for k := len(j.Pending()) - 1; k >= 0; k-- {
		if !adm.core.fitsQuota(j, nominal, 1) {
			break
		}
		if s == nil {
			s = adm.newSearch(j)
		}
		i := j.Pending()[k]
		m := s.next(i)
		if m == nil {
			noRoom = true
			break
		}
		placed = append(placed, adm.assign(j, i, m))
		s.reinsert(m)
		if probing(j) {
			break
		}
		if begins && !whole {
			adm.core.rounds.MarkDue()
			break // the rest has no more right than others
		}
	}
	if whole && len(placed) < len(j.Pending()) {
		for _, a := range placed {
			adm.core.lifecycle.withdraw(a)
		}
		return noRoom
	}
	adm.core.cluster.Admit(j, len(placed))
	for _, a := range placed {
		adm.core.records.markTaskDirty(j, a.Index, true)
	}
	return noRoom
}

// assign places a task on a machine. From here on it counts as used; the command to run
// it is sent once the record is committed.
func (adm *admitter) assign(j *cluster.Job, i int, m *cluster.Machine) *cluster.Assignment {
	protected := j.Priority() == wire.BestEffort && adm.core.starving(j)
	a := adm.core.cluster.Assign(j, i, m)
	a.Protected = protected
	adm.core.zones.started(a)
	return a
}
