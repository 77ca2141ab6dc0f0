package zonerecovery

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// displacedJob is a job that lost tasks with a zone in the present incident.
type displacedJob struct {
	// losses counts the outages that took tasks of the job. lastLoss is the number of the
	// newest of them.
	losses         int
	lastLossOutage int
	// failbacks counts the outages after which a task of the job was placed in the zone again;
	// forced ones are not counted. lastFailback is the number of the newest of these outages,
	// forced ones included.
	failbacks          int
	lastFailbackOutage int
	// restored counts the replicas that were moved back.
	restored int
	// lostAt is when the job last lost a task.
	lostAt monotonic.Instant
}

// failbackPending reports whether the job has not returned since its newest loss.
func (j *displacedJob) failbackPending() bool { return j.lastLossOutage > j.lastFailbackOutage }

// failback says what the placement of a task in a zone means for the budget of its job.
type failback uint8

const (
	// noFailback: the zone did not displace the job, or the job has returned already.
	noFailback failback = iota
	// failbackInBudget: the first task since the displacement returned, and used the budget.
	failbackInBudget
	// failbackForced: it returned although the budget was exhausted, after a long wait or
	// because the job may run nowhere else.
	failbackForced
)

// displacements owns the jobs that an incident displaced, and their budgets: how often a job may
// return to the zone, and how many of its replicas may be moved back. It starts and moves
// nothing.
type displacements struct {
	policy *Policy
	jobs   map[ids.JobID]*displacedJob
}

func newDisplacements(policy *Policy) displacements {
	return displacements{policy: policy, jobs: map[ids.JobID]*displacedJob{}}
}

// recordLoss notes that an outage took a task of a job. It reports whether this was the first one
// in that outage, so that the record has changed.
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

// recordPlacement notes that a task was placed in the zone, and says whether its job returned
// with it. The rest of the job may follow its first task.
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

// denies reports whether a job's budget keeps a task out of the zone.
func (d *displacements) denies(request *StartRequest, now monotonic.Instant) bool {
	return d.budgetExhausted(request.Task.Job) && !d.mayExceedBudget(request, now)
}

// mayExceedBudget reports whether the budget no longer counts for a task: its job may run nowhere
// else, or has waited for long.
func (d *displacements) mayExceedBudget(request *StartRequest, now monotonic.Instant) bool {
	return request.ZonePinned || !d.waits(request.Task.Job, now)
}

// waits reports whether a displaced job still waits for capacity elsewhere.
func (d *displacements) waits(job ids.JobID, now monotonic.Instant) bool {
	entry := d.jobs[job]
	return entry != nil && now < entry.lostAt.Add(d.policy.ForceFailbackAfter)
}

// budgetExhausted reports whether a job returned as often as its budget allows, and was displaced
// again since.
func (d *displacements) budgetExhausted(job ids.JobID) bool {
	entry := d.jobs[job]
	return entry != nil && entry.failbacks >= d.policy.FailbackBudget && entry.failbackPending()
}

// mayRestore reports whether a job's budgets allow another replica to be moved back.
func (d *displacements) mayRestore(job ids.JobID) bool {
	entry := d.jobs[job]
	return entry != nil && entry.restored < d.policy.Restore.Budget && !d.budgetExhausted(job)
}

// recordRestore counts a replica that is moved back. mayRestore must be true for the job.
func (d *displacements) recordRestore(job ids.JobID) { d.jobs[job].restored++ }

// maxFailbacks returns how often the job that returned most often did so.
func (d *displacements) maxFailbacks() int {
	most := 0
	for _, entry := range d.jobs {
		most = max(most, entry.failbacks)
	}
	return most
}

// load replaces the jobs by recorded ones. How long they have waited is not recorded, so
// their wait starts again now.
func (d *displacements) load(jobs map[ids.JobID]*displacedJob, now monotonic.Instant) {
	for _, entry := range jobs {
		entry.lostAt = now
	}
	d.jobs = jobs
}

// clear removes all jobs at the end of an incident.
func (d *displacements) clear() { d.jobs = map[ids.JobID]*displacedJob{} }

// byRelevance lists the jobs in the order in which a record has room for them: by failbacks, then
// by losses, both descending, then by id.
func (d *displacements) byRelevance() []ids.JobID {
	return slices.SortedFunc(maps.Keys(d.jobs), func(a, b ids.JobID) int {
		x, y := d.jobs[a], d.jobs[b]
		return cmp.Or(cmp.Compare(y.failbacks, x.failbacks), cmp.Compare(y.losses, x.losses), strings.Compare(string(a), string(b)))
	})
}
