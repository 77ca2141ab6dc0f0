package scheduler

import (
	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/scheduler/cluster"
)

// waitingJobs lists the jobs with tasks to place: by priority, then those that have
// waited too long, then by creation time, or for pipelines by when they should start. While
// a zone's work may have to move, services go before other jobs of their priority.
func (c *Core) waitingJobs() []*cluster.Job {
	var out []*cluster.Job
	for _, j := range c.cluster.Jobs() {
		if !j.Queue.Ready || j.Terminal() || j.Queue.Suspended || j.Records.Refusals >= maxRefusals || len(j.Pending()) == 0 || len(j.Active()) > 0 && probing(j) {
			continue
		}
		if c.clock.Now() < j.Queue.RetryAt {
			c.rounds.RecheckAt(j.Queue.RetryAt) // nothing else may happen until then
			continue
		}
		out = append(out, j)
	}
	evacuating := c.zones.evacuating()
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if a.Priority() != b.Priority() {
			return a.Priority() > b.Priority()
		}
		if x, y := c.agedToFront(a), c.agedToFront(b); x != y {
			return x
		}
		if evacuating && a.Spec.Service != b.Spec.Service {
			return a.Spec.Service
		}
		if a.Queue.OrderMS != b.Queue.OrderMS {
			return a.Queue.OrderMS < b.Queue.OrderMS
		}
		return a.ID < b.ID
	})
	return out
}

// latencySensitive tells whether a job's class must start sooner than a machine boots.
func (c *Core) latencySensitive(j *cluster.Job) bool {
	_, ok := c.opt.LatencySensitive[j.Spec.Class]
	return ok
}

// agedToFront tells whether a job has waited to start for so long that it goes before the
// jobs of its priority that have started. A team's quota may all go to its older jobs,
// task by task: reserved machines are of no use to a later one then.
func (c *Core) agedToFront(j *cluster.Job) bool { return c.waitedToStart(j, 2) }

// waitedToStart tells whether a job could not start for so many times ReserveAfter.
func (c *Core) waitedToStart(j *cluster.Job, times float64) bool {
	return !j.Started() && c.opt.ReserveAfter > 0 && c.clock.Now() > j.Queue.ReadyAt.Add(time.Duration(times*float64(c.opt.ReserveAfter)))
}

// starvationFactor is after how many times ReserveAfter a job that could not begin has room
// reserved against work of higher priority too.
const starvationFactor = 2.5

// starving tells whether a job of whatever priority has waited to start for so long that
// it must, as every job does within four minutes where limits allow. Best-effort work
// would never see room where more urgent work takes each gap. One task is little.
func (c *Core) starving(j *cluster.Job) bool { return c.waitedToStart(j, starvationFactor) }

// starvingFirst lists waiting jobs with those that starve before all others.
func (c *Core) starvingFirst(waiting []*cluster.Job) []*cluster.Job {
	if !slices.ContainsFunc(waiting, c.starving) {
		return waiting
	}
	out := make([]*cluster.Job, 0, len(waiting))
	for _, starving := range []bool{true, false} {
		for _, j := range waiting {
			if c.starving(j) == starving {
				out = append(out, j)
			}
		}
	}
	return out
}
