package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

const (
	// overdueHeartbeatSlack is added to one and a half heartbeat intervals. A heartbeat is overdue
	// after that time.
	overdueHeartbeatSlack = 1500 * time.Millisecond
	// minMachinesMissingHeartbeats is the minimum number of machines that must miss heartbeats at
	// once before this controller's network is the likelier cause.
	minMachinesMissingHeartbeats = 3
)

// machineLiveness determines from heartbeats which machines are alive and may get tasks. It does not
// modify any state. All other components may query it.
type machineLiveness struct {
	clock    *clock.Clock
	settings healthSettings
	leaders  *previousLeaders
}

// mostMissHeartbeats reports whether most of the machines that sent a heartbeat in this term have
// sent none for half a lease.
func (l *machineLiveness) mostMissHeartbeats(machines []*cluster.Machine) bool {
	known, missing := 0, 0
	for _, m := range machines {
		if !m.Agent.HeartbeatThisTerm {
			continue
		}
		known++
		if m.NoHeartbeatFor(l.clock.Now(), l.settings.agentLease/2) {
			missing++
		}
	}
	return missing >= minMachinesMissingHeartbeats && 2*missing > known
}

// heartbeatTimeout returns the maximum time between two heartbeats of a machine. After it, the
// machine gets no new tasks and counts as unreachable in its zone.
func (l *machineLiveness) heartbeatTimeout() time.Duration {
	return l.settings.heartbeatInterval*3/2 + overdueHeartbeatSlack
}

// usable reports whether tasks may run on a machine.
func (l *machineLiveness) usable(m *cluster.Machine) bool {
	switch {
	case !m.Agent.HeartbeatThisTerm || m.MachineType() == nil:
		return false
	case m.Lifecycle.Terminating || m.Health.SpotReclaimAt != 0:
		return false
	case m.Commands.CallFailed || m.Health.Unreachable || m.Agent.RequiredToken != 0:
		return false
	}
	return l.provenAlive(m) && l.clock.Now() < m.Agent.LastHeartbeat.Add(l.heartbeatTimeout())
}

// takesTasks reports whether new tasks may be placed on a machine, which must be usable and not
// quarantined, and which no previous leader may terminate.
func (l *machineLiveness) takesTasks(m *cluster.Machine) bool {
	return l.usable(m) && l.clock.Now() >= m.Health.QuarantinedUntil && !l.leaders.mayTerminate(m)
}

// mayBeProbed reports whether a machine is quarantined, but usable otherwise, and a probe may start there: none runs,
// and the time after the last one has passed.
func (l *machineLiveness) mayBeProbed(m *cluster.Machine) bool {
	now, health := l.clock.Now(), &m.Health
	if now >= health.QuarantinedUntil || now < health.ProbeAt || !l.usable(m) || l.leaders.mayTerminate(m) {
		return false
	}
	return health.Probe == nil || !health.Probe.Current()
}

// provenAlive reports whether it is certain that a machine's heartbeats are not all delayed
// messages. A previous leader may have terminated any machine that was not provisioned in this term.
// Only an answered call, or a fencing token of this leader, proves that such a machine exists.
func (l *machineLiveness) provenAlive(m *cluster.Machine) bool {
	return m.Lifecycle.ProvisionedThisTerm || m.Agent.AnsweredCall || m.Agent.Fenced || !l.settings.previousLeader
}
