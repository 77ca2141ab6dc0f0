package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
)

// missedHeartbeatLimit is the number of heartbeat intervals after which a single machine without
// a heartbeat counts as likely to be lost. This is longer than its agent needs to find another
// controller.
const missedHeartbeatLimit = 3

// replacementDemand computes the demand of the services on machines that are likely to be lost.
// The leases of these machines expire at about the time when a machine requested now has booted.
// Provisioning a replacement only after the lease expiry would add the boot time to the downtime.
// If a machine sends heartbeats again, its replacement is idle and is terminated.
type replacementDemand struct {
	cluster           *cluster.State
	clock             *clock.Clock
	health            autoscalerHealth
	heartbeatInterval time.Duration
}

// addTo adds the demand to a plan, together with all free resources that may satisfy it. It must be
// called last, because the other kinds of demand must not use those resources.
func (r *replacementDemand) addTo(planner *fleet.Planner) {
	atRisk := r.machinesAtRisk()
	if len(atRisk) == 0 {
		return
	}
	for _, m := range r.cluster.Machines() {
		if r.health.takesTasks(m) {
			planner.AddCapacity(m.Site(), m.FreeAfterReaping())
		}
	}
	for _, m := range atRisk {
		for _, a := range m.Assignments() {
			if a.Job.Spec.Service && a.StopReason() == cluster.StopNone {
				planner.Add(fleet.Demand{Spec: a.Job.Spec, Need: a.Job.TaskResources(), Count: 1})
			}
		}
	}
}

// machinesAtRisk returns the machines that run replicas and are likely to be lost.
func (r *replacementDemand) machinesAtRisk() []*cluster.Machine {
	var atRisk []*cluster.Machine
	for _, m := range r.cluster.Machines() {
		if m.Replicas() > 0 && !r.health.takesTasks(m) && r.likelyLost(m) {
			atRisk = append(atRisk, m)
		}
	}
	return atRisk
}

// likelyLost reports whether a machine is in a partitioned zone, has missed several heartbeats or is
// about to be reclaimed as a spot instance.
func (r *replacementDemand) likelyLost(m *cluster.Machine) bool {
	return r.health.zonePartitioned(m.Zone()) || r.missedHeartbeats(m) || m.Health.SpotReclaimAt != 0
}

// missedHeartbeats reports whether a machine has missed several heartbeats. After a pause of this
// process, every machine first gets enough time to send one.
func (r *replacementDemand) missedHeartbeats(m *cluster.Machine) bool {
	now := r.clock.Now()
	allCouldReport := now > r.clock.ResumedAt().Add(r.heartbeatInterval*3/2)
	return allCouldReport && m.NoHeartbeatFor(now, missedHeartbeatLimit*r.heartbeatInterval)
}
