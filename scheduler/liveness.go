package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

const (
	// overdueHeartbeatSlack is added to one and a half heartbeat intervals until a heartbeat
	// is overdue.
	overdueHeartbeatSlack = 1500 * time.Millisecond
	// minSilentMachines is the least number of silent machines that together point to this
	// controller's network.
	minSilentMachines = 3
)

// machineLiveness tells from heartbeats which machines are alive and may get tasks. It changes
// nothing. All other policies may ask it.
type machineLiveness struct {
	clock    *clock.Clock
	settings healthSettings
}

// mostSilent tells whether most of the machines that were heard before have been silent for
// half a lease.
func (l *machineLiveness) mostSilent(machines []*cluster.Machine) bool {
	heard, silent := 0, 0
	for _, m := range machines {
		if !m.Agent.HeartbeatThisTerm {
			continue
		}
		heard++
		if m.NoHeartbeatFor(l.clock.Now(), l.settings.agentLease/2) {
			silent++
		}
	}
	return silent >= minSilentMachines && 2*silent > heard
}

// heartbeatTimeout is how long a machine may be silent between two heartbeats until it gets no
// new tasks and counts as silent for its zone.
func (l *machineLiveness) heartbeatTimeout() time.Duration {
	return l.settings.heartbeatInterval*3/2 + overdueHeartbeatSlack
}

// usable tells whether tasks may run on a machine.
func (l *machineLiveness) usable(m *cluster.Machine) bool {
	switch {
	case !m.Agent.HeartbeatThisTerm || m.MachineType() == nil:
		return false
	case m.Lifecycle.Terminating || m.Health.SpotReclaimAt != 0:
		return false
	case m.Commands.CallFailed || m.Health.Unreachable:
		return false
	}
	return l.provenAlive(m) && l.clock.Now() < m.Agent.LastHeartbeat.Add(l.heartbeatTimeout())
}

// takesTasks tells whether new tasks may be placed on a machine: it is usable and not
// quarantined.
func (l *machineLiveness) takesTasks(m *cluster.Machine) bool {
	return l.usable(m) && l.clock.Now() >= m.Health.QuarantinedUntil
}

// provenAlive tells whether a machine's heartbeats cannot all be delayed messages. A previous
// leader may have terminated any machine that was not provisioned in this term. Only an answered
// call, or a fencing token of this leader, shows that such a machine exists.
func (l *machineLiveness) provenAlive(m *cluster.Machine) bool {
	return m.Lifecycle.ProvisionedThisTerm || m.Agent.AnsweredCall || m.Agent.Fenced || !l.settings.previousLeader
}
