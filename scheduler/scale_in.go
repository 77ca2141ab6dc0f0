package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// quarantinedIdleTimeout is how long a quarantined machine may be idle.
const quarantinedIdleTimeout = 5 * time.Second

// scaleIn terminates machines that have been idle for too long. It never terminates a machine
// with an assignment.
type scaleIn struct {
	cluster  *cluster.State
	clock    *clock.Clock
	headroom *headroom
	health   machineUsability
	registry idleMachineTerminator
	settings scaleInSettings
}

// scaleInSettings are the settings of scale in.
type scaleInSettings struct {
	// idleTimeout is how long a machine may be idle, and headroomIdleTimeout the same for
	// machines that headroom needs.
	idleTimeout, headroomIdleTimeout time.Duration
	// spotIdleFactor is how many times as long spot instances may be idle.
	spotIdleFactor float64
}

// idleMachineTerminator terminates machines.
type idleMachineTerminator interface {
	terminateMachine(m *cluster.Machine, why terminateReason)
}

// terminateIdleMachines terminates the machines that have been idle for too long.
func (s *scaleIn) terminateIdleMachines() {
	surpluses := s.headroom.surpluses()
	for _, m := range s.cluster.Machines() {
		if !idle(m) || !s.idleTooLong(m, surpluses) {
			continue
		}
		if s.health.usable(m) {
			for i := range surpluses {
				surpluses[i].tasks -= surpluses[i].tasksOn(m)
			}
		}
		s.registry.terminateMachine(m, terminateIdle)
	}
}

// idle tells whether nothing runs on a machine that is up.
func idle(m *cluster.Machine) bool {
	return m.Up() && len(m.Assignments()) == 0 && m.Unrecorded().CPUs <= 0
}

// idleTooLong tells whether an idle machine should be terminated.
func (s *scaleIn) idleTooLong(m *cluster.Machine, surpluses []headroomSurplus) bool {
	now, since := s.clock.Now(), m.Lifecycle.IdleSince
	if now > since.Add(s.timeout(m, surpluses)) {
		return true
	}
	return now < m.Health.QuarantinedUntil && now > since.Add(quarantinedIdleTimeout)
}

// timeout is how long a machine may be idle.
func (s *scaleIn) timeout(m *cluster.Machine, surpluses []headroomSurplus) time.Duration {
	timeout := s.settings.idleTimeout
	if servesHeadroom(m, surpluses) {
		timeout = s.settings.headroomIdleTimeout
	}
	if m.Spot() {
		timeout = time.Duration(float64(timeout) * s.settings.spotIdleFactor)
	}
	return timeout
}

// servesHeadroom tells whether a machine stays longer for latency-sensitive classes. Spot
// instances always do where there is such a class: they cost little, and have images for
// its tasks.
func servesHeadroom(m *cluster.Machine, surpluses []headroomSurplus) bool {
	if m.Spot() && len(surpluses) > 0 {
		return true
	}
	return slices.ContainsFunc(surpluses, func(s headroomSurplus) bool { return s.needs(m) })
}
