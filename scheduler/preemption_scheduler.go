package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/preemption"
)

// preemptionScheduler answers what preemption asks of the other policies. It implements
// preemption.Scheduler.
type preemptionScheduler struct {
	clock        *clock.Clock
	queue        *jobQueue
	reservations *reservations
	searches     *searcher
	zones        zoneAdmission
	failures     failedMachines
	lifecycle    *taskLifecycle
}

// failedMachines tells whether a job avoids a machine where its tasks failed.
type failedMachines interface {
	hasAntiAffinity(j *cluster.Job, m *cluster.Machine) bool
}

// LatencySensitive tells whether a job must start sooner than a machine boots.
func (s *preemptionScheduler) LatencySensitive(j *cluster.Job) bool {
	return s.queue.latencySensitive(j)
}

// Probing tells whether a job may place only one task at a time.
func (*preemptionScheduler) Probing(j *cluster.Job) bool { return probing(j) }

// MayUse tells whether the next pending task of a job could go to a machine with enough
// free resources. A reservation counts only while its job starves. Until then tasks may be
// preempted on the machine for other jobs.
func (s *preemptionScheduler) MayUse(j *cluster.Job, m *cluster.Machine) bool {
	next := j.Pending()[len(j.Pending())-1]
	if !s.zones.admits(j, next, m) || s.failures.hasAntiAffinity(j, m) {
		return false
	}
	return !s.reservations.reservedForOther(m, j) || !s.queue.starving(m.Admission.ReservedFor)
}

// RequestClass classifies the next task of a job. How many tasks must be placed together
// matters for admission, but not here, where each task is planned for alone. A machine without
// the image costs more for a latency-sensitive job.
func (s *preemptionScheduler) RequestClass(j *cluster.Job, zones placement.TasksByZone) (preemption.RequestClass, bool) {
	request, ok := s.searches.requestOf(j, zones)
	request.tasksTogether = 0
	if s.queue.latencySensitive(j) {
		request.image = j.Spec.Image
	}
	return request, ok && len(j.Failures.AntiAffinity) == 0
}

// RunTime is how long a task has been in its phase, less the pauses of this process.
func (s *preemptionScheduler) RunTime(a *cluster.Assignment) time.Duration {
	return runTime(s.clock, a)
}

// Stop stops a task.
func (s *preemptionScheduler) Stop(a *cluster.Assignment, why cluster.StopReason) {
	s.lifecycle.stop(a, why)
}
