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

// machineRegistry follows machines from the cloud's list until the cloud has confirmed that
// they are terminated, and decides on calls to terminate them. The core passes the cloud's
// lists and confirmations to it; the health check and scale in choose the machines to
// terminate. It must not conclude from one list that a machine is gone, nor remove a machine
// that still has tasks.
type machineRegistry struct {
	cluster   *cluster.State
	clock     *clock.Clock
	rounds    *clock.RoundTrigger
	commands  machineQueue
	lifecycle taskReleaser
	zones     lossObserver
	settings  registrySettings
	// terminateCounts counts the terminated machines by reason, for the log.
	terminateCounts map[terminateReason]int
	// terminate and forgotten are decisions of the present step.
	terminate []ids.MachineID
	forgotten []string
}

// registrySettings are the settings of the machine registry.
type registrySettings struct {
	// previousLeader tells that another leader may have acted before.
	previousLeader bool
	// listLag is how far the cloud's list of machines may lag behind.
	listLag time.Duration
}

// taskReleaser takes tasks that are known to have ended off their machines.
type taskReleaser interface {
	release(a *cluster.Assignment)
}

// lossObserver learns that a task was lost with its machine.
type lossObserver interface {
	taskLost(a *cluster.Assignment)
}

// begin marks the machines that records name as known since the term began.
func (r *machineRegistry) begin() {
	for _, m := range r.cluster.Machines() {
		m.Lifecycle.KnownSince = r.clock.Now()
		r.commands.queueCommands(m)
	}
}

// takeDecisions returns the machines to terminate and the addresses to forget.
func (r *machineRegistry) takeDecisions() (terminate []ids.MachineID, forget []string) {
	terminate, forget = r.terminate, r.forgotten
	r.terminate, r.forgotten = nil, nil
	return terminate, forget
}

// setSite notes what a machine is, and its agent's address unless that is "".
func (r *machineRegistry) setSite(m *cluster.Machine, site placement.Site, endpoint string) {
	if endpoint != "" {
		r.cluster.SetEndpoint(m, endpoint)
		r.commands.queueCommands(m)
	}
	r.cluster.SetSite(m, site)
}

// MachineList takes the cloud's list of machines. It lags and may be older than the previous
// one, so absence proves nothing by itself. asked is when it was requested.
func (c *Core) MachineList(now, asked monotonic.Instant, list []wire.Machine) {
	c.clock.Set(now)
	c.registry.observeList(asked, list)
}

// observeList updates the machines from the cloud's list.
func (r *machineRegistry) observeList(asked monotonic.Instant, list []wire.Machine) {
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
			m.Lifecycle.KnownSince = asked.Add(-monotonic.Seconds(entry.AgeS))
		}
		r.setSite(m, placement.Site{Type: entry.Type, Zone: entry.Zone, Spot: entry.Spot}, entry.Endpoint)
		if m.Lifecycle.ListedStatus != entry.Status && !m.Agent.HeardThisTerm && r.settings.previousLeader {
			r.commands.queueCommands(m)
		}
		m.Lifecycle.ListedStatus, m.Lifecycle.MissingLists = entry.Status, 0
	}
	r.countMissing(asked, listed)
}

// countMissing counts for each machine the lists in a row without it. Machines on
// which a previous leader placed tasks count too, once the list must show them. Otherwise one
// that failed together with that leader would keep its tasks for the whole grace and a lease.
func (r *machineRegistry) countMissing(asked monotonic.Instant, listed map[ids.MachineID]bool) {
	began := r.clock.TermBegan()
	caughtUp := asked > began.Add(2*r.settings.listLag+time.Second)
	for _, m := range r.cluster.Machines() {
		inherited := m.Lifecycle.KnownSince <= began && caughtUp
		if (m.Lifecycle.ListedStatus != "" || inherited) && !listed[m.ID] {
			m.Lifecycle.MissingLists++
		}
	}
}

// terminateReason tells why a machine is terminated, for the log.
type terminateReason string

// The reasons for terminating a machine.
const (
	terminateFailed      terminateReason = "failed"
	terminateMissing     terminateReason = "missing"
	terminateBootFailed  terminateReason = "boot-failed"
	terminateSilent      terminateReason = "silent"
	terminateCancelled   terminateReason = "cancelled"
	terminateUnreachable terminateReason = "unreachable"
	terminateIdle        terminateReason = "idle"
)

// terminateMachine decides to terminate a machine. It does not wait for records in flight:
// tasks whose placement is being recorded were never started, and a cancelled job's task on
// the same machine must end in time.
func (r *machineRegistry) terminateMachine(m *cluster.Machine, why terminateReason) {
	r.terminateCounts[why]++
	r.requestTermination(m)
}

// requestTermination decides to call the cloud to terminate a machine, also if a call failed
// before.
func (r *machineRegistry) requestTermination(m *cluster.Machine) {
	m.Lifecycle.Terminating, m.Lifecycle.TerminateInFlight = true, true
	r.terminate = append(r.terminate, m.ID)
	r.rounds.MarkDue()
}

// MachinesTerminated takes the cloud's confirmation that machines are terminated, with
// everything on them.
func (c *Core) MachinesTerminated(now monotonic.Instant, machines []ids.MachineID) {
	c.clock.Set(now)
	c.registry.terminated(machines)
}

// terminated notes that machines are terminated.
func (r *machineRegistry) terminated(machines []ids.MachineID) {
	for _, id := range machines {
		if m := r.cluster.Machine(id); m != nil {
			m.Lifecycle.TerminateInFlight = false
			m.Lifecycle.Terminated = true
			r.removeMachine(m)
		}
	}
}

// releaseTasks releases the tasks of a machine on which nothing runs any more, except those
// whose records are being written.
func (r *machineRegistry) releaseTasks(m *cluster.Machine) {
	for _, a := range m.AssignmentsSnapshot() {
		if !a.Record.InFlight {
			r.zones.taskLost(a)
			r.lifecycle.release(a)
		}
	}
}

// removeMachine drops a machine that is terminated, and releases its tasks.
func (r *machineRegistry) removeMachine(m *cluster.Machine) {
	r.releaseTasks(m)
	if len(m.Assignments()) > 0 {
		return // a record is being written; the next check removes the machine
	}
	r.cluster.RemoveMachine(m)
	if m.Endpoint() != "" {
		r.forgotten = append(r.forgotten, m.Endpoint())
	}
}

// Endpoint is the address of a machine's agent; "" if it is not known.
func (c *Core) Endpoint(id ids.MachineID) string {
	if m := c.cluster.Machine(id); m != nil {
		return m.Endpoint()
	}
	return ""
}
