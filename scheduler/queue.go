package scheduler

import (
	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// jobQueue orders the jobs that wait for admission, and tells which have waited too long. It
// changes no job.
type jobQueue struct {
	cluster  *cluster.State
	clock    *clock.Clock
	rounds   *clock.RoundTrigger
	zones    evacuationStatus
	settings queueSettings
}

// queueSettings are the settings of the job queue.
type queueSettings struct {
	// latencySensitive names the classes whose tasks must start sooner than a machine
	// boots, with their objectives.
	latencySensitive map[string]time.Duration
	// reserveAfter is how long a job waits for its start until it counts as starved; 0:
	// no job ever does.
	reserveAfter time.Duration
}

// evacuationStatus tells whether work of some zone may need machines in other zones.
type evacuationStatus interface{ evacuating() bool }

// waitingJobs lists the jobs with tasks to place, by priority. Among equals those that have
// waited too long come first, then services while work of a zone may have to move, then the
// others by creation time, or by the time at which a late pipeline should start.
func (q *jobQueue) waitingJobs() []*cluster.Job {
	var out []*cluster.Job
	for _, j := range q.cluster.Jobs() {
		if !admissible(j) {
			continue
		}
		if q.clock.Now() < j.Queue.RetryAt {
			q.rounds.RecheckAt(j.Queue.RetryAt) // there may be no other event until then
			continue
		}
		out = append(out, j)
	}
	servicesFirst := q.zones.evacuating()
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if a.Priority() != b.Priority() {
			return a.Priority() > b.Priority()
		}
		if x, y := q.aged(a), q.aged(b); x != y {
			return x
		}
		if servicesFirst && a.Spec.Service != b.Spec.Service {
			return a.Spec.Service
		}
		if a.Queue.OrderMS != b.Queue.OrderMS {
			return a.Queue.OrderMS < b.Queue.OrderMS
		}
		return a.ID < b.ID
	})
	return out
}

// admissible tells whether a job has tasks that may be placed.
func admissible(j *cluster.Job) bool {
	switch {
	case !j.Queue.Ready, j.Terminal(), j.Queue.Suspended, j.Records.Refusals >= maxRefusals, len(j.Pending()) == 0:
		return false
	}
	return len(j.Active()) == 0 || !probing(j)
}

// latencySensitive tells whether a job's class must start sooner than a machine boots.
func (q *jobQueue) latencySensitive(j *cluster.Job) bool {
	_, ok := q.settings.latencySensitive[j.Spec.Class]
	return ok
}

const (
	// agingFactor is after how many times reserveAfter a job that could not start goes
	// before the jobs of its priority that have started.
	agingFactor = 2
	// starvationFactor is after how many times reserveAfter a job that could not start keeps
	// its reserved machines from work of higher priority too.
	starvationFactor = 2.5
)

// aged tells whether a job has waited to start for so long that it goes before the
// jobs of its priority that have started. Otherwise a team's quota may all go to its
// older jobs, task by task, and reserved machines are of no use to a later one.
func (q *jobQueue) aged(j *cluster.Job) bool { return q.waitedToStart(j, agingFactor) }

// starving tells whether a job has waited to start for so long that it goes before work of
// higher priority. Every job must start within four minutes where limits allow. Otherwise
// best-effort jobs might never start while other work takes all resources that become free.
func (q *jobQueue) starving(j *cluster.Job) bool { return q.waitedToStart(j, starvationFactor) }

// waitedToStart tells whether a job could not start for the given multiple of reserveAfter.
func (q *jobQueue) waitedToStart(j *cluster.Job, times float64) bool {
	after := q.settings.reserveAfter
	return !j.Started() && after > 0 && q.clock.Now() > j.Queue.ReadyAt.Add(time.Duration(times*float64(after)))
}

// starvingFirst lists waiting jobs, those that starve before all others.
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
