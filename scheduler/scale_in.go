package scheduler

import (
	"slices"
	"time"

	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// quarantinedIdleTimeout is the idle timeout of a quarantined machine.
const quarantinedIdleTimeout = 5 * time.Second

// scaleIn terminates machines whose idle timeout has expired. It never terminates a machine with
// an assignment.
type scaleIn struct {
	cluster  *cluster.State
	clock    *clock.Clock
	headroom *headroom
	health   machineUsability
	registry idleMachineTerminator
	settings scaleInSettings
}

// scaleInSettings holds the settings of scale in.
type scaleInSettings struct {
	// idleTimeout is how long a machine may be idle. headroomIdleTimeout is the same for
	// machines that headroom needs.
	idleTimeout, headroomIdleTimeout time.Duration
	// spotIdleFactor multiplies the idle timeout of spot instances.
	spotIdleFactor float64
}

// idleMachineTerminator terminates machines.
type idleMachineTerminator interface {
	terminateMachine(m *cluster.Machine, reason terminateReason)
}

// terminateIdleMachines terminates the machines whose idle timeout has expired. It terminates none while
// the catalog is unknown: no task can be placed then, so machines may be idle although work waits for them.
func (s *scaleIn) terminateIdleMachines() {
	if len(s.cluster.Types()) == 0 {
		return
	}
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

// idle reports whether a machine is up and nothing runs on it.
func idle(m *cluster.Machine) bool {
	return m.Up() && len(m.Assignments()) == 0 && m.Unrecorded().CPUs <= 0
}

// idleTooLong reports whether the idle timeout of an idle machine has expired.
func (s *scaleIn) idleTooLong(m *cluster.Machine, surpluses []headroomSurplus) bool {
	now, since := s.clock.Now(), m.Lifecycle.IdleSince
	if now > since.Add(s.timeout(m, surpluses)) {
		return true
	}
	return now < m.Health.QuarantinedUntil && now > since.Add(quarantinedIdleTimeout)
}

// timeout returns how long a machine may be idle.
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

// servesHeadroom reports whether a machine is kept idle for longer as headroom for
// latency-sensitive classes. Spot instances always are if there is such a class: they cost little
// and hold the images of its tasks.
func servesHeadroom(m *cluster.Machine, surpluses []headroomSurplus) bool {
	if m.Spot() && len(surpluses) > 0 {
		return true
	}
	return slices.ContainsFunc(surpluses, func(s headroomSurplus) bool { return s.needs(m) })
}
