package cluster

import (
	"fmt"
	"slices"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/wire"
)

// EnsureMachine returns the machine with an ID, and adds it if it is unknown.
func (s *State) EnsureMachine(id ids.MachineID) *Machine {
	if m := s.machines[id]; m != nil {
		return m
	}
	now := s.clock.Now()
	m := &Machine{
		ID:                 id,
		byRef:              map[ids.TaskRef]*Assignment{},
		images:             map[ids.Image]*CachedImage{},
		notStoppingByImage: map[ids.Image]int{},
		Lifecycle:          MachineLifecycle{KnownSince: now, IdleSince: now},
		Health:             MachineHealth{FailuresByJob: map[ids.JobID]int{}},
	}
	s.machines[id] = m
	i, _ := s.listIndex(id)
	s.machineList = slices.Insert(s.machineList, i, m)
	return m
}

// listIndex returns the index of a machine in the list, or where it would be inserted, and reports
// whether the list contains it.
func (s *State) listIndex(id ids.MachineID) (int, bool) {
	return slices.BinarySearchFunc(s.machineList, id, compareToID)
}

// SetEndpoint sets the address of a machine's agent.
func (*State) SetEndpoint(m *Machine, endpoint string) { m.endpoint = endpoint }

// SetSite sets a machine's type, zone and purchase option. Tasks that were loaded from the records
// before the machine's zone was known are then counted in that zone.
func (s *State) SetSite(m *Machine, site placement.Site) {
	if m.site == site {
		return
	}
	for _, a := range m.assignments {
		a.Job.removeFromZone(m.site.Zone)
		a.Job.zones[site.Zone]++
	}
	m.site = site
	s.applyType(m)
	s.rounds.MarkDue()
}

// applyType updates a machine's capacity, and its boot deadline if that is not set yet, from its type.
func (s *State) applyType(m *Machine) {
	t := s.types[m.site.Type]
	if t == nil {
		return
	}
	m.machineType = t
	m.total = placement.MachineResources(t)
	if m.Lifecycle.BootDeadline == 0 {
		m.Lifecycle.BootDeadline = m.Lifecycle.KnownSince.Add(monotonic.Seconds(t.BootS*s.settings.BootFactor) + s.settings.ListLag)
	}
}

// scarceHeartbeatBytes is the free space in a machine's heartbeats below which waiting tasks may not
// fit for lack of space.
const scarceHeartbeatBytes = wire.MaxHeartbeatTasksBytes / 2

// CountUnrecorded counts the tasks that the newest heartbeat reports and that have no assignment on
// the machine: their resources on the machine and their teams' quota. A task that has ended only
// takes space in the heartbeats.
func (s *State) CountUnrecorded(m *Machine) {
	before := m.Free().HeartbeatBytes
	s.releaseUnrecorded(m)
	for i := range m.Agent.ReportedTasks {
		t := &m.Agent.ReportedTasks[i]
		if m.AssignsAttempt(t) {
			continue
		}
		j := s.jobs[t.Ref.Job]
		if j == nil || t.State == wire.TaskEnded {
			m.leavingBytes += wire.MaxTaskStatusBytes(t.Ref.Job)
			continue
		}
		m.unrecorded = m.unrecorded.Plus(j.TaskResources())
		m.unrecordedJobs = append(m.unrecordedJobs, j)
		s.quotas.Charge(j.Spec.Team, j.Amount())
	}
	if free := m.Free().HeartbeatBytes; free > before && before < scarceHeartbeatBytes {
		s.rounds.MarkDue() // tasks may have waited for the space
	}
}

// releaseUnrecorded reverts CountUnrecorded.
func (s *State) releaseUnrecorded(m *Machine) {
	for _, j := range m.unrecordedJobs {
		s.quotas.Release(j.Spec.Team, j.Amount())
	}
	m.unrecordedJobs = m.unrecordedJobs[:0]
	m.unrecorded = placement.Resources{}
	m.leavingBytes = 0
}

// RemoveMachine removes a machine that is known to be terminated. All its tasks must have
// been released.
func (s *State) RemoveMachine(m *Machine) {
	if len(m.assignments) > 0 {
		panic(fmt.Sprintf("removing machine %s, which has %d assignments", m.ID, len(m.assignments)))
	}
	s.releaseUnrecorded(m)
	s.removed[m.ID] = true
	delete(s.machines, m.ID)
	if i, found := s.listIndex(m.ID); found {
		s.machineList = slices.Delete(s.machineList, i, i+1)
	}
	s.rounds.MarkDue()
}
