package zonerecovery

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// displacedJob holds the counters of a job that lost tasks in a zone during the current incident.
type displacedJob struct {
	// losses counts the outages in which the job lost tasks. lastLossOutage is the number of the
	// newest of these outages.
	losses         int
	lastLossOutage int
	// failbacks counts the outages after which a task of the job was placed in the zone again;
	// forced failbacks are not counted. lastFailbackOutage is the number of the newest of these
	// outages, those with a forced failback included.
	failbacks          int
	lastFailbackOutage int
	// restored counts the replicas that were moved back to the zone.
	restored int
	// lostAt is when the job last lost a task.
	lostAt monotonic.Instant
}

// failbackPending reports whether no task of the job was placed in the zone since the newest outage
// in which the job lost tasks.
func (j *displacedJob) failbackPending() bool { return j.lastLossOutage > j.lastFailbackOutage }

// failback represents how the placement of a task in a zone affects the failback budget of its job.
type failback uint8

const (
	// noFailback means that the zone did not displace the job, or that the job has returned
	// already.
	noFailback failback = iota
	// failbackInBudget means that the first task since the displacement returned, which counts
	// against the budget.
	failbackInBudget
	// failbackForced means that the first task returned although the budget was exhausted: after
	// a long wait, or because the job may run in no other zone.
	failbackForced
)

// displacements holds the jobs that an incident displaced, and tracks their budgets: how often a job
// may return to the zone, and how many of its replicas may be moved back. It neither starts nor moves
// tasks.
type displacements struct {
	policy *Policy
	jobs   map[ids.JobID]*displacedJob
}

func newDisplacements(policy *Policy) displacements {
	return displacements{policy: policy, jobs: map[ids.JobID]*displacedJob{}}
}

// recordLoss records that a job lost a task in an outage. It reports whether this is the job's first
// loss in that outage, so that the zone's record has changed.
func (d *displacements) recordLoss(job ids.JobID, outage int, now monotonic.Instant) (changed bool) {
	entry := d.jobs[job]
	if entry == nil {
		entry = &displacedJob{}
		d.jobs[job] = entry
	}
	entry.lostAt = now
	if entry.lastLossOutage == outage {
		return false
	}
	entry.losses++
	entry.lastLossOutage = outage
	return true
}

// recordPlacement records that a task was placed in the zone. It returns whether that is a failback
// of the task's job. Only the first task is one: the rest of the job may follow it.
func (d *displacements) recordPlacement(request *StartRequest, now monotonic.Instant) failback {
	entry := d.jobs[request.Task.Job]
	if entry == nil || !entry.failbackPending() {
		return noFailback
	}
	entry.lastFailbackOutage = entry.lastLossOutage
	if entry.failbacks >= d.policy.FailbackBudget && d.mayExceedBudget(request, now) {
		return failbackForced
	}
	entry.failbacks++
	return failbackInBudget
}

// denies reports whether the failback budget of its job denies a task admission to the zone.
func (d *displacements) denies(request *StartRequest, now monotonic.Instant) bool {
	return d.budgetExhausted(request.Task.Job) && !d.mayExceedBudget(request, now)
}

// mayExceedBudget reports whether the budget does not apply to a task: its job may run in no other
// zone, or does not wait for capacity elsewhere any more.
func (d *displacements) mayExceedBudget(request *StartRequest, now monotonic.Instant) bool {
	return request.ZonePinned || !d.waits(request.Task.Job, now)
}

// waits reports whether a displaced job still waits for capacity in other zones. The wait ends
// ForceFailbackAfter after the last loss of a task.
func (d *displacements) waits(job ids.JobID, now monotonic.Instant) bool {
	entry := d.jobs[job]
	return entry != nil && now < entry.lostAt.Add(d.policy.ForceFailbackAfter)
}

// budgetExhausted reports whether a job returned as often as its budget allows, and has been
// displaced again.
func (d *displacements) budgetExhausted(job ids.JobID) bool {
	entry := d.jobs[job]
	return entry != nil && entry.failbacks >= d.policy.FailbackBudget && entry.failbackPending()
}

// mayRestore reports whether a job's budgets allow one more replica to be moved back.
func (d *displacements) mayRestore(job ids.JobID) bool {
	entry := d.jobs[job]
	return entry != nil && entry.restored < d.policy.Restore.Budget && !d.budgetExhausted(job)
}

// recordRestore counts a replica that is moved back. mayRestore must be true for the job.
func (d *displacements) recordRestore(job ids.JobID) { d.jobs[job].restored++ }

// maxFailbacks returns the highest number of failbacks of a job.
func (d *displacements) maxFailbacks() int {
	most := 0
	for _, entry := range d.jobs {
		most = max(most, entry.failbacks)
	}
	return most
}

// load replaces the jobs by recorded ones. How long a job has waited is not recorded, so the wait
// starts again now.
func (d *displacements) load(jobs map[ids.JobID]*displacedJob, now monotonic.Instant) {
	for _, entry := range jobs {
		entry.lostAt = now
	}
	d.jobs = jobs
}

// clear removes all jobs at the end of an incident.
func (d *displacements) clear() { d.jobs = map[ids.JobID]*displacedJob{} }

// byRelevance returns the jobs in the order in which they are added to a record, which may not hold
// all of them. They are sorted by failbacks and then by losses, both descending, and then by ID.
func (d *displacements) byRelevance() []ids.JobID {
	return slices.SortedFunc(maps.Keys(d.jobs), func(a, b ids.JobID) int {
		x, y := d.jobs[a], d.jobs[b]
		return cmp.Or(cmp.Compare(y.failbacks, x.failbacks), cmp.Compare(y.losses, x.losses), strings.Compare(string(a), string(b)))
	})
}
