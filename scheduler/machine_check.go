package scheduler

import (
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

const (
	// silentLeases is for how many leases a machine without tasks may be silent until it is
	// terminated. One that hung or lost the network often sends heartbeats again soon after its
	// lease expired, before another one could boot, and holds its images. One that failed costs
	// nothing more, and the cloud's list shows that.
	silentLeases = 2
	// missingListsLimit is in how many of the cloud's lists in a row a machine must be
	// missing until it counts as gone.
	missingListsLimit = 2
	// missingHeartbeats is for how many heartbeat intervals such a machine must be silent
	// as well.
	missingHeartbeats = 2
	// resumedHeartbeats is how many heartbeat intervals after a pause of this process a
	// machine still has to send its first heartbeat.
	resumedHeartbeats = 2
	// cancelOverduePercent is the part of the cancel deadline after which a machine that
	// still holds a cancelled task is terminated. The rest of the deadline is for the cloud.
	cancelOverduePercent = 45
)

// keepMachine means that there is no reason to terminate a machine.
const keepMachine terminateReason = ""

// machineCheck is the state of one check of all machines.
type machineCheck struct {
	*healthMonitor
	// mostSilent tells that most machines fell silent at once. The cause is then more likely
	// this controller's network than the machines, which are not terminated for it.
	mostSilent bool
}

// run terminates a machine that cannot be used any more, or releases the tasks of one whose
// lease has expired.
func (c *machineCheck) run(m *cluster.Machine) {
	if why := c.reasonGone(m); why != keepMachine {
		c.terminate(m, why)
		return
	}
	if c.holdsExpiredTasks(m) {
		// A later check releases the tasks whose records are being written.
		c.registry.releaseTasks(m)
		c.commands.queueCommands(m)
		return
	}
	if why := c.reasonUseless(m); why != keepMachine {
		c.terminate(m, why)
	}
}

// terminate terminates a machine. A spot instance that is missing without notice was
// taken back by the cloud.
func (c *machineCheck) terminate(m *cluster.Machine, why terminateReason) {
	if why == terminateMissing && m.Spot() && m.Health.SpotReclaimAt == 0 {
		c.autoscaler.recordSpotLoss()
	}
	c.registry.terminateMachine(m, why)
}

// reasonGone is why a machine is terminated that does not exist any more or never came up,
// or keepMachine.
func (c *machineCheck) reasonGone(m *cluster.Machine) terminateReason {
	switch {
	case m.Lifecycle.ListedStatus == wire.MachineFailed:
		return terminateFailed
	case m.Lifecycle.MissingLists >= missingListsLimit && m.NoHeartbeatFor(c.clock.Now(), missingHeartbeats*c.settings.heartbeatInterval):
		// To terminate a machine that is gone has no effect, and the cloud's answer proves
		// that it is gone.
		return terminateMissing
	case c.bootFailed(m):
		return terminateBootFailed
	}
	return keepMachine
}

// reasonUseless is why a machine is terminated that may still exist, or keepMachine.
func (c *machineCheck) reasonUseless(m *cluster.Machine) terminateReason {
	switch {
	case c.silentTooLong(m):
		return terminateSilent
	case c.cancelOverdue(m):
		// Whether the machine is silent or does not follow commands, only its termination
		// ends the task for certain.
		return terminateCancelled
	case c.reachability.overdue(m):
		// No other controller can reach it either. Once it is terminated, its tasks have
		// ended and may go elsewhere.
		return terminateUnreachable
	}
	return keepMachine
}

// bootFailed tells whether a machine takes too long to boot. A previous leader's machines
// have booted already and need time to find this leader. During a pause of this process no
// heartbeat could arrive.
func (c *machineCheck) bootFailed(m *cluster.Machine) bool {
	if m.Agent.HeartbeatThisTerm || m.Lifecycle.BootDeadline == 0 || len(m.Assignments()) > 0 {
		return false
	}
	deadline := max(m.Lifecycle.BootDeadline, c.clock.ResumedAt().Add(resumedHeartbeats*c.settings.heartbeatInterval))
	if c.settings.previousLeader {
		deadline = max(deadline, c.clock.TermStart().Add(c.settings.agentLease))
	}
	return c.clock.Now() > deadline
}

// silentTooLong tells whether a machine without tasks has been silent for longer than machines
// usually are that send heartbeats again, while others are heard.
func (c *machineCheck) silentTooLong(m *cluster.Machine) bool {
	if !m.Agent.HeartbeatThisTerm || len(m.Assignments()) > 0 || c.mostSilent || c.zonePartitionedRecently(m.Zone()) {
		return false
	}
	return m.NoHeartbeatFor(c.clock.Now(), silentLeases*c.settings.agentLease)
}

// cancelOverdue tells whether a machine holds a task of a cancelled job that must end soon.
func (c *machineCheck) cancelOverdue(m *cluster.Machine) bool {
	if m.NotStopping() == len(m.Assignments()) {
		return false // nothing is stopped
	}
	for _, a := range m.Assignments() {
		if a.StopReason() != cluster.StopCancelled {
			continue
		}
		if c.clock.Now() > a.Job.EndedAt().Add(c.settings.cancelDeadline*cancelOverduePercent/100) {
			return true
		}
	}
	return false
}

// holdsExpiredTasks tells whether a machine with tasks has lost its lease, so that the tasks
// have ended.
func (c *machineCheck) holdsExpiredTasks(m *cluster.Machine) bool {
	return len(m.Assignments()) > 0 && c.leases.expired(m) && m.NoHeartbeatFor(c.clock.Now(), monotonic.AddDriftMargin(c.settings.agentLease))
}
