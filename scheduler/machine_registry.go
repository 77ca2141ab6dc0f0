package scheduler

import (
	"slices"
	"strings"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// machineRegistry holds the machines that are known, rented or reporting, until the
// cloud has said that they are gone.
type machineRegistry struct {
	core     *Core
	machines map[ids.MachineID]*machine
	// machineList holds the same machines by host.
	machineList []*machine
	// returnedHosts are machines that were returned in this term.
	returnedHosts map[ids.MachineID]bool
	// returnCounts counts returned machines by reason, for the log.
	returnCounts map[returnReason]int
}

// newMachineRegistry makes an empty registry.
func newMachineRegistry(c *Core) *machineRegistry {
	return &machineRegistry{
		core:          c,
		machines:      map[ids.MachineID]*machine{},
		returnedHosts: map[ids.MachineID]bool{},
		returnCounts:  map[returnReason]int{},
	}
}

// ensureMachine finds the entry of a host, or makes one.
func (r *machineRegistry) ensureMachine(h ids.MachineID) *machine {
	m := r.machines[h]
	if m == nil {
		m = &machine{host: h, knownSince: r.core.now, idleSince: r.core.now, tasks: map[ids.TaskRef]*assignment{},
			images: map[ids.Image]*cachedImage{}, fetches: map[ids.Image]int{}, failuresByJob: map[ids.JobID]int{}}
		r.machines[h] = m
		i, _ := slices.BinarySearchFunc(r.machineList, h, func(o *machine, h ids.MachineID) int {
			return strings.Compare(string(o.host), string(h))
		})
		r.machineList = slices.Insert(r.machineList, i, m)
	}
	return m
}

// setSite fills in what a machine is. Tasks that records placed on it before
// its zone was known are counted to the zone now.
func (r *machineRegistry) setSite(m *machine, s placement.Site, endpoint string) {
	if endpoint != "" {
		m.endpoint = endpoint
		r.core.commands.queueCommands(m)
	}
	if m.Site == s {
		return
	}
	for _, a := range m.tasks {
		if a.job.zones[m.Zone]--; a.job.zones[m.Zone] <= 0 {
			delete(a.job.zones, m.Zone)
		}
		a.job.zones[s.Zone]++
	}
	m.Site = s
	r.applyType(m)
	r.core.schedulingDue = true
}

// applyType fills in what follows from a machine's type.
func (r *machineRegistry) applyType(m *machine) {
	if t := r.core.types[m.Type]; t != nil {
		m.machineType = t
		m.total = placement.MachineResources(t)
		if m.bootDeadline == 0 {
			m.bootDeadline = m.knownSince.Add(monotonic.Seconds(t.BootS*r.core.opt.BootFactor) + r.core.opt.ListLag)
		}
	}
}

// MachineList takes the cloud's list. It lags and may be older than one
// before, so absence proves nothing by itself. asked is when it was asked for.
func (c *Core) MachineList(now, asked monotonic.Instant, list []wire.Machine) {
	c.now = now
	c.registry.observeList(asked, list)
}

// observeList takes the cloud's list into account.
func (r *machineRegistry) observeList(asked monotonic.Instant, list []wire.Machine) {
	listed := map[ids.MachineID]bool{}
	for _, w := range list {
		listed[w.ID] = true
		if r.returnedHosts[w.ID] {
			continue
		}
		m := r.machines[w.ID]
		if m == nil {
			m = r.ensureMachine(w.ID)
			m.knownSince = asked.Add(-monotonic.Seconds(w.AgeS))
		}
		r.setSite(m, placement.Site{Type: w.Type, Zone: w.Zone, Spot: w.Spot}, w.Endpoint)
		if m.listedStatus != w.Status && !m.reported && r.core.opt.PreviousLeader {
			r.core.commands.queueCommands(m)
		}
		m.listedStatus, m.missingLists = w.Status, 0
	}
	for _, m := range r.machineList {
		// A machine that a predecessor placed tasks on is long past the lag.
		// Unless this is said, one that died with the predecessor keeps its
		// tasks for the whole grace and a lease.
		old := m.knownSince <= r.core.termBegan && asked > r.core.termBegan.Add(2*r.core.opt.ListLag+time.Second)
		if (m.listedStatus != "" || old) && !listed[m.host] {
			m.missingLists++
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
func (r *machineRegistry) returnMachine(m *machine, why returnReason) {
	r.returnCounts[why]++
	r.returnAgain(m)
}

// returnAgain calls the cloud to return a machine.
func (r *machineRegistry) returnAgain(m *machine) {
	m.returning, m.returnInFlight = true, true
	r.core.decisions.Terminate = append(r.core.decisions.Terminate, m.host)
	r.core.schedulingDue = true
}

// TerminateResult takes the outcome of giving machines back. Once it succeeded,
// the machines and all on them are gone.
func (c *Core) TerminateResult(now monotonic.Instant, hosts []ids.MachineID, ok bool) {
	c.now = now
	c.registry.returnResult(hosts, ok)
}

// returnResult takes the outcome of a return call.
func (r *machineRegistry) returnResult(hosts []ids.MachineID, ok bool) {
	for _, h := range hosts {
		m := r.machines[h]
		if m == nil {
			continue
		}
		m.returnInFlight = false
		if ok {
			m.returned = true
			r.removeMachine(m)
		}
	}
}

// removeMachine drops a machine that is gone, and releases its tasks.
func (r *machineRegistry) removeMachine(m *machine) {
	for _, a := range m.tasksSnapshot() {
		if !a.recordInFlight {
			r.core.zones.lost(a)
			r.core.release(a)
		}
	}
	if len(m.tasks) > 0 {
		return // a record is being written; it is forgotten after that
	}
	for _, j := range m.unrecordedJobs {
		r.core.quotas.Release(j.spec.Team, j.amount())
	}
	r.returnedHosts[m.host] = true
	delete(r.machines, m.host)
	i := slices.Index(r.machineList, m)
	r.machineList = slices.Delete(r.machineList, i, i+1)
	if m.endpoint != "" {
		r.core.decisions.ForgetAddresses = append(r.core.decisions.ForgetAddresses, m.endpoint)
	}
	r.core.schedulingDue = true
}

// Endpoint is a worker's address.
func (c *Core) Endpoint(h ids.MachineID) string {
	if m := c.registry.machines[h]; m != nil {
		return m.endpoint
	}
	return ""
}
