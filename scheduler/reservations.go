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

// reservations keeps machines for jobs that could not start for too long. Later jobs
// that fit are admitted before one that does not, so a large job might wait forever while small
// ones take all resources that become free. Once it has waited too long, some machines that it
// could use take no other work of its priority or below, until enough is free there.
//
// Each scheduling round calls update after admission and preemption. It must not place or stop
// a task, nor reserve more than maxReservedShare of the machines.
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
	// nothing is reserved. duration is how long a reservation lasts.
	after, duration time.Duration
}

const (
	// maxReservedShare bounds the reserved machines, as a fraction of all.
	maxReservedShare = 0.1
	// reservationRecheck is how soon a job that waits to start is examined again: it may
	// gain or lose a reservation by time alone.
	reservationRecheck = time.Second
)

// reservedForOther tells whether a machine is reserved for another job. Critical and
// latency-sensitive jobs do not yield to the reservations of starving jobs.
func (r *reservations) reservedForOther(m *cluster.Machine, j *cluster.Job) bool {
	owner := m.Admission.ReservedFor
	if owner == nil || owner == j {
		return false
	}
	yields := j.Priority() < wire.Critical && !r.queue.latencySensitive(j) && r.queue.starving(owner)
	return owner.Priority() >= j.Priority() || yields
}

// update drops the reservations that ended and reserves machines for the jobs that need
// them. No machine is reserved for two jobs. A reservation that did not suffice in time is
// dropped for a while.
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
		if j.Queue.ReservedSince != 0 && r.expired(j) {
			j.Queue.WaitingSince, j.Queue.ReservedSince = r.clock.Now().Add(-r.settings.after/2), 0
			continue
		}
		n := j.TasksTogether()
		if !r.quota.fits(j, borrowedQuota, n) && !(j.Priority() == wire.BestEffort && r.queue.starving(j)) {
			// The job waits for quota, not for machines. Only a starving best-effort job
			// keeps its machines: it runs on borrowed quota alone, which may be available
			// only for a short time.
			continue
		}
		kept += r.reserve(j, n, held[j], kept)
	}
}

// expired tells whether a job's reservation has lasted for long enough.
func (r *reservations) expired(j *cluster.Job) bool {
	return r.clock.Now() > j.Queue.ReservedSince.Add(r.settings.duration)
}

// dropEnded drops the reservations that have ended or that are not needed any more. It returns
// the machines of the others by job, and their number.
func (r *reservations) dropEnded() (held map[*cluster.Job][]*cluster.Machine, kept int) {
	held = map[*cluster.Job][]*cluster.Machine{}
	for _, m := range r.cluster.Machines() {
		owner := m.Admission.ReservedFor
		if owner == nil {
			continue
		}
		if owner.Started() || owner.Terminal() || r.expired(owner) || !r.health.takesTasks(m) {
			m.Admission.ReservedFor = nil
			r.rounds.MarkDue()
			continue
		}
		kept++
		held[owner] = append(held[owner], m)
	}
	return held, kept
}

// reserve reserves machines for n tasks of a job, beside those it holds, those with most free
// CPUs first. kept is how many machines are reserved for any job; the result is how many were
// added. Hundreds of jobs may wait, so it lists the machines only for jobs that need more, and
// not once the limit is reached.
func (r *reservations) reserve(j *cluster.Job, n int, held []*cluster.Machine, kept int) (added int) {
	need := placement.TaskResources(j.Spec)
	zones := placement.TasksByZone{}
	hold := func(m *cluster.Machine) {
		for left := m.Total(); n > 0 && need.FitsIn(left) && zones.Allows(j.Spec, m.Zone()); n-- {
			left = left.Minus(need)
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
// empty, those with most free CPUs first.
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
