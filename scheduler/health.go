package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

// healthMonitor checks all machines periodically for conditions that depend only on time: missed
// heartbeats, lease expiry, boot timeouts, spot reclaims and the end of quarantines. It terminates
// machines that can no longer be used and releases the tasks of machines whose lease has expired.
//
// The other components query it for the health of machines and zones, which the embedded
// machineLiveness and partitionDetector implement. Core.Step calls checkIfDue. healthMonitor must never
// release a task that may still be running. Only lease expiry, or the cloud's confirmation that the
// machine is terminated, proves that a task has ended.
type healthMonitor struct {
	*machineLiveness
	*partitionDetector
	cluster      *cluster.State
	clock        *clock.Clock
	rounds       *clock.RoundTrigger
	settings     healthSettings
	leases       *leaseExpiry
	reachability *reachabilityDetector
	reclaims     *spotDrainer
	registry     machineTerminator
	commands     heartbeatRequester
	autoscaler   spotLossRecorder
	// checkedAt is the time at which the last check began.
	checkedAt monotonic.Instant
	// leaseHeldAt is the last time at which this leader was certain that no later one exists.
	leaseHeldAt monotonic.Instant
	// checkRequested reports whether the next step must run a check even if none is due.
	checkRequested bool
}

// healthSettings holds the settings that all parts of the health monitor share.
type healthSettings struct {
	// agentLease is how long an agent keeps running tasks after its last answered heartbeat.
	agentLease time.Duration
	// heartbeatInterval is the time between two heartbeats of a machine.
	heartbeatInterval time.Duration
	// cancelDeadline is the time within which the tasks of a cancelled job must have ended.
	cancelDeadline time.Duration
	// previousLeader reports whether another leader may have acted before this term.
	previousLeader bool
}

// machineTerminator terminates machines and releases the tasks that ended with them.
type machineTerminator interface {
	terminateMachine(m *cluster.Machine, reason terminateReason)
	// expediteTermination makes the termination of a machine independent of the key-value store.
	expediteTermination(m *cluster.Machine)
	removeMachine(m *cluster.Machine)
	// releaseTasks releases the tasks of a machine on which no task runs any more.
	releaseTasks(m *cluster.Machine)
}

// heartbeatRequester requests heartbeats from agents.
type heartbeatRequester interface {
	machineQueue
	// needsHeartbeatRequest reports whether a heartbeat should be requested from the machine now.
	needsHeartbeatRequest(m *cluster.Machine) bool
}

// spotLossRecorder counts the spot instances that the cloud reclaimed.
type spotLossRecorder interface{ recordSpotLoss() }

// healthCheckInterval is the time between two checks of the machines.
const healthCheckInterval = 200 * time.Millisecond

// ObserveLease tells the core that this leader holds its lease now, so that no later leader exists and every later
// one will read what this one has observed. It must be called after the events that were observed before the
// lease was checked.
func (c *Core) ObserveLease(now monotonic.Instant) {
	c.health.leaseHeldAt = max(c.health.leaseHeldAt, now)
}

// recordReclaimNotice records that the cloud will reclaim a spot instance after the given time.
// The next step then checks all machines, and drains this one.
func (hm *healthMonitor) recordReclaimNotice(m *cluster.Machine, after time.Duration) {
	if m.Health.SpotReclaimAt == 0 {
		hm.rounds.MarkDue()
		hm.checkRequested = true
		hm.autoscaler.recordSpotLoss()
	}
	m.Health.SpotReclaimAt = hm.clock.Now().Add(after)
}

// checkIfDue checks all machines if a check is due or was requested. It reports whether it ran
// the check.
func (hm *healthMonitor) checkIfDue() bool {
	now := hm.clock.Now()
	if !hm.checkRequested && now < hm.checkedAt.Add(healthCheckInterval) {
		return false
	}
	hm.checkRequested, hm.checkedAt = false, now
	hm.checkMachines()
	return true
}

// checkMachines drains reclaimed spot instances, updates the zones, and then checks each machine.
func (hm *healthMonitor) checkMachines() {
	hm.reclaims.drain()
	hm.updateZones()
	check := machineCheck{healthMonitor: hm, widespreadHeartbeatLoss: hm.mostMissHeartbeats(hm.cluster.Machines())}
	var terminated []*cluster.Machine // removed after the loop, which iterates over the list that holds them
	for _, m := range hm.cluster.Machines() {
		hm.endQuarantine(m)
		if hm.leaders.endTerminations(m) {
			hm.rounds.MarkDue()
		}
		switch {
		case m.Lifecycle.Terminated:
			terminated = append(terminated, m)
		case m.Lifecycle.Terminating:
			if check.cancelOverdue(m) {
				hm.registry.expediteTermination(m)
			}
		default:
			hm.requestHeartbeat(m)
			check.run(m)
		}
	}
	for _, m := range terminated {
		hm.registry.removeMachine(m)
	}
}

// endQuarantine ends a machine's quarantine once its duration has elapsed, or its probe has run for a while.
func (hm *healthMonitor) endQuarantine(m *cluster.Machine) {
	if m.Health.QuarantinedUntil == 0 {
		return
	}
	if hm.clock.Now() >= m.Health.QuarantinedUntil || hm.probeSucceeds(m) {
		m.Health.EndQuarantine()
		hm.rounds.MarkDue()
	}
}

// probeSucceeds reports whether the probe of a machine that was quarantined for failures has run for probeRunTime.
func (hm *healthMonitor) probeSucceeds(m *cluster.Machine) bool {
	probe := m.Health.Probe
	if probe == nil || !probe.Current() || !m.Health.QuarantinedForFailures || probe.Run.Phase != wire.TaskRunning {
		return false
	}
	return hm.clock.Now() >= probe.Run.PhaseSince.Add(probeRunTime)
}

// requestHeartbeat queues the machine for a heartbeat request if command dispatch needs one.
func (hm *healthMonitor) requestHeartbeat(m *cluster.Machine) {
	if hm.commands.needsHeartbeatRequest(m) {
		hm.commands.queueMachine(m)
	}
}
