package scheduler

import (
	"slices"
	"sort"
	"time"
)

// waitingJobs lists the jobs with tasks to place: by priority, then those that have
// waited too long, then by creation time, or for pipelines by when they should start. While
// a zone's work may have to move, services go before other jobs of their priority.
func (c *Core) waitingJobs() []*job {
	var out []*job
	for _, j := range c.jobs {
		if !j.ready || j.terminal() || j.suspended || j.refusals >= maxRefusals || len(j.pending) == 0 || len(j.active) > 0 && j.probing() {
			continue
		}
		if c.now < j.retryAt {
			c.scheduleAt(j.retryAt) // nothing else may happen until then
			continue
		}
		out = append(out, j)
	}
	evacuating := c.zones.evacuating()
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i], out[k]
		if a.priority != b.priority {
			return a.priority > b.priority
		}
		if x, y := c.agedToFront(a), c.agedToFront(b); x != y {
			return x
		}
		if evacuating && a.spec.Service != b.spec.Service {
			return a.spec.Service
		}
		if a.orderMS != b.orderMS {
			return a.orderMS < b.orderMS
		}
		return a.id < b.id
	})
	return out
}

// latencySensitive tells whether a job's class must start sooner than a machine boots.
func (c *Core) latencySensitive(j *job) bool {
	_, ok := c.opt.LatencySensitive[j.spec.Class]
	return ok
}

// agedToFront tells whether a job has waited to start for so long that it goes before the
// jobs of its priority that have started. A team's quota may all go to its older jobs,
// task by task: reserved machines are of no use to a later one then.
func (c *Core) agedToFront(j *job) bool { return c.waitedToStart(j, 2) }

// waitedToStart tells whether a job could not start for so many times ReserveAfter.
func (c *Core) waitedToStart(j *job, times float64) bool {
	return !j.started && c.opt.ReserveAfter > 0 && c.now > j.readyAt.Add(time.Duration(times*float64(c.opt.ReserveAfter)))
}

// starvationFactor is after how many times ReserveAfter a job that could not begin has room
// reserved against work of higher priority too.
const starvationFactor = 2.5

// starving tells whether a job of whatever priority has waited to start for so long that
// it must, as every job does within four minutes where limits allow. Best-effort work
// would never see room where more urgent work takes each gap. One task is little.
func (c *Core) starving(j *job) bool { return c.waitedToStart(j, starvationFactor) }

// starvingFirst lists waiting jobs with those that starve before all others.
func (c *Core) starvingFirst(waiting []*job) []*job {
	if !slices.ContainsFunc(waiting, c.starving) {
		return waiting
	}
	out := make([]*job, 0, len(waiting))
	for _, starving := range []bool{true, false} {
		for _, j := range waiting {
			if c.starving(j) == starving {
				out = append(out, j)
			}
		}
	}
	return out
}
