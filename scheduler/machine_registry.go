package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// machineRegistry holds the machines that are known, rented or reporting, until the
// cloud has said that they are gone.
type machineRegistry struct {
	core *Core
	// returnCounts counts returned machines by reason, for the log.
	returnCounts map[returnReason]int
}

// newMachineRegistry makes an empty registry.
func newMachineRegistry(c *Core) *machineRegistry {
	return &machineRegistry{
		core:         c,
		returnCounts: map[returnReason]int{},
	}
}

// setSite notes what a machine is, and its agent's address unless that is "".
func (r *machineRegistry) setSite(m *cluster.Machine, site placement.Site, endpoint string) {
	if endpoint != "" {
		r.core.cluster.SetEndpoint(m, endpoint)
		r.core.commands.queueCommands(m)
	}
	r.core.cluster.SetSite(m, site)
}

// MachineList takes the cloud's list. It lags and may be older than one
// before, so absence proves nothing by itself. asked is when it was asked for.
func (c *Core) MachineList(now, asked monotonic.Instant, list []wire.Machine) {
	c.clock.Set(now)
	c.registry.observeList(asked, list)
}

// observeList takes the cloud's list into account.
func (r *machineRegistry) observeList(asked monotonic.Instant, list []wire.Machine) {
	listed := map[ids.MachineID]bool{}
	for _, w := range list {
		listed[w.ID] = true
		if r.core.cluster.WasRemoved(w.ID) {
			continue
		}
		m := r.core.cluster.Machine(w.ID)
		if m == nil {
			m = r.core.cluster.EnsureMachine(w.ID)
			m.Lifecycle.KnownSince = asked.Add(-monotonic.Seconds(w.AgeS))
		}
		r.setSite(m, placement.Site{Type: w.Type, Zone: w.Zone, Spot: w.Spot}, w.Endpoint)
		if m.Lifecycle.ListedStatus != w.Status && !m.Agent.Reported && r.core.opt.PreviousLeader {
			r.core.commands.queueCommands(m)
		}
		m.Lifecycle.ListedStatus, m.Lifecycle.MissingLists = w.Status, 0
	}
	for _, m := range r.core.cluster.Machines() {
		// A machine that a predecessor placed tasks on is long past the lag.
		// Unless this is said, one that died with the predecessor keeps its
		// tasks for the whole grace and a lease.
		old := m.Lifecycle.KnownSince <= r.core.clock.TermBegan() && asked > r.core.clock.TermBegan().Add(2*r.core.opt.ListLag+time.Second)
		if (m.Lifecycle.ListedStatus != "" || old) && !listed[m.ID] {
			m.Lifecycle.MissingLists++
		}
	}
}

// returnReason tells why a machine is returned, for the log.
type returnReason string

// The reasons for returning a machine.
const (
	returnFailed      returnReason = "failed"
	returnMissing     returnReason = "missing"
	returnBootFailed  returnReason = "boot-failed"
	returnSilent      returnReason = "silent"
	returnCancelled   returnReason = "cancelled"
	returnUnreachable returnReason = "unreachable"
	returnIdleMachine returnReason = "idle"
)

// returnMachine decides to return a machine. What is still being recorded was never sent,
// so nothing has to wait for the state service here: a cancelled job's task beside it must
// be gone in time.
func (r *machineRegistry) returnMachine(m *cluster.Machine, why returnReason) {
	r.returnCounts[why]++
	r.returnAgain(m)
}

// returnAgain calls the cloud to return a machine.
func (r *machineRegistry) returnAgain(m *cluster.Machine) {
	m.Lifecycle.Terminating, m.Lifecycle.TerminateInFlight = true, true
	r.core.decisions.Terminate = append(r.core.decisions.Terminate, m.ID)
	r.core.rounds.MarkDue()
}

// TerminateResult takes the outcome of giving machines back. Once it succeeded,
// the machines and all on them are gone.
func (c *Core) TerminateResult(now monotonic.Instant, hosts []ids.MachineID, ok bool) {
	c.clock.Set(now)
	c.registry.returnResult(hosts, ok)
}

// returnResult takes the outcome of a return call.
func (r *machineRegistry) returnResult(hosts []ids.MachineID, ok bool) {
	for _, h := range hosts {
		m := r.core.cluster.Machine(h)
		if m == nil {
			continue
		}
		m.Lifecycle.TerminateInFlight = false
		if ok {
			m.Lifecycle.Terminated = true
			r.removeMachine(m)
		}
	}
}

// removeMachine drops a machine that is gone, and releases its tasks.
func (r *machineRegistry) removeMachine(m *cluster.Machine) {
	for _, a := range m.AssignmentsSnapshot() {
		if !a.Record.InFlight {
			r.core.zones.lost(a)
			r.core.lifecycle.release(a)
		}
	}
	if len(m.Assignments()) > 0 {
		return // a record is being written; it is forgotten after that
	}
	r.core.cluster.RemoveMachine(m)
	if m.Endpoint() != "" {
		r.core.decisions.ForgetAddresses = append(r.core.decisions.ForgetAddresses, m.Endpoint())
	}
	r.core.rounds.MarkDue()
}

// Endpoint is a worker's address.
func (c *Core) Endpoint(h ids.MachineID) string {
	if m := c.cluster.Machine(h); m != nil {
		return m.Endpoint()
	}
	return ""
}
