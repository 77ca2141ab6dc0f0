package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// machineRegistry tracks machines from their appearance in the cloud's list until the cloud confirms
// their termination, and decides when the cloud is called to terminate them. The core passes the
// cloud's lists and confirmations to the registry. The health check and scale in choose the machines
// to terminate. The registry must not conclude from a single list that a machine is gone, and must
// not remove a machine that still has tasks.
type machineRegistry struct {
	cluster   *cluster.State
	clock     *clock.Clock
	rounds    *clock.RoundTrigger
	commands  machineQueue
	lifecycle taskReleaser
	zones     lossObserver
	settings  registrySettings
	// terminateCounts holds the number of terminated machines by reason, for the log.
	terminateCounts map[terminateReason]int
	terminations    *terminationRecorder
	// addressesToForget holds the decisions that takeDecisions has not returned yet.
	addressesToForget []string
}

// registrySettings holds the settings of the machine registry.
type registrySettings struct {
	// previousLeader reports whether another leader may have acted before this term.
	previousLeader bool
	// listLag is the maximum staleness of the cloud's list of machines.
	listLag time.Duration
}

// taskReleaser releases tasks that are known to have ended from their machines.
type taskReleaser interface {
	release(a *cluster.Assignment)
}

// lossObserver records that a task was lost with its machine.
type lossObserver interface {
	taskLost(a *cluster.Assignment)
}

// begin marks the machines that the records name as known since the term began.
func (r *machineRegistry) begin() {
	for _, m := range r.cluster.Machines() {
		m.Lifecycle.KnownSince = r.clock.Now()
		r.commands.queueMachine(m)
	}
}

// takeDecisions returns the addresses to forget since the last call, and clears them.
func (r *machineRegistry) takeDecisions() (forget []string) {
	forget = r.addressesToForget
	r.addressesToForget = nil
	return forget
}

// setSite records a machine's site, and its agent's address unless that is "".
func (r *machineRegistry) setSite(m *cluster.Machine, site placement.Site, endpoint string) {
	if endpoint != "" {
		r.cluster.SetEndpoint(m, endpoint)
		r.commands.queueMachine(m)
	}
	r.cluster.SetSite(m, site)
}

// MachineList updates the machines from the cloud's list, which was requested at requestedAt. The
// list lags and may be older than the previous one, so the absence of a machine alone proves nothing.
func (c *Core) MachineList(now, requestedAt monotonic.Instant, list []wire.Machine) {
	c.clock.Set(now)
	c.registry.observeList(requestedAt, list)
}

// observeList updates the machines from the cloud's list.
func (r *machineRegistry) observeList(requestedAt monotonic.Instant, list []wire.Machine) {
	listed := map[ids.MachineID]bool{}
	for i := range list {
		entry := &list[i]
		listed[entry.ID] = true
		if r.cluster.WasRemoved(entry.ID) {
			continue
		}
		m := r.cluster.Machine(entry.ID)
		if m == nil {
			m = r.cluster.EnsureMachine(entry.ID)
			m.Lifecycle.KnownSince = requestedAt.Add(-monotonic.Seconds(entry.AgeS))
		}
		r.setSite(m, placement.Site{Type: entry.Type, Zone: entry.Zone, Spot: entry.Spot}, entry.Endpoint)
		if m.Lifecycle.ListedStatus != entry.Status && !m.Agent.HeartbeatThisTerm && r.settings.previousLeader {
			r.commands.queueMachine(m)
		}
		m.Lifecycle.ListedStatus, m.Lifecycle.MissingLists = entry.Status, 0
	}
	r.countMissing(requestedAt, listed)
}

// countMissing counts, for each machine, the consecutive lists that do not contain it. It includes
// machines on which a previous leader placed tasks, once the list is recent enough to show them.
// Otherwise a machine that fails together with that leader keeps its tasks for the whole grace period
// and a lease.
func (r *machineRegistry) countMissing(requestedAt monotonic.Instant, listed map[ids.MachineID]bool) {
	termBegan := r.clock.TermStart()
	caughtUp := requestedAt > termBegan.Add(2*r.settings.listLag+time.Second)
	for _, m := range r.cluster.Machines() {
		inherited := m.Lifecycle.KnownSince <= termBegan && caughtUp
		if (m.Lifecycle.ListedStatus != "" || inherited) && !listed[m.ID] {
			m.Lifecycle.MissingLists++
		}
	}
}

// terminateReason represents why a machine is terminated, for the log.
type terminateReason string

// The reasons for terminating a machine.
const (
	terminateFailed           terminateReason = "failed"
	terminateMissing          terminateReason = "missing"
	terminateBootFailed       terminateReason = "boot-failed"
	terminateMissedHeartbeats terminateReason = "silent"
	terminateCancelled        terminateReason = "cancelled"
	terminateUnreachable      terminateReason = "unreachable"
	terminateIdle             terminateReason = "idle"
	// terminateRecorded means that an earlier leader decided the termination.
	terminateRecorded terminateReason = "recorded"
)

// terminateMachine decides to terminate a machine. It does not wait for records in flight: tasks
// whose placement is being recorded were never started, and a task of a cancelled job on the same
// machine must end before the cancel deadline.
func (r *machineRegistry) terminateMachine(m *cluster.Machine, reason terminateReason) {
	r.terminateCounts[reason]++
	m.Lifecycle.Terminating = true
	if reason == terminateCancelled {
		r.terminations.addExpedited(m.ID)
	} else {
		r.terminations.add(m.ID)
	}
	r.rounds.MarkDue()
}

// expediteTermination terminates a machine, which is being terminated for another reason, for a task of a
// cancelled job as well, so that the termination does not wait for the key-value store.
func (r *machineRegistry) expediteTermination(m *cluster.Machine) { r.terminations.expedite(m.ID) }

// MachinesTerminated records the cloud's confirmation that machines, and all tasks on them, are
// terminated.
func (c *Core) MachinesTerminated(now monotonic.Instant, machines []ids.MachineID) {
	c.clock.Set(now)
	c.terminations.confirm(machines)
	c.registry.recordTerminated(machines)
}

// recordTerminated records that machines are terminated, and removes them.
func (r *machineRegistry) recordTerminated(machines []ids.MachineID) {
	for _, id := range machines {
		if m := r.cluster.Machine(id); m != nil {
			m.Lifecycle.Terminated = true
			r.removeMachine(m)
		}
	}
}

// releaseTasks releases the tasks of a machine on which no task runs any more, except those whose
// records are being written.
func (r *machineRegistry) releaseTasks(m *cluster.Machine) {
	for _, a := range m.AssignmentsSnapshot() {
		if !a.Record.InFlight {
			r.zones.taskLost(a)
			r.lifecycle.release(a)
		}
	}
}

// removeMachine releases the tasks of a terminated machine and removes the machine. If a task cannot
// be released yet, the machine is kept.
func (r *machineRegistry) removeMachine(m *cluster.Machine) {
	r.releaseTasks(m)
	if len(m.Assignments()) > 0 {
		return // a record is being written; the next check removes the machine
	}
	r.cluster.RemoveMachine(m)
	if m.Endpoint() != "" {
		r.addressesToForget = append(r.addressesToForget, m.Endpoint())
	}
}

// Endpoint returns the address of a machine's agent, or "" if it is not known.
func (c *Core) Endpoint(id ids.MachineID) string {
	if m := c.cluster.Machine(id); m != nil {
		return m.Endpoint()
	}
	return ""
}
