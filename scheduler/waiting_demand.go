package scheduler

import (
	"math"
	"sort"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// waitingDemand computes the demand of the waiting tasks that quota would admit. It charges quota
// only temporarily, while it counts these tasks.
type waitingDemand struct {
	cluster   *cluster.State
	clock     *clock.Clock
	queue     *jobQueue
	quota     *quotaCheck
	quotas    *quota.Tracker
	estimates *runEstimates
	health    machineUsability
	boots     *bootTimes
}

// admissibleDemand holds the result of one count of the waiting tasks.
type admissibleDemand struct {
	// tasks holds the number of admissible tasks by job. jobs holds these jobs in the order in
	// which they were counted.
	tasks map[*cluster.Job]int
	jobs  []*cluster.Job
	// Machines are provisioned immediately for urgent. Tasks in deferrable may use the resources
	// of tasks that end before a new machine would have booted.
	urgent, deferrable []fleet.Demand
}

// addTo adds the demand to a plan.
func (w *waitingDemand) addTo(planner *fleet.Planner) {
	demand := w.count()
	for _, d := range demand.urgent {
		planner.Add(d)
	}
	if len(demand.deferrable) == 0 {
		return
	}
	for _, m := range w.cluster.Machines() {
		runsTasks := m.Replicas() < len(m.Assignments())
		if runsTasks && w.health.takesTasks(m) {
			planner.AddCapacity(m.Site(), w.freeSoon(m))
		}
	}
	for _, d := range demand.deferrable {
		planner.Add(d)
	}
}

// count returns the waiting tasks that quota would admit. For tasks that borrow, machines may be
// provisioned up to the borrowing limits of the teams, so the cohort's quota does not limit them.
func (w *waitingDemand) count() *admissibleDemand {
	w.quotas.SetCohortQuota(quota.Amount{CPUs: math.MaxInt32, GPUs: math.MaxInt32})
	defer w.quota.updateSurplus()
	demand := &admissibleDemand{tasks: map[*cluster.Job]int{}}
	waiting := w.queue.allWaitingJobs()
	for _, source := range []quotaSource{nominalQuota, borrowedQuota} {
		for _, j := range waiting {
			w.countJob(demand, j, source)
		}
	}
	for _, j := range demand.jobs {
		w.quotas.Release(j.Spec.Team, j.Amount().Times(demand.tasks[j]))
	}
	return demand
}

// countJob adds the tasks of a job that quota would admit in addition to those already counted.
func (w *waitingDemand) countJob(demand *admissibleDemand, j *cluster.Job, source quotaSource) {
	n := w.admissibleTasks(j, source, demand.tasks[j])
	if n <= 0 {
		return
	}
	w.quotas.Charge(j.Spec.Team, j.Amount().Times(n))
	if demand.tasks[j] == 0 {
		demand.jobs = append(demand.jobs, j)
	}
	demand.tasks[j] += n
	tasks := fleet.Demand{Spec: j.Spec, Need: j.TaskResources(), Count: n, Zones: j.Zones()}
	if w.urgent(j) {
		demand.urgent = append(demand.urgent, tasks)
	} else {
		demand.deferrable = append(demand.deferrable, tasks)
	}
}

// urgent reports whether machines are provisioned for a job's tasks immediately. Other jobs may use
// the resources of tasks that end before a new machine would have booted. A job that has already
// waited for a boot time is urgent, because other tasks have used those resources.
func (w *waitingDemand) urgent(j *cluster.Job) bool {
	if j.NeedsAllTasks() || w.queue.latencySensitive(j) {
		return true
	}
	return w.clock.Now() > j.Queue.WaitingSince.Add(w.boots.fastest(j.Spec))
}

// admissibleTasks returns how many of a job's waiting tasks quota would admit in addition to those
// already counted.
func (w *waitingDemand) admissibleTasks(j *cluster.Job, source quotaSource, counted int) int {
	if j.NeedsAllTasks() && !w.quota.fits(j, source, len(j.Pending())) {
		return 0
	}
	// A binary search is correct because any smaller number of tasks also fits.
	n := sort.Search(len(j.Pending())-counted, func(n int) bool { return !w.quota.fits(j, source, n+1) })
	if probing(j) {
		n = min(n, 1-counted)
	}
	return n
}

// freeSoonFraction is the fraction of a boot time within which a task must end for its resources to
// count as free soon.
const freeSoonFraction = 0.8

// freeSoon returns the resources that are expected to be free on a machine before another machine of
// its type could have booted, according to the run time estimates.
func (w *waitingDemand) freeSoon(m *cluster.Machine) placement.Resources {
	free := m.FreeAfterReaping()
	deadline := w.clock.Now().Add(monotonic.Seconds(freeSoonFraction * m.MachineType().BootS))
	for _, a := range m.Assignments() {
		if w.endsBy(a, deadline) {
			free = free.Plus(a.Job.TaskResources())
		}
	}
	return free
}

// endsBy reports whether a task is expected to end and free its resources before a deadline.
func (w *waitingDemand) endsBy(a *cluster.Assignment, deadline monotonic.Instant) bool {
	switch {
	case a.Job.Spec.Service:
		return false
	case a.StopReason() != cluster.StopNone:
		return true
	case a.Run.Phase != wire.TaskRunning:
		return false
	}
	return a.Run.PhaseSince.Add(w.estimates.expectedRun(a.Job.Spec)) < deadline
}
