package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// This file holds the rules that users rely on. Except for checkClusterState, the checks read the
// simulated machines and the records, not the state of the core.

// requireNoViolations ends the test if a rule is violated.
func (s *sim) requireNoViolations() {
	s.t.Helper()
	if len(s.violations) > 0 {
		s.t.Fatalf("rules violated: %v", s.violations)
	}
}

// checkStart checks the rules for a task that has just started.
func (s *sim) checkStart(w *simWorker, t *simTask) {
	s.checkNotCancelled(t)
	s.checkDependenciesDone(t)
	s.checkRunsOnce(w, t)
	if s.starts%max(1, len(s.workers)/20) == 0 { // checkQuota examines every task, so it is called for a fraction of the starts
		s.checkQuota()
	}
	zones := s.runningByZone(t.ref.Job)
	if !meetsConstraints(s.specs[t.ref.Job], w, zones) {
		s.recordViolation("constraints: %s started on %s in %s, zones %v", t.ref, w.id, w.zone, zones)
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
		s.recordViolation("cancellation: %s started after the deadline", t.ref)
	}
}

// checkDependenciesDone checks that no task starts before the jobs that its job depends on are done.
func (s *sim) checkDependenciesDone(t *simTask) {
	for _, dependency := range s.specs[t.ref.Job].DependsOn {
		if s.status(dependency) != wire.JobDone {
			s.recordViolation("dependency: %s started while %s is %s", t.ref, dependency, s.status(dependency))
		}
	}
}

// checkTermination checks that no machine is terminated by a leader after a later leader has started a task
// there that still runs. w is nil if the machine does not exist any more.
func (s *sim) checkTermination(w *simWorker, leaderRevision ids.Revision) {
	if w == nil || s.leaseExpired(w) {
		return
	}
	for _, t := range w.tasks {
		if t.state != wire.TaskEnded && t.leaderRevision > leaderRevision {
			s.recordViolation("termination: leader %d terminated %s, on which leader %d started %s", leaderRevision, w.id, t.leaderRevision, t.ref)
		}
	}
}

// checkHeartbeatSize checks that a heartbeat does not exceed the size limit for bodies, and reports whether
// that holds.
func (s *sim) checkHeartbeatSize(heartbeat *wire.Heartbeat) bool {
	const certainlySmall = 300 // tasks
	if len(heartbeat.Tasks) <= certainlySmall || !wire.ExceedsJSONSize(heartbeat, wire.MaxBodyBytes) {
		return true
	}
	s.recordViolation("heartbeat: %s reports %d tasks, which exceeds the size limit", heartbeat.Machine, len(heartbeat.Tasks))
	return false
}

// running returns the placements of a job whose tasks run on a worker with a valid lease.
func (s *sim) running(id ids.JobID) []simPlacement {
	var out []simPlacement
	for _, p := range s.placements[id] {
		if p.task.state == wire.TaskRunning && !s.leaseExpired(p.worker) && s.holdsTask(p.worker, p.task) {
			out = append(out, p)
		}
	}
	return out
}

// runningByZone returns the number of running tasks of a job in each zone.
func (s *sim) runningByZone(id ids.JobID) map[ids.Zone]int {
	zones := map[ids.Zone]int{}
	for _, p := range s.running(id) {
		zones[p.worker.zone]++
	}
	return zones
}

// checkRunsOnce checks that no other attempt of a task is running.
func (s *sim) checkRunsOnce(w *simWorker, t *simTask) {
	for _, p := range s.running(t.ref.Job) {
		if p.task != t && p.task.ref == t.ref {
			s.recordViolation("duplicate: %s runs on %s and %s", t.ref, w.id, p.worker.id)
		}
	}
}

// meetsConstraints reports whether the constraints of a job allow a task on a worker. zones holds the
// number of running tasks of the job in each zone.
func meetsConstraints(spec *wire.JobSpec, w *simWorker, zones map[ids.Zone]int) bool {
	switch {
	case spec.Spread && zones[w.zone] > (spec.Tasks+1)/2:
		return false
	case spec.OneZone && len(zones) > 1:
		return false
	}
	return allowsWorker(spec, w)
}

// allowsWorker reports whether the constraints of a job allow the site of a worker.
func allowsWorker(spec *wire.JobSpec, w *simWorker) bool {
	switch {
	case w.spot && !spec.Spot:
		return false
	case spec.Zone != "" && spec.Zone != w.zone:
		return false
	}
	return len(spec.Types) == 0 || slices.Contains(spec.Types, w.machineType)
}

// checkQuota checks that no team exceeds its limit.
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
			s.recordViolation("quota: %s uses %v", team.Name, used[team.Name])
		}
	}
}

// checkCancelledJobs checks each cancelled job immediately after its deadline.
func (s *sim) checkCancelledJobs() {
	const window = 150 * time.Millisecond // at least one tick
	for id, acknowledgedAt := range s.cancelAcknowledgedAt {
		if deadline := acknowledgedAt.Add(simCancelDeadline); s.now > deadline && s.now <= deadline.Add(window) {
			s.checkCancelledJobStopped(id)
		}
	}
}

// checkCancelledJobStopped checks that no task of a job is running.
func (s *sim) checkCancelledJobStopped(id ids.JobID) {
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.ref.Job == id && t.state == wire.TaskRunning && !s.leaseExpired(w) {
				s.recordViolation("cancellation: %s still runs on %s after the deadline", t.ref, w.id)
			}
		}
	}
}

const (
	// smallStateTasks is the maximum number of tasks with which the cluster state is checked after
	// each step. With more tasks, it is checked every largeStateSteps steps.
	smallStateTasks = 300
	largeStateSteps = 1000
)

// checkClusterState checks the invariants of a core's cluster state after a step. It is the only check
// that reads the state of the core.
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
		s.recordViolation("cluster state: %v", err)
	}
}

// starvationLimit is how long a job may wait while free resources suffice for it.
const starvationLimit = 90 * time.Second

// starvationCheck detects jobs that starve: they wait although a machine has enough free resources and
// the limit of their team allows a task.
type starvationCheck struct {
	*sim
	waited map[ids.JobID]time.Duration // how long each job has waited without a reason
}

func newStarvationCheck(s *sim) *starvationCheck {
	return &starvationCheck{sim: s, waited: map[ids.JobID]time.Duration{}}
}

// check examines the jobs. elapsed is the time since the last check.
func (c *starvationCheck) check(jobs []ids.JobID, elapsed time.Duration) {
	free, used := c.usage()
	for _, id := range jobs {
		if !c.fitsSomeWorker(id, free) || !c.waitsWithinLimit(id, used) {
			delete(c.waited, id)
			continue
		}
		if c.waited[id] += elapsed; c.waited[id] >= starvationLimit {
			c.recordViolation("starvation: %s waits while free resources suffice for it: %+v", id, *c.specs[id])
			delete(c.waited, id)
		}
	}
}

// usage returns the free CPUs of each live worker and the CPUs that each team uses on them.
func (c *starvationCheck) usage() (free map[*simWorker]float64, used map[ids.Team]float64) {
	free, used = map[*simWorker]float64{}, map[ids.Team]float64{}
	for _, w := range c.workers {
		if w.incarnation == 0 || c.leaseExpired(w) {
			continue
		}
		free[w] = c.machineTypeOf(w).CPUs
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

// fitsSomeWorker reports whether some allowed worker has enough free CPUs for a task of a job.
func (c *starvationCheck) fitsSomeWorker(id ids.JobID, free map[*simWorker]float64) bool {
	spec := c.specs[id]
	for w, cpus := range free {
		if cpus >= spec.CPUs && allowsWorker(spec, w) {
			return true
		}
	}
	return false
}

// waitsWithinLimit reports whether a queued job has no task placed although its dependencies are done
// and the limit of its team allows a task. Jobs that start all their tasks together may be waiting for
// more than one machine, so they are excluded.
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
	if slices.ContainsFunc(spec.DependsOn, func(dependency ids.JobID) bool { return c.status(dependency) != wire.JobDone }) {
		return false
	}
	i := slices.IndexFunc(c.opt.Teams, func(t quota.Team) bool { return t.Name == spec.Team })
	return used[spec.Team]+spec.CPUs <= c.opt.Teams[i].Limit.CPUs
}
