package scheduler

import (
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// spotDrainer gracefully evicts tasks from spot instances that the cloud will reclaim. The health
// check calls it. It does not terminate the machines, since the cloud does.
type spotDrainer struct {
	cluster   *cluster.State
	estimates runTimeEstimates
	lifecycle taskStopper
}

// taskStopper stops tasks.
type taskStopper interface {
	stop(a *cluster.Assignment, reason cluster.StopReason)
}

// drain stops the tasks that are not expected to complete before their machine is reclaimed.
func (d *spotDrainer) drain() {
	for _, m := range d.cluster.Machines() {
		if m.Health.SpotReclaimAt == 0 {
			continue
		}
		for _, a := range m.AssignmentsSnapshot() {
			if a.StopReason() == cluster.StopNone && !d.completesBy(a, m.Health.SpotReclaimAt) {
				d.lifecycle.stop(a, cluster.StopDrained)
			}
		}
	}
}

// completesBy reports whether a task is expected to complete before the given time.
func (d *spotDrainer) completesBy(a *cluster.Assignment, deadline monotonic.Instant) bool {
	if a.Job.Spec.Service || a.Run.Phase != wire.TaskRunning {
		return false
	}
	return a.Run.PhaseSince.Add(d.estimates.expectedRun(a.Job.Spec)) < deadline
}
