package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// jobQueue orders the jobs that wait for admission and determines which have waited too long.
// Of a job, it modifies only Queue.Listing.
type jobQueue struct {
	cluster  *cluster.State
	clock    *clock.Clock
	rounds   *clock.RoundTrigger
	zones    evacuationStatus
	settings queueSettings
	groups   *waitingGroups
	// listed and listedAll hold the results of the last calls of waitingJobs and allWaitingJobs.
	listed, listedAll []*cluster.Job
	// listing is a number that is above those of all earlier lists.
	listing uint64
}

// queueSettings holds the settings of the job queue.
type queueSettings struct {
	// latencySensitive maps each class whose tasks must start faster than a machine boots to
	// its start time objective.
	latencySensitive map[string]time.Duration
	// reserveAfter is how long a job waits for its start before machines are reserved for it.
	// After agingFactor times as long it counts as aged, and after starvationFactor times as
	// long as starving. Zero disables both.
	reserveAfter time.Duration
}

// evacuationStatus reports whether the tasks of some zone may need machines in other zones.
type evacuationStatus interface {
	evacuating() bool
	// anyGated reports whether the state of a zone decides which tasks may start there.
	anyGated() bool
}

// waitingJobs returns the jobs with tasks to place, in descending order of priority. Among jobs
// of equal priority, those that have waited too long come first. They are followed by services
// while the tasks of a zone may have to move to other zones. The remaining jobs are ordered by
// creation time, or by the time at which a late pipeline should start. Of many jobs that nothing
// distinguishes but their order, it returns the first ones. The result is valid until the next call.
func (q *jobQueue) waitingJobs() []*cluster.Job {
	limit := q.groups.maxListed
	if q.zones.evacuating() || q.zones.anyGated() {
		limit = math.MaxInt // the state of a zone may decide differently about jobs that are otherwise alike
	}
	q.listed = q.order(q.groups.list(q.clock.Now(), limit), q.listed)
	return q.listed
}

// allWaitingJobs returns all jobs with tasks to place, in the same order. The result is valid until the
// next call.
func (q *jobQueue) allWaitingJobs() []*cluster.Job {
	q.listedAll = q.order(q.groups.list(q.clock.Now(), math.MaxInt), q.listedAll)
	return q.listedAll
}

// order returns those of the jobs that wait, in order. Nearly all of them have waited before, in the same
// order. So what the previous list holds is kept in order, and only the others are sorted.
func (q *jobQueue) order(jobs, previous []*cluster.Job) []*cluster.Job {
	compare := q.comparison()
	candidate, kept := q.listing+1, q.listing+2
	q.listing = kept
	for _, j := range jobs {
		if q.waiting(j) {
			j.Queue.Listing = candidate
		}
	}
	previous = slices.DeleteFunc(previous, func(j *cluster.Job) bool { return j.Queue.Listing != candidate })
	for _, j := range previous {
		j.Queue.Listing = kept
	}
	if !slices.IsSortedFunc(previous, compare) {
		slices.SortFunc(previous, compare)
	}
	added := slices.DeleteFunc(jobs, func(j *cluster.Job) bool { return j.Queue.Listing != candidate })
	slices.SortFunc(added, compare)
	return mergeJobs(previous, added, compare)
}

// waiting reports whether tasks of a job may be placed now.
func (q *jobQueue) waiting(j *cluster.Job) bool {
	if !admissible(j) {
		return false
	}
	if q.clock.Now() < j.Queue.RetryAt {
		q.rounds.RecheckAt(j.Queue.RetryAt) // otherwise no round may be due then
		return false
	}
	return true
}

// comparison returns the order of waiting jobs now. No two jobs are equal.
func (q *jobQueue) comparison() func(a, b *cluster.Job) int {
	servicesFirst := q.zones.evacuating()
	return func(a, b *cluster.Job) int {
		if order := cmp.Compare(b.Priority(), a.Priority()); order != 0 {
			return order
		}
		if order := trueFirst(q.aged(a), q.aged(b)); order != 0 {
			return order
		}
		if order := trueFirst(a.Spec.Service, b.Spec.Service); servicesFirst && order != 0 {
			return order
		}
		if order := cmp.Compare(a.Queue.OrderMS, b.Queue.OrderMS); order != 0 {
			return order
		}
		return cmp.Compare(a.ID, b.ID)
	}
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// mergeJobs merges two sorted lists.
func mergeJobs(a, b []*cluster.Job, compare func(a, b *cluster.Job) int) []*cluster.Job {
	if len(b) == 0 {
		return a
	}
	merged := make([]*cluster.Job, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if compare(a[0], b[0]) < 0 {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}

// admissible reports whether a job has tasks that may be placed.
func admissible(j *cluster.Job) bool {
	switch {
	case !j.Queue.Ready, j.Terminal(), j.Queue.Suspended, j.Records.Refusals >= maxRefusals, len(j.Pending()) == 0:
		return false
	}
	return len(j.Active()) == 0 || !probing(j)
}

// latencySensitive reports whether tasks of a job's class must start faster than a machine boots.
func (q *jobQueue) latencySensitive(j *cluster.Job) bool {
	_, ok := q.settings.latencySensitive[j.Spec.Class]
	return ok
}

const (
	// agingFactor is the multiple of reserveAfter after which a job that could not start is
	// ordered before the jobs of its priority that have started.
	agingFactor = 2
	// starvationFactor is the multiple of reserveAfter after which the machines reserved for a
	// job that could not start are also withheld from jobs of higher priority.
	starvationFactor = 2.5
)

// aged reports whether a job has waited to start for so long that it is ordered before the jobs
// of its priority that have started. Otherwise the older jobs of a team may use all of its quota,
// task by task, and a later job cannot use the machines reserved for it.
func (q *jobQueue) aged(j *cluster.Job) bool { return q.waitedToStart(j, agingFactor) }

// starving reports whether a job has waited to start for so long that it goes before jobs of
// higher priority. Every job must start within four minutes if limits allow. Without this rule,
// best-effort jobs might never start while other jobs take all resources that become free.
func (q *jobQueue) starving(j *cluster.Job) bool { return q.waitedToStart(j, starvationFactor) }

// waitedToStart reports whether a job has waited for its start for longer than the given multiple
// of reserveAfter.
func (q *jobQueue) waitedToStart(j *cluster.Job, multiple float64) bool {
	after := q.settings.reserveAfter
	return !j.Started() && after > 0 && q.clock.Now() > j.Queue.ReadyAt.Add(time.Duration(multiple*float64(after)))
}

// starvingFirst returns the waiting jobs with the starving ones before all others.
func (q *jobQueue) starvingFirst(waiting []*cluster.Job) []*cluster.Job {
	if !slices.ContainsFunc(waiting, q.starving) {
		return waiting
	}
	var starving, others []*cluster.Job
	for _, j := range waiting {
		if q.starving(j) {
			starving = append(starving, j)
		} else {
			others = append(others, j)
		}
	}
	return append(starving, others...)
}
