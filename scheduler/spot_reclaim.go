package scheduler

import (
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// spotDrainer evicts tasks gracefully from spot instances that the cloud will take back. The
// health check calls it. It does not terminate the machines: the cloud does.
type spotDrainer struct {
	cluster   *cluster.State
	estimates runTimeEstimates
	lifecycle taskStopper
}

// taskStopper stops tasks.
type taskStopper interface {
	stop(a *cluster.Assignment, why cluster.StopReason)
}

// drain stops the tasks that will not complete before their machine is taken back.
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

// completesBy estimates whether a task will complete before a time.
func (d *spotDrainer) completesBy(a *cluster.Assignment, by monotonic.Instant) bool {
	if a.Job.Spec.Service || a.Run.Phase != wire.TaskRunning {
		return false
	}
	return a.Run.PhaseSince.Add(d.estimates.expectedRun(a.Job.Spec)) < by
}
