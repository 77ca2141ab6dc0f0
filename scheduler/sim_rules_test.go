package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// This file holds the rules that users rely on. They are checked by what is on the simulated
// machines alone, without a look at the core, but for checkClusterState.

// requireNoViolations ends the test if a rule was broken.
func (s *sim) requireNoViolations() {
	s.t.Helper()
	if len(s.violations) > 0 {
		s.t.Fatalf("rules broken: %v", s.violations)
	}
}

// checkStart checks a task that has just started.
func (s *sim) checkStart(w *simWorker, t *simTask) {
	s.checkNotCancelled(t)
	s.checkDependenciesDone(t)
	s.checkRunsOnce(w, t)
	if s.starts%max(1, len(s.workers)/20) == 0 { // it looks at every task there is
		s.checkQuota()
	}
	zones := s.runningByZone(t.ref.Job)
	if !mayRunOn(s.specs[t.ref.Job], w, zones) {
		s.violation("wrong_place: %s on %s in %s, zones %v", t.ref, w.id, w.zone, zones)
	}
}

// checkNotCancelled checks that no task of a cancelled job starts after the deadline.
func (s *sim) checkNotCancelled(t *simTask) {
	acknowledgedAt, ok := s.cancelAcknowledgedAt[t.ref.Job]
	if !ok {
		return
	}
	s.startsAfterCancel++
	if s.now > acknowledgedAt.Add(simCancelDeadline) {
		s.violation("ran_cancelled: %s started", t.ref)
	}
}

// checkDependenciesDone checks that no task starts before the jobs that its job depends on.
func (s *sim) checkDependenciesDone(t *simTask) {
	for _, n := range s.specs[t.ref.Job].DependsOn {
		if s.status(n) != wire.JobDone {
			s.violation("too_early: %s started while %s is %s", t.ref, n, s.status(n))
		}
	}
}

// running lists the placements of a job whose tasks run under a valid lease.
func (s *sim) running(id ids.JobID) []simPlacement {
	var out []simPlacement
	for _, p := range s.placements[id] {
		if p.task.state == wire.TaskRunning && !s.leaseExpired(p.worker) && s.holdsTask(p.worker, p.task) {
			out = append(out, p)
		}
	}
	return out
}

// runningByZone counts the running tasks of a job by zone.
func (s *sim) runningByZone(id ids.JobID) map[ids.Zone]int {
	zones := map[ids.Zone]int{}
	for _, p := range s.running(id) {
		zones[p.worker.zone]++
	}
	return zones
}

// checkRunsOnce checks that no other attempt of a task runs.
func (s *sim) checkRunsOnce(w *simWorker, t *simTask) {
	for _, p := range s.running(t.ref.Job) {
		if p.task != t && p.task.ref == t.ref {
			s.violation("ran_twice: %s on %s and %s", t.ref, w.id, p.worker.id)
		}
	}
}

// mayRunOn tells whether the constraints of a job allow a task on a worker, with the running
// tasks of the job by zone.
func mayRunOn(spec *wire.JobSpec, w *simWorker, zones map[ids.Zone]int) bool {
	switch {
	case spec.Spread && zones[w.zone] > (spec.Tasks+1)/2:
		return false
	case spec.OneZone && len(zones) > 1:
		return false
	}
	return allowsWorker(spec, w)
}

// allowsWorker tells whether the site of a worker is allowed to a job.
func allowsWorker(spec *wire.JobSpec, w *simWorker) bool {
	switch {
	case w.spot && !spec.Spot:
		return false
	case spec.Zone != "" && spec.Zone != w.zone:
		return false
	}
	return len(spec.Types) == 0 || slices.Contains(spec.Types, w.machineType)
}

// checkQuota checks that no team uses more than its limit.
func (s *sim) checkQuota() {
	used := map[ids.Team]float64{}
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.state == wire.TaskRunning && !s.leaseExpired(w) {
				used[s.specs[t.ref.Job].Team] += s.specs[t.ref.Job].CPUs
			}
		}
	}
	for _, team := range s.opt.Teams {
		if used[team.Name] > team.Limit.CPUs+cpuSlack {
			s.violation("quota: %s uses %v", team.Name, used[team.Name])
		}
	}
}

// checkCancelledJobs checks each cancelled job just after its deadline.
func (s *sim) checkCancelledJobs() {
	const window = 150 * time.Millisecond // at least one tick
	for id, acknowledgedAt := range s.cancelAcknowledgedAt {
		if deadline := acknowledgedAt.Add(simCancelDeadline); s.now > deadline && s.now <= deadline.Add(window) {
			s.checkCancelledJobStopped(id)
		}
	}
}

// checkCancelledJobStopped checks that no task of a job runs.
func (s *sim) checkCancelledJobStopped(id ids.JobID) {
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.ref.Job == id && t.state == wire.TaskRunning && !s.leaseExpired(w) {
				s.violation("ran_cancelled: %s is still on %s", t.ref, w.id)
			}
		}
	}
}

const (
	// smallStateTasks is up to how many tasks the cluster state is checked after each step,
	// and largeStateSteps after how many steps beyond that.
	smallStateTasks = 300
	largeStateSteps = 1000
)

// checkClusterState checks the invariants of a core's cluster state after a step. It is the
// one check that looks into the core.
func (s *sim) checkClusterState(core *Core) {
	s.steps++
	tasks := 0
	for _, j := range core.cluster.Jobs() {
		tasks += len(j.Tasks())
	}
	if tasks > smallStateTasks && s.steps%largeStateSteps != 0 {
		return
	}
	if err := core.cluster.CheckInvariants(); err != nil {
		s.violation("state: %v", err)
	}
}

// starvationLimit is for how long a job may wait beside free resources that it fits.
const starvationLimit = 90 * time.Second

// starvationCheck finds jobs that wait although a machine has free resources for them and
// their team is under its limit.
type starvationCheck struct {
	*sim
	waited map[ids.JobID]time.Duration // by job, while nothing excuses its wait
}

func newStarvationCheck(s *sim) *starvationCheck {
	return &starvationCheck{sim: s, waited: map[ids.JobID]time.Duration{}}
}

// check looks at the jobs after some time has passed since the last look.
func (c *starvationCheck) check(all []ids.JobID, passed time.Duration) {
	free, used := c.usage()
	for _, id := range all {
		if !c.fitsSomeWorker(id, free) || !c.waitsWithinLimit(id, used) {
			delete(c.waited, id)
			continue
		}
		if c.waited[id] += passed; c.waited[id] >= starvationLimit {
			c.violation("%s waits beside free resources: %+v", id, *c.specs[id])
			delete(c.waited, id)
		}
	}
}

// usage is what is free on each live worker and what each team uses there, in CPUs.
func (c *starvationCheck) usage() (free map[*simWorker]float64, used map[ids.Team]float64) {
	free, used = map[*simWorker]float64{}, map[ids.Team]float64{}
	for _, w := range c.workers {
		if w.incarnation == 0 || c.leaseExpired(w) {
			continue
		}
		free[w] = c.typeOf(w).CPUs
		for _, t := range w.tasks {
			if t.state != wire.TaskEnded {
				spec := c.specs[t.ref.Job]
				free[w] -= spec.CPUs
				used[spec.Team] += spec.CPUs
			}
		}
	}
	return free, used
}

// fitsSomeWorker tells whether a worker has free CPUs for a task of a job.
func (c *starvationCheck) fitsSomeWorker(id ids.JobID, free map[*simWorker]float64) bool {
	spec := c.specs[id]
	for w, cpus := range free {
		if cpus >= spec.CPUs && allowsWorker(spec, w) {
			return true
		}
	}
	return false
}

// waitsWithinLimit tells whether a queued job has nothing placed although its dependencies
// are done and the limit of its team allows it. Jobs that start all their tasks together
// may wait for more than one machine, and are left out.
func (c *starvationCheck) waitsWithinLimit(id ids.JobID, used map[ids.Team]float64) bool {
	spec := c.specs[id]
	if (spec.Gang || spec.Service) && spec.Tasks > 1 || c.status(id) != wire.JobQueued {
		return false
	}
	if slices.ContainsFunc(c.placements[id], func(p simPlacement) bool {
		return c.holdsTask(p.worker, p.task) && p.task.state != wire.TaskEnded
	}) {
		return false
	}
	if slices.ContainsFunc(spec.DependsOn, func(n ids.JobID) bool { return c.status(n) != wire.JobDone }) {
		return false
	}
	i := slices.IndexFunc(c.opt.Teams, func(t quota.Team) bool { return t.Name == spec.Team })
	return used[spec.Team]+spec.CPUs <= c.opt.Teams[i].Limit.CPUs
}
