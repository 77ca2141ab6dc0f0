// Package cluster holds the scheduler's state of the cluster: jobs, their tasks, the
// assignments of tasks to machines, and the machines, with the links and indexes between
// them.
//
// State is the only writer of these links. Each change has one method: Assign and Inherit
// place a task, Release and Complete take it off its machine, RemoveMachine drops a
// machine, EndJob ends a job. They keep the invariants that CheckInvariants verifies: a
// task has at most one assignment, the resources and the quota in use equal the sum of the
// assignments and of what machines run beside them, and every index agrees with the whole.
//
// The package decides nothing. Policies query the state and ask it for changes. What a
// policy notes about a job or a machine is in a struct named for that policy, such as
// Machine.Health. Only the policies that the comment of the struct names write it.
//
// All types belong to the goroutine that runs the scheduler.
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

// Settings are the settings that the state needs.
type Settings struct {
	// SliceTasks is how many tasks share one admission record.
	SliceTasks int
	// BootFactor is how many times as long as its type's boot time a machine may take to
	// boot. ListLag is how far the cloud's list of machines may lag behind.
	BootFactor float64
	ListLag    time.Duration
}

// State is the state of the cluster in one term.
type State struct {
	settings Settings
	clock    *clock.Clock
	rounds   *clock.RoundTrigger
	quotas   *quota.Tracker

	jobs map[ids.JobID]*Job

	machines map[ids.MachineID]*Machine
	// machineList holds the same machines by ID.
	machineList []*Machine
	// removed are the machines that were removed in this term.
	removed map[ids.MachineID]bool

	types map[ids.MachineType]*wire.MachineType
	// typeList holds the same types by name.
	typeList []wire.MachineType

	// workloads counts the assignments by team and priority.
	workloads map[Workload]WorkloadCount
}

// NewState makes an empty state. It charges the quota of its assignments to quotas, and
// marks in rounds the changes that scheduling may act on.
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

// Type finds a machine type in the catalog, or returns nil.
func (s *State) Type(name ids.MachineType) *wire.MachineType { return s.types[name] }

// Types lists the catalog by name. The caller must not change it.
func (s *State) Types() []wire.MachineType { return s.typeList }

// Job finds a job, or returns nil.
func (s *State) Job(id ids.JobID) *Job { return s.jobs[id] }

// Jobs are all known jobs, in no order. The caller must not change the map. Code
// whose order may affect a decision uses SortedJobs.
func (s *State) Jobs() map[ids.JobID]*Job { return s.jobs }

// SortedJobs lists all jobs by ID. Decisions follow this order, never that of a map: the
// same events must give the same decisions.
func (s *State) SortedJobs() []*Job { return slices.SortedFunc(maps.Values(s.jobs), CompareJobs) }

// Machine finds a machine, or returns nil.
func (s *State) Machine(id ids.MachineID) *Machine { return s.machines[id] }

// Machines lists all machines by ID. The caller must not change the list, nor remove a
// machine while it walks through it.
func (s *State) Machines() []*Machine { return s.machineList }

// WasRemoved tells whether a machine was removed in this term. A delayed heartbeat or an
// old list may still name it.
func (s *State) WasRemoved(id ids.MachineID) bool { return s.removed[id] }
