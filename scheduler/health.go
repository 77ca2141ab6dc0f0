package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
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
	var gone []*machine // removing one takes it out of the list
	for _, m := range hm.core.registry.machineList {
		if m.quarantinedUntil != 0 && hm.core.now >= m.quarantinedUntil {
			m.quarantinedUntil, hm.core.schedulingDue = 0, true
		}
		switch {
		case m.returnInFlight:
			continue
		case m.returning && m.returned:
			gone = append(gone, m)
			continue
		}
		if hm.core.commands.needsReportRequest(m) {
			hm.core.commands.queueCommands(m)
		}
		if m.returning {
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
	for _, m := range hm.core.registry.machineList {
		if m.reported {
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
func (hm *healthMonitor) checkMachine(m *machine, mostSilent bool) {
	registry := hm.core.registry
	switch {
	case m.listedStatus == wire.MachineFailed:
		registry.returnMachine(m, returnFailed)
	case m.missingLists >= 2 && hm.silentFor(m, 2*hm.core.opt.HeartbeatInterval):
		// It was listed and is not any more: it was taken. Returning what
		// is gone does nothing, and the answer proves that it is gone.
		if m.Spot && m.takenBy == 0 {
			hm.core.autoscaler.spotLosses++
		}
		registry.returnMachine(m, returnMissing)
	case hm.bootFailed(m):
		registry.returnMachine(m, returnBootFailed)
	case len(m.tasks) > 0 && hm.leaseExpired(m) && hm.silentFor(m, monotonic.AddDriftMargin(hm.core.opt.AgentLease)):
		for _, a := range m.tasksSnapshot() {
			if !a.recordInFlight {
				hm.core.zones.lost(a)
				hm.core.release(a)
			}
		}
		hm.core.commands.queueCommands(m)
	case m.reported && len(m.tasks) == 0 && !mostSilent && !hm.zonePartitionedLately(m.Zone) && hm.silentFor(m, silentLeases*hm.core.opt.AgentLease):
		registry.returnMachine(m, returnSilent)
	case hm.cancelOverdue(m):
		registry.returnMachine(m, returnCancelled)
	case m.unreachable && hm.core.now > m.unreachableSince.Add(hm.acknowledgeWithin()):
		// Nobody else can tell it anything either. Once returned, its tasks
		// are surely gone and may go elsewhere.
		registry.returnMachine(m, returnUnreachable)
	}
}

// bootFailed tells whether a machine takes too long to boot. A predecessor's machines are
// up already and have yet to find their way here, and during a pause of this process
// nobody could report.
func (hm *healthMonitor) bootFailed(m *machine) bool {
	if m.reported || m.bootDeadline == 0 || len(m.tasks) > 0 {
		return false
	}
	heardBy := monotonic.Instant(0)
	if hm.core.opt.PreviousLeader {
		heardBy = hm.core.termBegan.Add(hm.core.opt.AgentLease)
	}
	return hm.core.now > max(m.bootDeadline, heardBy, hm.core.resumedAt.Add(2*hm.core.opt.HeartbeatInterval))
}

// drainNoticed stops what will not complete before a machine is taken.
func (hm *healthMonitor) drainNoticed() {
	for _, m := range hm.core.registry.machineList {
		if m.takenBy == 0 {
			continue
		}
		for _, a := range m.tasksSnapshot() {
			if a.stopReason == stopNone && !hm.completesBy(a, m.takenBy) {
				hm.core.stopTask(a, stopDrained)
			}
		}
	}
}

// completesBy guesses whether a task will be done by a time.
func (hm *healthMonitor) completesBy(a *assignment, by monotonic.Instant) bool {
	if a.job.spec.Service || a.phase != wire.TaskRunning {
		return false
	}
	return a.phaseSince.Add(hm.core.estimates.expectedRun(a.job.spec)) < by
}

// silentFor tells whether a machine has not been heard for longer than d.
func (hm *healthMonitor) silentFor(m *machine, d time.Duration) bool {
	return hm.core.now > max(m.lastHeard, m.knownSince).Add(d)
}

// cancelOverdue tells whether a machine holds a task of a cancelled job that must be gone
// soon, whether the machine is silent or only does not do as it is told. Returning the
// machine is the one sure way to end the task.
func (hm *healthMonitor) cancelOverdue(m *machine) bool {
	if m.staying == len(m.taskList) {
		return false
	}
	for _, a := range m.taskList {
		if a.stopReason == stopCancelled && hm.core.now > a.job.cancelledAt.Add(hm.core.opt.CancelDeadline*45/100) {
			return true
		}
	}
	return false
}

// leaseExpired tells whether a worker has surely lost its lease: nobody can have
// answered it for that long. A predecessor without the state service may have
// gone on answering for its grace, until the worker was fenced or the
// predecessor followed this leader.
func (hm *healthMonitor) leaseExpired(m *machine) bool {
	last := hm.core.previousLeaders.until(m)
	if m.fenced {
		last = max(m.fencedAt, m.answeredAt)
	} else if m.answeredAt > last {
		last = m.answeredAt
	}
	return hm.core.now > last.Add(monotonic.AddDriftMargin(hm.core.opt.AgentLease)+time.Second)
}

// trusted tells whether a machine's messages are surely no late copies: what
// this leader did not rent may have been returned by a predecessor, and then
// only an answer, or a token of ours, shows that it is there.
func (hm *healthMonitor) trusted(m *machine) bool {
	return m.rentedThisTerm || m.answeredCall || m.fenced || !hm.core.opt.PreviousLeader
}

// usable tells whether new tasks may go to a machine.
func (hm *healthMonitor) usable(m *machine) bool {
	return m.reported && m.machineType != nil && !m.returning && m.takenBy == 0 && !m.callFailed && !m.unreachable && hm.trusted(m) &&
		hm.core.now < m.lastHeard.Add(hm.reportOverdue())
}

// reportOverdue is how long a machine may leave between two reports until nothing new is
// placed there, and until it counts as silent for its zone.
func (hm *healthMonitor) reportOverdue() time.Duration {
	return hm.core.opt.HeartbeatInterval*3/2 + 1500*time.Millisecond
}

// takesTasks tells whether a usable machine is not set aside either.
func (hm *healthMonitor) takesTasks(m *machine) bool {
	return hm.usable(m) && hm.core.now >= m.quarantinedUntil
}
