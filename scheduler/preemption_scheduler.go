package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/preemption"
)

// preemptionScheduler gives the preemption policy access to the other components of the scheduler. It
// implements preemption.Scheduler.
type preemptionScheduler struct {
	clock        *clock.Clock
	queue        *jobQueue
	reservations *reservations
	searches     *searcher
	zones        zoneAdmission
	failures     failedMachines
	lifecycle    *taskLifecycle
}

// failedMachines reports whether a job avoids a machine on which its tasks failed.
type failedMachines interface {
	hasAntiAffinity(j *cluster.Job, m *cluster.Machine) bool
}

// LatencySensitive reports whether a job must start faster than a machine boots.
func (s *preemptionScheduler) LatencySensitive(j *cluster.Job) bool {
	return s.queue.latencySensitive(j)
}

// Probing reports whether only one task of a job may be placed at a time.
func (*preemptionScheduler) Probing(j *cluster.Job) bool { return probing(j) }

// MayUse reports whether the next pending task of a job could be placed on a machine if the machine
// had enough free resources. A reservation for another job is respected only while that job is
// starving. Before that, tasks on the machine may be preempted for other jobs.
func (s *preemptionScheduler) MayUse(j *cluster.Job, m *cluster.Machine) bool {
	next := j.Pending()[len(j.Pending())-1]
	if !s.zones.admits(j, next, m) || s.failures.hasAntiAffinity(j, m) {
		return false
	}
	return !s.reservations.reservedForOther(m, j) || !s.queue.starving(m.Admission.ReservedFor)
}

// RequestClass returns the class of the request for the next task of a job. The number of tasks that
// must be placed together matters for admission but not for preemption, which plans for each task
// separately. The class of a latency-sensitive job includes its image, because a machine without
// the image has a higher cost for such a job.
func (s *preemptionScheduler) RequestClass(j *cluster.Job, zones placement.TasksByZone) (preemption.RequestClass, bool) {
	request, ok := s.searches.requestOf(j, zones)
	request.tasksTogether = 0
	if s.queue.latencySensitive(j) {
		request.image = j.Spec.Image
	}
	return request, ok && len(j.Failures.AntiAffinity) == 0
}

// RunTime returns how long a task has been in its phase, excluding pauses of this process.
func (s *preemptionScheduler) RunTime(a *cluster.Assignment) time.Duration {
	return runTime(s.clock, a)
}

// Stop stops a task.
func (s *preemptionScheduler) Stop(a *cluster.Assignment, reason cluster.StopReason) {
	s.lifecycle.stop(a, reason)
}
