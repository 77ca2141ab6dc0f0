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

// reservations reserves machines for jobs that have waited too long for their start. Jobs that
// fit are admitted before an earlier job that does not. Without reservations, a large job might
// wait indefinitely while small jobs take all resources that become free. Once a job has waited too
// long, some machines that it could use take no other tasks of its priority or below until enough
// resources are free there.
//
// Each scheduling round calls update after admission and preemption. update must not place or stop
// a task, and it must not reserve a further machine beyond maxReservedFraction.
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

// reservationSettings holds the settings of reservations.
type reservationSettings struct {
	// reserveAfter is how long a job waits for its start before machines are reserved for it.
	// Zero disables reservations. reserveFor is how long a reservation lasts.
	reserveAfter, reserveFor time.Duration
}

const (
	// maxReservedFraction is the fraction of the machines that take tasks above which no further
	// machine is reserved. One machine may always be reserved.
	maxReservedFraction = 0.1
	// reservationRecheckInterval is the interval at which jobs that wait to start are examined
	// again, because a reservation may begin or end without any event.
	reservationRecheckInterval = time.Second
)

// reservedForOther reports whether a machine is reserved for another job of the same or a higher
// priority, or for a starving job. Critical and latency-sensitive jobs do not yield to reservations
// of starving jobs that have a lower priority.
func (r *reservations) reservedForOther(m *cluster.Machine, j *cluster.Job) bool {
	owner := m.Admission.ReservedFor
	if owner == nil || owner == j {
		return false
	}
	yields := j.Priority() < wire.Critical && !r.queue.latencySensitive(j) && r.queue.starving(owner)
	return owner.Priority() >= j.Priority() || yields
}

// update releases the reservations that have ended and reserves machines for the jobs that need
// them. No machine is reserved for two jobs. A job that did not start before its reservation
// expired loses it and gets a new one only after a further wait.
func (r *reservations) update(waiting []*cluster.Job) {
	if r.settings.reserveAfter <= 0 {
		return
	}
	machinesByJob, reserved := r.releaseEnded()
	for _, j := range r.queue.starvingFirst(waiting) {
		if j.Started() {
			continue
		}
		r.rounds.RecheckAt(r.clock.Now().Add(reservationRecheckInterval))
		if r.clock.Now() < j.Queue.WaitingSince.Add(r.settings.reserveAfter) {
			continue
		}
		if j.Queue.ReservedSince != 0 && r.expired(j) {
			j.Queue.WaitingSince, j.Queue.ReservedSince = r.clock.Now().Add(-r.settings.reserveAfter/2), 0
			continue
		}
		n := j.TasksTogether()
		if !r.quota.fits(j, borrowedQuota, n) && !(j.Priority() == wire.BestEffort && r.queue.starving(j)) {
			// The job waits for quota, not for machines. Only a starving best-effort job
			// still gets reservations, because it runs only on borrowed quota, which may be
			// available only for a short time.
			continue
		}
		reserved += r.reserve(j, n, machinesByJob[j], reserved)
	}
}

// expired reports whether a job's reservation has lasted for the configured duration.
func (r *reservations) expired(j *cluster.Job) bool {
	return r.clock.Now() > j.Queue.ReservedSince.Add(r.settings.reserveFor)
}

// releaseEnded releases the machines whose reservation has expired, whose job no longer needs them,
// or that take no tasks now. It returns the machines that remain reserved, by job, and their number.
func (r *reservations) releaseEnded() (machinesByJob map[*cluster.Job][]*cluster.Machine, reserved int) {
	machinesByJob = map[*cluster.Job][]*cluster.Machine{}
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
		reserved++
		machinesByJob[owner] = append(machinesByJob[owner], m)
	}
	return machinesByJob, reserved
}

// reserve reserves machines for n tasks of a job, in addition to the machines already reserved for
// it. Machines with the most free CPUs are reserved first. reserved is the number of machines
// reserved for any job. The result is the number of machines added. Hundreds of jobs may wait,
// so the machines are listed only for jobs that need more of them and only below the limit.
func (r *reservations) reserve(j *cluster.Job, n int, own []*cluster.Machine, reserved int) (added int) {
	need := j.TaskResources()
	zones := placement.TasksByZone{}
	countTasksOn := func(m *cluster.Machine) {
		for remaining := m.Total(); n > 0 && need.FitsIn(remaining) && zones.Allows(j.Spec, m.Zone()); n-- {
			remaining = remaining.Minus(need)
			zones[m.Zone()]++
		}
	}
	for _, m := range own {
		countTasksOn(m)
	}
	limit := maxReservedFraction * float64(len(r.candidates.machines))
	if n <= 0 || float64(reserved) > limit {
		return 0
	}
	for _, m := range r.reservable(j) {
		if n <= 0 || float64(reserved+added) > limit {
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
		countTasksOn(m)
	}
	return added
}

// reservable returns the unreserved machines that could hold a task of a job if they were empty, in
// descending order of free CPUs.
func (r *reservations) reservable(j *cluster.Job) []*cluster.Machine {
	need := j.TaskResources()
	r.candidates.examined += uint64(len(r.candidates.machines))
	var machines []*cluster.Machine
	for _, m := range r.candidates.machines {
		if m.Admission.ReservedFor == nil && placement.Allowed(j.Spec, m.Site()) && need.FitsIn(m.Total()) {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *cluster.Machine) int { return cmp.Compare(b.Free().CPUs, a.Free().CPUs) })
	return machines
}
