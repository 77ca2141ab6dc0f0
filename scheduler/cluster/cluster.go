// Package cluster holds the scheduler's state of the cluster: jobs, their tasks, the
// assignments of tasks to machines, and the machines, with the links and indexes between
// them.
//
// Only State writes these links. Each kind of change has its own method: Assign and Inherit
// place a task, Release and Complete remove it from its machine, RemoveMachine removes a
// machine, EndJob ends a job. The methods preserve the invariants that CheckInvariants verifies: a
// task has at most one assignment, the resources and the quota in use equal the sum over the
// assignments and the unrecorded tasks, and every index is consistent with the data it is derived
// from.
//
// The package makes no decisions. The components of the scheduler query the state and request
// changes. What a component records about a job or a machine is in a struct named after its
// subject, such as Machine.Health. Only the components named in the struct's comment write to it,
// apart from the initial values that State sets.
//
// The types aren't safe for concurrent use. They belong to the goroutine that runs the scheduler.
package cluster

import (
	"maps"
	"slices"
	"sort"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// Settings holds the settings that the state needs.
type Settings struct {
	// SliceTasks is the number of tasks that share one admission record.
	SliceTasks int
	// BootFactor is the longest time that a machine may take to boot, as a multiple of its type's
	// boot time. ListLag is the maximum delay with which the cloud's list of machines shows a
	// change.
	BootFactor float64
	ListLag    time.Duration
}

// State holds the state of the cluster in one term.
type State struct {
	settings Settings
	clock    *clock.Clock
	rounds   *clock.RoundTrigger
	quotas   *quota.Tracker

	jobs map[ids.JobID]*Job
	// markedWaiting holds the jobs that MarkWaiting has marked.
	markedWaiting []*Job

	machines map[ids.MachineID]*Machine
	// machineList holds the same machines, sorted by ID.
	machineList []*Machine
	// removed holds the machines that were removed in this term.
	removed map[ids.MachineID]bool

	types map[ids.MachineType]*wire.MachineType
	// typeList holds the same types, sorted by name.
	typeList []wire.MachineType

	// workloads counts the assignments by team and priority.
	workloads map[Workload]WorkloadCount
}

// NewState returns an empty state. The state charges the quota of its assignments to quotas, and
// requests a scheduling round from rounds after changes that scheduling may act on.
func NewState(settings Settings, now *clock.Clock, rounds *clock.RoundTrigger, quotas *quota.Tracker) *State {
	return &State{
		settings:  settings,
		clock:     now,
		rounds:    rounds,
		quotas:    quotas,
		jobs:      map[ids.JobID]*Job{},
		machines:  map[ids.MachineID]*Machine{},
		removed:   map[ids.MachineID]bool{},
		workloads: map[Workload]WorkloadCount{},
	}
}

// SetCatalog sets the cloud's machine types with their current prices.
func (s *State) SetCatalog(types []wire.MachineType) {
	s.typeList = slices.Clone(types)
	sort.Slice(s.typeList, func(i, k int) bool { return s.typeList[i].Name < s.typeList[k].Name })
	s.types = map[ids.MachineType]*wire.MachineType{}
	for i := range s.typeList {
		s.types[s.typeList[i].Name] = &s.typeList[i]
	}
	for _, m := range s.machineList {
		s.applyType(m)
	}
	s.rounds.MarkDue()
}

// Type returns a machine type from the catalog, or nil if the catalog does not have it.
func (s *State) Type(name ids.MachineType) *wire.MachineType { return s.types[name] }

// Types returns the catalog sorted by name. The caller must not modify it.
func (s *State) Types() []wire.MachineType { return s.typeList }

// Job returns the job with an ID, or nil if it is unknown.
func (s *State) Job(id ids.JobID) *Job { return s.jobs[id] }

// Jobs returns all known jobs. The caller must not modify the map. Code whose decisions may depend
// on the order of iteration uses SortedJobs.
func (s *State) Jobs() map[ids.JobID]*Job { return s.jobs }

// MarkWaiting marks a job that may have begun to wait for admission, or whose place in the queue may have changed.
func (s *State) MarkWaiting(j *Job) {
	if !j.Queue.Marked {
		j.Queue.Marked = true
		s.markedWaiting = append(s.markedWaiting, j)
	}
}

// TakeMarkedWaiting returns the jobs that were marked since the last call.
func (s *State) TakeMarkedWaiting() []*Job {
	marked := s.markedWaiting
	s.markedWaiting = nil
	for _, j := range marked {
		j.Queue.Marked = false
	}
	return marked
}

// SortedJobs returns all jobs sorted by ID. Decisions follow this order, never the iteration order
// of a map: the same events must lead to the same decisions.
func (s *State) SortedJobs() []*Job { return slices.SortedFunc(maps.Values(s.jobs), CompareJobs) }

// Machine returns the machine with an ID, or nil if it is unknown.
func (s *State) Machine(id ids.MachineID) *Machine { return s.machines[id] }

// Machines returns all machines sorted by ID. The caller must not modify the list, nor remove a
// machine while iterating over it.
func (s *State) Machines() []*Machine { return s.machineList }

// WasRemoved reports whether a machine was removed in this term. A delayed heartbeat or an
// outdated machine list may still name it.
func (s *State) WasRemoved(id ids.MachineID) bool { return s.removed[id] }
