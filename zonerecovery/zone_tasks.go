package zonerecovery

import (
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
)

// taskPlaced records the placement of a task in the zone. It returns whether that is a failback of
// the task's job.
func (z *zone) taskPlaced(request *StartRequest, now monotonic.Instant) failback {
	if z.condition() == Recovering {
		z.starts.addInRecovery(request, now)
		if !request.Critical {
			z.machine.ramp.startPlaced()
		}
	} else {
		z.starts.add(request, now)
	}
	kind := z.displacements.recordPlacement(request, z.machine.observedAt)
	if kind != noFailback {
		z.record.markJobsChanged()
		z.machine.incidents.addFailback(kind)
	}
	return kind
}

// taskRunning records that a task runs. It does nothing if the start of the task is not in flight.
func (z *zone) taskRunning(task ids.TaskRef, now monotonic.Instant) {
	start, ok := z.starts.remove(task)
	if !ok {
		return
	}
	latency := now.Sub(start.placedAt)
	switch {
	case z.condition() != Recovering:
		z.baseline.record(latency)
	case start.countsForStep():
		z.machine.ramp.startSucceeded(latency)
	}
}

// taskEnded records that a task no longer occupies its machine. It does nothing if the start of the
// task is not in flight.
func (z *zone) taskEnded(task ids.TaskRef) {
	if start, ok := z.starts.remove(task); ok && start.countsForStep() {
		z.machine.ramp.startAborted()
	}
}

// taskFailed records that a task of a job failed.
func (z *zone) taskFailed(job ids.JobID) {
	if z.condition() == Recovering {
		z.machine.ramp.startFailed(job)
	}
}

// taskDisplaced records that a task was lost with its machine. It reports whether the loss is
// attributed to the zone, which is so unless the zone serves. Losses in a recovery are included: not
// all machines return after an outage.
func (z *zone) taskDisplaced(job ids.JobID) bool {
	if z.condition() == Serving {
		return false
	}
	z.machine.incidents.update(func(incident *Incident) { incident.DisplacedTasks++ })
	if z.displacements.recordLoss(job, z.machine.outages.outageOfLoss(), z.machine.observedAt) {
		z.record.markJobsChanged()
		z.machine.incidents.update(func(incident *Incident) { incident.DisplacedJobs = len(z.displacements.jobs) })
	}
	return true
}
