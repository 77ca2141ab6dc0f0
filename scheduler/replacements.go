package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/fleet"
)

// silentHeartbeats is after how many heartbeat intervals the silence of a single machine is
// longer than its agent needs to find another controller.
const silentHeartbeats = 3

// replacements is the demand of services on machines that are likely to be lost. Their
// leases expire about when a machine requested now is up; a boot begun only then would mean
// downtime. If a machine sends heartbeats again, its replacement is idle and is terminated.
type replacements struct {
	cluster           *cluster.State
	clock             *clock.Clock
	health            autoscalerHealth
	heartbeatInterval time.Duration
}

// addTo adds the demand to a plan, with all free resources that it may use. It must be called
// last, because the other kinds of demand must not count those resources.
func (r *replacements) addTo(planner *fleet.Planner) {
	endangered := r.endangered()
	if len(endangered) == 0 {
		return
	}
	for _, m := range r.cluster.Machines() {
		if r.health.takesTasks(m) {
			planner.AddCapacity(m.Site(), m.Free())
		}
	}
	for _, m := range endangered {
		for _, a := range m.Assignments() {
			if a.Job.Spec.Service && a.StopReason() == cluster.StopNone {
				planner.Add(fleet.Demand{Spec: a.Job.Spec, Count: 1})
			}
		}
	}
}

// endangered lists the machines with replicas that are likely to be lost.
func (r *replacements) endangered() []*cluster.Machine {
	var endangered []*cluster.Machine
	for _, m := range r.cluster.Machines() {
		if m.Replicas() > 0 && !r.health.takesTasks(m) && r.likelyLost(m) {
			endangered = append(endangered, m)
		}
	}
	return endangered
}

// likelyLost tells whether a machine is in a partitioned zone, silent, or reclaimed soon.
func (r *replacements) likelyLost(m *cluster.Machine) bool {
	return r.health.zonePartitioned(m.Zone()) || r.silent(m) || m.Health.SpotReclaimAt != 0
}

// silent tells whether a machine has missed several heartbeats. After a pause of this
// process every machine first gets the time to send one.
func (r *replacements) silent(m *cluster.Machine) bool {
	now := r.clock.Now()
	allHadTime := now > r.clock.ResumedAt().Add(r.heartbeatInterval*3/2)
	return allHadTime && m.NoHeartbeatFor(now, silentHeartbeats*r.heartbeatInterval)
}
