package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// healthMonitor judges which machines and zones can be reached, and acts on what time
// alone brings about.
type healthMonitor struct {
	core       *Core
	zoneStates map[ids.Zone]*zoneState
	// lastHeard is when any machine was last heard.
	lastHeard       monotonic.Instant
	healthCheckedAt monotonic.Instant
	// healthCheckDue asks for a check before its time.
	healthCheckDue bool
}

// healthCheckInterval is how often the machines are looked at for what time alone
// brings about.
const healthCheckInterval = 200 * time.Millisecond

// silentLeases is for how many leases a machine that holds nothing any more may
// be silent before it is returned. One that hung or lost the network often
// comes back soon after its lease, sooner than another boots, and has its
// images; one that died costs nothing more, and the list tells of it.
const silentLeases = 2

// checkMachines handles what time alone brings about.
func (hm *healthMonitor) checkMachines() {
	hm.drainNoticed()
	hm.updateZones()
	mostSilent := hm.mostMachinesSilent()
	var gone []*cluster.Machine // removing one takes it out of the list
	for _, m := range hm.core.cluster.Machines() {
		if m.Health.QuarantinedUntil != 0 && hm.core.clock.Now() >= m.Health.QuarantinedUntil {
			m.Health.QuarantinedUntil = 0
			hm.core.rounds.MarkDue()
		}
		switch {
		case m.Lifecycle.TerminateInFlight:
			continue
		case m.Lifecycle.Terminating && m.Lifecycle.Terminated:
			gone = append(gone, m)
			continue
		}
		if hm.core.commands.needsReportRequest(m) {
			hm.core.commands.queueCommands(m)
		}
		if m.Lifecycle.Terminating {
			hm.core.registry.returnAgain(m)
			continue
		}
		hm.checkMachine(m, mostSilent)
	}
	for _, m := range gone {
		hm.core.registry.removeMachine(m)
	}
}

// mostMachinesSilent tells whether most machines fell silent at once. It is then more
// likely this node's network than the machines: they are not returned for that.
func (hm *healthMonitor) mostMachinesSilent() bool {
	heard, silent := 0, 0
	for _, m := range hm.core.cluster.Machines() {
		if m.Agent.Reported {
			heard++
			if hm.silentFor(m, hm.core.opt.AgentLease/2) {
				silent++
			}
		}
	}
	return silent >= 3 && 2*silent > heard
}

// checkMachine returns a machine that is of no use any more, and releases the tasks of one
// that has surely lost its lease.
func (hm *healthMonitor) checkMachine(m *cluster.Machine, mostSilent bool) {
	registry := hm.core.registry
	switch {
	case m.Lifecycle.ListedStatus == wire.MachineFailed:
		registry.returnMachine(m, returnFailed)
	case m.Lifecycle.MissingLists >= 2 && hm.silentFor(m, 2*hm.core.opt.HeartbeatInterval):
		// It was listed and is not any more: it was taken. Returning what
		// is gone does nothing, and the answer proves that it is gone.
		if m.Spot() && m.Health.SpotReclaimAt == 0 {
			hm.core.autoscaler.recordSpotLoss()
		}
		registry.returnMachine(m, returnMissing)
	case hm.bootFailed(m):
		registry.returnMachine(m, returnBootFailed)
	case len(m.Assignments()) > 0 && hm.leaseExpired(m) && hm.silentFor(m, monotonic.AddDriftMargin(hm.core.opt.AgentLease)):
		for _, a := range m.AssignmentsSnapshot() {
			if !a.Record.InFlight {
				hm.core.zones.lost(a)
				hm.core.lifecycle.release(a)
			}
		}
		hm.core.commands.queueCommands(m)
	case m.Agent.Reported && len(m.Assignments()) == 0 && !mostSilent && !hm.zonePartitionedLately(m.Zone()) && hm.silentFor(m, silentLeases*hm.core.opt.AgentLease):
		registry.returnMachine(m, returnSilent)
	case hm.cancelOverdue(m):
		registry.returnMachine(m, returnCancelled)
	case m.Health.Unreachable && hm.core.clock.Now() > m.Health.UnreachableSince.Add(hm.acknowledgeWithin()):
		// Nobody else can tell it anything either. Once returned, its tasks
		// are surely gone and may go elsewhere.
		registry.returnMachine(m, returnUnreachable)
	}
}

// bootFailed tells whether a machine takes too long to boot. A predecessor's machines are
// up already and have yet to find their way here, and during a pause of this process
// nobody could report.
func (hm *healthMonitor) bootFailed(m *cluster.Machine) bool {
	if m.Agent.Reported || m.Lifecycle.BootDeadline == 0 || len(m.Assignments()) > 0 {
		return false
	}
	heardBy := monotonic.Instant(0)
	if hm.core.opt.PreviousLeader {
		heardBy = hm.core.clock.TermBegan().Add(hm.core.opt.AgentLease)
	}
	return hm.core.clock.Now() > max(m.Lifecycle.BootDeadline, heardBy, hm.core.clock.ResumedAt().Add(2*hm.core.opt.HeartbeatInterval))
}

// drainNoticed stops what will not complete before a machine is taken.
func (hm *healthMonitor) drainNoticed() {
	for _, m := range hm.core.cluster.Machines() {
		if m.Health.SpotReclaimAt == 0 {
			continue
		}
		for _, a := range m.AssignmentsSnapshot() {
			if a.StopReason() == cluster.StopNone && !hm.completesBy(a, m.Health.SpotReclaimAt) {
				hm.core.lifecycle.stop(a, cluster.StopDrained)
			}
		}
	}
}

// completesBy guesses whether a task will be done by a time.
func (hm *healthMonitor) completesBy(a *cluster.Assignment, by monotonic.Instant) bool {
	if a.Job.Spec.Service || a.Run.Phase != wire.TaskRunning {
		return false
	}
	return a.Run.PhaseSince.Add(hm.core.estimates.expectedRun(a.Job.Spec)) < by
}

// silentFor tells whether a machine has not been heard for longer than d.
func (hm *healthMonitor) silentFor(m *cluster.Machine, d time.Duration) bool {
	return hm.core.clock.Now() > max(m.Agent.LastHeard, m.Lifecycle.KnownSince).Add(d)
}

// cancelOverdue tells whether a machine holds a task of a cancelled job that must be gone
// soon, whether the machine is silent or only does not do as it is told. Returning the
// machine is the one sure way to end the task.
func (hm *healthMonitor) cancelOverdue(m *cluster.Machine) bool {
	if m.Staying() == len(m.Assignments()) {
		return false
	}
	for _, a := range m.Assignments() {
		if a.StopReason() == cluster.StopCancelled && hm.core.clock.Now() > a.Job.CancelledAt().Add(hm.core.opt.CancelDeadline*45/100) {
			return true
		}
	}
	return false
}

// leaseExpired tells whether a worker has surely lost its lease: nobody can have
// answered it for that long. A predecessor without the state service may have
// gone on answering for its grace, until the worker was fenced or the
// predecessor followed this leader.
func (hm *healthMonitor) leaseExpired(m *cluster.Machine) bool {
	last := hm.core.previousLeaders.until(m)
	if m.Agent.Fenced {
		last = max(m.Agent.FencedAt, m.Agent.AnsweredAt)
	} else if m.Agent.AnsweredAt > last {
		last = m.Agent.AnsweredAt
	}
	return hm.core.clock.Now() > last.Add(monotonic.AddDriftMargin(hm.core.opt.AgentLease)+time.Second)
}

// trusted tells whether a machine's messages are surely no late copies: what
// this leader did not rent may have been returned by a predecessor, and then
// only an answer, or a token of ours, shows that it is there.
func (hm *healthMonitor) trusted(m *cluster.Machine) bool {
	return m.Lifecycle.RentedThisTerm || m.Agent.AnsweredCall || m.Agent.Fenced || !hm.core.opt.PreviousLeader
}

// usable tells whether new tasks may go to a machine.
func (hm *healthMonitor) usable(m *cluster.Machine) bool {
	return m.Agent.Reported && m.MachineType() != nil && !m.Lifecycle.Terminating && m.Health.SpotReclaimAt == 0 && !m.Commands.CallFailed && !m.Health.Unreachable && hm.trusted(m) &&
		hm.core.clock.Now() < m.Agent.LastHeard.Add(hm.reportOverdue())
}

// reportOverdue is how long a machine may leave between two reports until nothing new is
// placed there, and until it counts as silent for its zone.
func (hm *healthMonitor) reportOverdue() time.Duration {
	return hm.core.opt.HeartbeatInterval*3/2 + 1500*time.Millisecond
}

// takesTasks tells whether a usable machine is not set aside either.
func (hm *healthMonitor) takesTasks(m *cluster.Machine) bool {
	return hm.usable(m) && hm.core.clock.Now() >= m.Health.QuarantinedUntil
}
