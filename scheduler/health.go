package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

// healthMonitor checks all machines for what changes with time alone: silence, lease expiry,
// boots that take too long, spot reclaims, quarantines that end. It terminates machines
// that cannot be used any more and releases the tasks of those whose lease has expired.
//
// The other policies ask it for the health of machines and zones, which machineLiveness and
// partitionDetector answer. Core.Step calls checkIfDue. It must never release a task that may still
// run: only lease expiry, or the cloud's confirmation that the machine is terminated, proves
// that it does not.
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
	// checkedAt is when the last check began.
	checkedAt monotonic.Instant
	// checkRequested asks for a check in the next step.
	checkRequested bool
}

// healthSettings are the settings that all parts of the health policy share.
type healthSettings struct {
	// agentLease is how long an agent runs tasks after its last answered heartbeat.
	agentLease time.Duration
	// heartbeatInterval is the time between two heartbeats of an agent.
	heartbeatInterval time.Duration
	// cancelDeadline is the time within which a cancelled job's tasks must have ended.
	cancelDeadline time.Duration
	// previousLeader tells that another leader may have acted before this term.
	previousLeader bool
}

// machineTerminator terminates machines, and releases the tasks that ended with them.
type machineTerminator interface {
	terminateMachine(m *cluster.Machine, why terminateReason)
	// requestTermination repeats a call to the cloud that failed.
	requestTermination(m *cluster.Machine)
	removeMachine(m *cluster.Machine)
	// releaseTasks releases the tasks of a machine on which nothing runs any more.
	releaseTasks(m *cluster.Machine)
}

// heartbeatRequester asks agents for heartbeats.
type heartbeatRequester interface {
	machineQueue
	// needsHeartbeatRequest tells whether a machine should be asked for a heartbeat now.
	needsHeartbeatRequest(m *cluster.Machine) bool
}

// spotLossRecorder counts spot instances that the cloud took back.
type spotLossRecorder interface{ recordSpotLoss() }

// healthCheckInterval is the time between two checks of the machines.
const healthCheckInterval = 200 * time.Millisecond

// noticeReclaim notes that the cloud takes a spot instance back after a time. The next step
// then checks the machines, and drains this one.
func (hm *healthMonitor) noticeReclaim(m *cluster.Machine, after time.Duration) {
	if m.Health.SpotReclaimAt == 0 {
		hm.rounds.MarkDue()
		hm.checkRequested = true
		hm.autoscaler.recordSpotLoss()
	}
	m.Health.SpotReclaimAt = hm.clock.Now().Add(after)
}

// checkIfDue checks all machines if a check is due or was requested, and tells whether it
// did.
func (hm *healthMonitor) checkIfDue() bool {
	now := hm.clock.Now()
	if !hm.checkRequested && now < hm.checkedAt.Add(healthCheckInterval) {
		return false
	}
	hm.checkRequested, hm.checkedAt = false, now
	hm.checkMachines()
	return true
}

// checkMachines checks all machines.
func (hm *healthMonitor) checkMachines() {
	hm.reclaims.drain()
	hm.updateZones()
	check := machineCheck{healthMonitor: hm, mostSilent: hm.mostSilent(hm.cluster.Machines())}
	var terminated []*cluster.Machine // removed after the walk over the list that they are in
	for _, m := range hm.cluster.Machines() {
		hm.endQuarantine(m)
		switch {
		case m.Lifecycle.TerminateInFlight:
		case m.Lifecycle.Terminating && m.Lifecycle.Terminated:
			terminated = append(terminated, m)
		case m.Lifecycle.Terminating:
			hm.requestHeartbeat(m)
			hm.registry.requestTermination(m)
		default:
			hm.requestHeartbeat(m)
			check.run(m)
		}
	}
	for _, m := range terminated {
		hm.registry.removeMachine(m)
	}
}

// endQuarantine ends a machine's quarantine when its time has passed.
func (hm *healthMonitor) endQuarantine(m *cluster.Machine) {
	if m.Health.QuarantinedUntil != 0 && hm.clock.Now() >= m.Health.QuarantinedUntil {
		m.Health.QuarantinedUntil = 0
		hm.rounds.MarkDue()
	}
}

// requestHeartbeat has a machine asked for a heartbeat if command dispatch needs one.
func (hm *healthMonitor) requestHeartbeat(m *cluster.Machine) {
	if hm.commands.needsHeartbeatRequest(m) {
		hm.commands.queueCommands(m)
	}
}
