package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/wire"
)

const (
	// missedHeartbeatLeases is the number of leases for which a machine without tasks may miss
	// heartbeats before it is terminated. A machine that hung or lost its network often sends
	// heartbeats again soon after its lease expires, before a replacement could boot, and still has
	// its images cached. A machine that failed incurs no further cost, and the cloud's list shows
	// that it failed.
	missedHeartbeatLeases = 2
	// missingListsLimit is the number of the cloud's lists in a row from which a machine must be
	// missing before it counts as gone.
	missingListsLimit = 2
	// missingHeartbeatIntervals is the number of heartbeat intervals for which such a machine must
	// also have sent no heartbeat.
	missingHeartbeatIntervals = 2
	// resumeHeartbeatIntervals is the number of heartbeat intervals that a booting machine still has
	// to send its first heartbeat after this process resumes from a pause.
	resumeHeartbeatIntervals = 2
	// cancelOverduePercent is the percentage of the cancel deadline after which a machine that still
	// holds a cancelled task is terminated. The cloud needs the rest of the deadline for the
	// termination.
	cancelOverduePercent = 45
	// heartbeatRetryTime is the time after which an agent whose controller has ended sends its heartbeat to
	// the next one.
	heartbeatRetryTime = 5 * time.Second
)

// keepMachine means that there is no reason to terminate the machine.
const keepMachine terminateReason = ""

// machineCheck holds the state of one check of all machines.
type machineCheck struct {
	*healthMonitor
	// widespreadHeartbeatLoss reports whether most machines miss heartbeats at the same time. The
	// likelier cause is then this controller's network, so machines are not terminated for it.
	widespreadHeartbeatLoss bool
}

// run terminates a machine that can no longer be used, or releases the tasks of a machine whose lease
// has expired.
func (c *machineCheck) run(m *cluster.Machine) {
	if reason := c.goneReason(m); reason != keepMachine {
		c.terminate(m, reason)
		return
	}
	if c.hasExpiredTasks(m) {
		// Tasks whose records are being written are released by a later check.
		c.registry.releaseTasks(m)
		c.commands.queueMachine(m)
		return
	}
	if reason := c.unusableReason(m); reason != keepMachine {
		c.terminate(m, reason)
	}
}

// terminate terminates a machine. A spot instance that goes missing without a reclaim notice counts
// as reclaimed by the cloud.
func (c *machineCheck) terminate(m *cluster.Machine, reason terminateReason) {
	if reason == terminateMissing && m.Spot() && m.Health.SpotReclaimAt == 0 {
		c.autoscaler.recordSpotLoss()
	}
	c.registry.terminateMachine(m, reason)
}

// goneReason returns the reason to terminate a machine that no longer exists or failed to boot, or
// keepMachine if there is none.
func (c *machineCheck) goneReason(m *cluster.Machine) terminateReason {
	switch {
	case m.Lifecycle.ListedStatus == wire.MachineFailed:
		return terminateFailed
	case m.Lifecycle.MissingLists >= missingListsLimit && m.NoHeartbeatFor(c.clock.Now(), missingHeartbeatIntervals*c.settings.heartbeatInterval):
		// Terminating a machine that no longer exists has no effect, and the cloud's response
		// proves that the machine no longer exists.
		return terminateMissing
	case c.bootFailed(m):
		return terminateBootFailed
	}
	return keepMachine
}

// unusableReason returns the reason to terminate a machine that may still exist but cannot be used,
// or keepMachine if there is none.
func (c *machineCheck) unusableReason(m *cluster.Machine) terminateReason {
	switch {
	case c.missedHeartbeatsTooLong(m):
		return terminateMissedHeartbeats
	case c.cancelOverdue(m):
		// Whether the machine misses heartbeats or does not carry out commands, only its
		// termination is certain to end the task.
		return terminateCancelled
	case c.reachability.overdue(m):
		// No other controller can reach the machine either. Once the machine is terminated,
		// its tasks have ended and may be placed elsewhere.
		return terminateUnreachable
	}
	return keepMachine
}

// bootFailed reports whether a machine has exceeded its boot deadline. Machines of a previous leader
// may already have booted and need time to find this leader. No heartbeat can arrive while this
// process is paused, so the deadline is extended after a pause.
func (c *machineCheck) bootFailed(m *cluster.Machine) bool {
	if m.Agent.HeartbeatThisTerm || m.Lifecycle.BootDeadline == 0 || len(m.Assignments()) > 0 {
		return false
	}
	deadline := max(m.Lifecycle.BootDeadline, c.clock.ResumedAt().Add(resumeHeartbeatIntervals*c.settings.heartbeatInterval))
	if c.settings.previousLeader {
		deadline = max(deadline, c.clock.TermStart().Add(c.settings.agentLease))
	}
	return c.clock.Now() > deadline
}

// missedHeartbeatsTooLong reports whether a machine without tasks has missed heartbeats for longer
// than machines that recover usually do, while other machines still send heartbeats.
func (c *machineCheck) missedHeartbeatsTooLong(m *cluster.Machine) bool {
	if !m.Agent.HeartbeatThisTerm || len(m.Assignments()) > 0 || c.widespreadHeartbeatLoss || c.zonePartitionedRecently(m.Zone()) {
		return false
	}
	return m.NoHeartbeatFor(c.clock.Now(), missedHeartbeatLeases*c.settings.agentLease)
}

// firstHeartbeatTime returns the time after the start of a term within which a machine that is in order has sent
// this leader a heartbeat, which shows whether it still holds the tasks that the records place there. Heartbeats
// are at most a quarter of their interval late.
func (c *machineCheck) firstHeartbeatTime() time.Duration {
	return c.settings.heartbeatInterval*5/4 + heartbeatRetryTime
}

// cancelOverdue reports whether a machine still holds a task of a cancelled job for which
// cancelOverduePercent of the cancel deadline has passed. Only a cancellation that this leader knew while it held
// its lease counts: a later leader has then read it before it placed anything. Any other is acknowledged to users
// by a later leader, if at all.
func (c *machineCheck) cancelOverdue(m *cluster.Machine) bool {
	if m.NotStopping() == len(m.Assignments()) {
		return false // no task is stopping
	}
	for _, a := range m.Assignments() {
		if a.StopReason() != cluster.StopCancelled || !a.MayRun() {
			continue // a task that was never sent does not run, and a later leader does not know it
		}
		if a.Job.EndObservedAt() > c.leaseHeldAt {
			continue // a later leader may act, and may have placed tasks on the machine before the cancellation
		}
		overdueAt := a.Job.EndedAt().Add(c.settings.cancelDeadline * cancelOverduePercent / 100)
		if c.clock.Now() > max(overdueAt, c.clock.TermStart().Add(c.firstHeartbeatTime())) {
			return true
		}
	}
	return false
}

// hasExpiredTasks reports whether a machine has tasks and its lease has expired, so that the tasks
// have ended.
func (c *machineCheck) hasExpiredTasks(m *cluster.Machine) bool {
	return len(m.Assignments()) > 0 && c.leases.expired(m) && m.NoHeartbeatFor(c.clock.Now(), monotonic.AddDriftMargin(c.settings.agentLease))
}
