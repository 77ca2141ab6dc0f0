package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// reservations keeps machines for jobs that could not start for too long. Later jobs that
// fit pass one that does not, so a large one might wait for ever while small ones take each
// gap as it opens. Once it has waited too long, machines that it could use take no other
// work of its priority or below, until their room has grown to what it needs.
type reservations struct {
	cluster    *cluster.State
	clock      *clock.Clock
	rounds     *clock.RoundTrigger
	queue      *jobQueue
	quota      *quotaCheck
	health     machineUsability
	candidates *candidateList
	settings   reservationSettings
}

// reservationSettings are the settings of reservations.
type reservationSettings struct {
	// after is how long a job waits for its start until machines are reserved for it; 0:
	// none ever are. lasting is how long a reservation lasts.
	after, lasting time.Duration
}

const (
	// maxReservedShare bounds the reserved machines, as a part of all.
	maxReservedShare = 0.1
	// reservationRecheck is how soon a job that waits to start is looked at again: time
	// alone lets it gain a reservation, or lose it.
	reservationRecheck = time.Second
)

// reservedForOther tells whether a machine is reserved for another job. Critical work, and
// what must start sooner than a machine boots, goes before those that starve.
func (r *reservations) reservedForOther(m *cluster.Machine, j *cluster.Job) bool {
	owner := m.Admission.ReservedFor
	if owner == nil || owner == j {
		return false
	}
	yields := j.Priority() < wire.Critical && !r.queue.latencySensitive(j) && r.queue.starving(owner)
	return owner.Priority() >= j.Priority() || yields
}

// update drops the reservations that ended and reserves machines for the jobs that need
// them. What another job waits for is not reserved twice, and room that did not suffice in
// time is given up for a while.
func (r *reservations) update(waiting []*cluster.Job) {
	if r.settings.after <= 0 {
		return
	}
	held, kept := r.dropEnded()
	for _, j := range r.queue.starvingFirst(waiting) {
		if j.Started() {
			continue
		}
		r.rounds.RecheckAt(r.clock.Now().Add(reservationRecheck))
		if r.clock.Now() < j.Queue.WaitingSince.Add(r.settings.after) {
			continue
		}
		if j.Queue.ReservedSince != 0 && r.ended(j) {
			j.Queue.WaitingSince, j.Queue.ReservedSince = r.clock.Now().Add(-r.settings.after/2), 0
			continue
		}
		n := j.TasksTogether()
		if !r.quota.fits(j, borrowedQuota, n) && !(j.Priority() == wire.BestEffort && r.queue.starving(j)) {
			// It does not wait for room. What is lent comes and goes, though, and
			// best-effort work lives on it alone: it must find room when it comes.
			continue
		}
		kept += r.reserve(j, n, held[j], kept)
	}
}

// ended tells whether a job's reservation has lasted for long enough.
func (r *reservations) ended(j *cluster.Job) bool {
	return r.clock.Now() > j.Queue.ReservedSince.Add(r.settings.lasting)
}

// dropEnded ends the reservations that are over or of no use, and lists the machines of the
// others by job, with their number.
func (r *reservations) dropEnded() (held map[*cluster.Job][]*cluster.Machine, kept int) {
	held = map[*cluster.Job][]*cluster.Machine{}
	for _, m := range r.cluster.Machines() {
		owner := m.Admission.ReservedFor
		if owner == nil {
			continue
		}
		if owner.Started() || owner.Terminal() || r.ended(owner) || !r.health.takesTasks(m) {
			m.Admission.ReservedFor = nil
			r.rounds.MarkDue()
			continue
		}
		kept++
		held[owner] = append(held[owner], m)
	}
	return held, kept
}

// reserve keeps machines for n tasks of a job, beside those it holds: those with most room
// go first. kept is how many machines are reserved for any job; the result is how many were
// added. With hundreds of jobs waiting it must look at the machines only for those that need
// more, and not at all once no more may be kept.
func (r *reservations) reserve(j *cluster.Job, n int, held []*cluster.Machine, kept int) (added int) {
	need := placement.TaskResources(j.Spec)
	zones := placement.TasksByZone{}
	hold := func(m *cluster.Machine) {
		for room := m.Total(); n > 0 && need.FitsIn(room) && zones.Allows(j.Spec, m.Zone()); n-- {
			room = room.Minus(need)
			zones[m.Zone()]++
		}
	}
	for _, m := range held {
		hold(m)
	}
	most := maxReservedShare * float64(len(r.candidates.machines))
	if n <= 0 || float64(kept) > most {
		return 0
	}
	for _, m := range r.reservable(j) {
		if n <= 0 || float64(kept+added) > most {
			break
		}
		if !zones.Allows(j.Spec, m.Zone()) {
			continue
		}
		m.Admission.ReservedFor = j
		added++
		if j.Queue.ReservedSince == 0 {
			j.Queue.ReservedSince = r.clock.Now()
		}
		hold(m)
	}
	return added
}

// reservable lists the unreserved machines that could hold a task of a job if they were
// empty, those with most room first.
func (r *reservations) reservable(j *cluster.Job) []*cluster.Machine {
	need := placement.TaskResources(j.Spec)
	r.candidates.examined += uint64(len(r.candidates.machines))
	var free []*cluster.Machine
	for _, m := range r.candidates.machines {
		if m.Admission.ReservedFor == nil && placement.Allowed(j.Spec, m.Site()) && need.FitsIn(m.Total()) {
			free = append(free, m)
		}
	}
	slices.SortStableFunc(free, func(a, b *cluster.Machine) int { return cmp.Compare(b.Free().CPUs, a.Free().CPUs) })
	return free
}
