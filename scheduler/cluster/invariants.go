package cluster

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// ErrInvariant is wrapped by all errors of CheckInvariants.
var ErrInvariant = errors.New("cluster state is inconsistent")

// sumTolerance is how far a stored sum may differ from a recomputed one: the sums of
// decimals depend on their order.
const sumTolerance = 1e-6

// CheckInvariants verifies that all links, sums and indexes of the state agree. It walks
// through everything and is meant for tests. The error names one fault and wraps
// ErrInvariant.
func (s *State) CheckInvariants() error {
	for _, j := range s.jobs {
		if err := s.checkJob(j); err != nil {
			return fmt.Errorf("%w: job %s: %w", ErrInvariant, j.ID, err)
		}
	}
	if len(s.machines) != len(s.machineList) || !slices.IsSortedFunc(s.machineList, compareMachines) {
		return fmt.Errorf("%w: the list of %d machines is not that of the %d known", ErrInvariant, len(s.machineList), len(s.machines))
	}
	for _, m := range s.machineList {
		if err := s.checkMachine(m); err != nil {
			return fmt.Errorf("%w: machine %s: %w", ErrInvariant, m.ID, err)
		}
	}
	if err := s.checkQuota(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvariant, err)
	}
	if err := s.checkWorkloads(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvariant, err)
	}
	return nil
}

// checkJob verifies a job's tasks and what is derived from them.
func (s *State) checkJob(j *Job) error {
	for i := range j.tasks {
		if err := s.checkTask(j, i); err != nil {
			return fmt.Errorf("task %d: %w", i, err)
		}
	}
	if err := j.checkPending(); err != nil {
		return err
	}
	return j.checkCounts()
}

// checkPending verifies the list of pending tasks. A job that has ended has none.
func (j *Job) checkPending() error {
	if j.Terminal() {
		if len(j.pending) > 0 {
			return fmt.Errorf("it is %s and has pending tasks %v", j.status, j.pending)
		}
		return nil
	}
	listed := len(j.pending)
	for i := range j.tasks {
		if j.tasks[i].state != TaskPending {
			continue
		}
		if listed--; listed < 0 || j.pending[listed] != i {
			return fmt.Errorf("task %d is pending, listed are %v", i, j.pending)
		}
	}
	if listed != 0 {
		return fmt.Errorf("tasks %v are listed as pending, %d too many", j.pending, listed)
	}
	return nil
}

// checkCounts verifies the counts of a job's tasks.
func (j *Job) checkCounts() error {
	var done, assigned, inZones int
	for i := range j.tasks {
		switch j.tasks[i].state {
		case TaskDone:
			done++
		case TaskAssigned:
			assigned++
		case TaskPending:
		}
	}
	for zone, counted := range j.zones {
		inZones += counted
		if n := j.countIn(zone); n != counted {
			return fmt.Errorf("%d tasks are assigned in zone %s, counted %d", n, zone, counted)
		}
	}
	if done != j.done || assigned != len(j.active) || assigned != inZones {
		return fmt.Errorf("%d tasks are done and %d assigned, counted %d and %d, by zone %v", done, assigned, j.done, len(j.active), j.zones)
	}
	return nil
}

// countIn counts a job's assignments in a zone.
func (j *Job) countIn(zone ids.Zone) int {
	n := 0
	for _, a := range j.active {
		if a.Machine.site.Zone == zone {
			n++
		}
	}
	return n
}

// checkTask verifies that a task has an assignment if and only if it is assigned, and that
// the job and a known machine link the same one.
func (s *State) checkTask(j *Job, index int) error {
	t := &j.tasks[index]
	if (t.state == TaskAssigned) != (t.assignment != nil) {
		return fmt.Errorf("it is in state %d with assignment %v", t.state, t.assignment != nil)
	}
	a := t.assignment
	if a != j.active[index] {
		return errors.New("the job lists another assignment")
	}
	if a == nil {
		return nil
	}
	switch m := a.Machine; {
	case a.Job != j || a.Index != index || a.Attempt != t.attempt:
		return fmt.Errorf("its assignment is attempt %d of %s/%d", a.Attempt, a.Job.ID, a.Index)
	case s.machines[m.ID] != m:
		return fmt.Errorf("its machine %s is not known", m.ID)
	case m.byRef[a.Ref()] != a:
		return fmt.Errorf("its machine %s does not hold the assignment", m.ID)
	}
	return nil
}

// checkMachine verifies a machine's assignments and what is derived from them.
func (s *State) checkMachine(m *Machine) error {
	if s.machines[m.ID] != m {
		return errors.New("it is listed and not known")
	}
	if len(m.byRef) != len(m.assignments) || !slices.IsSortedFunc(m.assignments, compareAssignments) {
		return fmt.Errorf("the list of %d assignments is not that of the %d held", len(m.assignments), len(m.byRef))
	}
	for _, a := range m.assignments {
		if m.byRef[a.Ref()] != a || a.Machine != m || s.jobs[a.Job.ID] != a.Job || a.Job.tasks[a.Index].assignment != a {
			return fmt.Errorf("task %s does not link its assignment here", a.Ref())
		}
	}
	if err := m.checkResources(); err != nil {
		return err
	}
	return m.checkStaying()
}

// checkResources verifies what is in use on a machine, and that the rest is free.
func (m *Machine) checkResources() error {
	var used, unrecorded placement.Resources
	for _, a := range m.assignments {
		used = used.Plus(placement.TaskResources(a.Job.Spec))
	}
	for _, j := range m.unrecordedJobs {
		unrecorded = unrecorded.Plus(placement.TaskResources(j.Spec))
	}
	switch {
	case !closeResources(used, m.used):
		return fmt.Errorf("assignments use %+v, counted %+v", used, m.used)
	case !closeResources(unrecorded, m.unrecorded):
		return fmt.Errorf("unrecorded tasks use %+v, counted %+v", unrecorded, m.unrecorded)
	case !closeResources(m.total.Minus(used).Minus(unrecorded), m.Free()):
		return fmt.Errorf("free is %+v of %+v with %+v in use", m.Free(), m.total, used.Plus(unrecorded))
	}
	return nil
}

// checkStaying verifies the counts of assignments that are not stopping.
func (m *Machine) checkStaying() error {
	var staying, replicas, fetches int
	for _, a := range m.assignments {
		if a.stopReason != StopNone {
			continue
		}
		staying++
		if a.Job.Spec.Service {
			replicas++
		}
	}
	for image, counted := range m.fetches {
		fetches += counted
		if n := m.countStayingWith(image); n != counted {
			return fmt.Errorf("%d assignments with image %s stay, counted %d", n, image, counted)
		}
	}
	if staying != m.staying || replicas != m.replicas || staying != fetches {
		return fmt.Errorf("%d assignments and %d replicas stay, counted %d and %d, by image %v", staying, replicas, m.staying, m.replicas, m.fetches)
	}
	return nil
}

// countStayingWith counts the assignments with an image that are not stopping.
func (m *Machine) countStayingWith(image ids.Image) int {
	n := 0
	for _, a := range m.assignments {
		if a.stopReason == StopNone && a.Job.Spec.Image == image {
			n++
		}
	}
	return n
}

// checkQuota verifies that each team's quota in use is the sum of its assignments and of
// what machines run beside them.
func (s *State) checkQuota() error {
	used := map[ids.Team]quota.Amount{}
	for _, m := range s.machineList {
		for _, a := range m.assignments {
			used[a.Job.Spec.Team] = used[a.Job.Spec.Team].Plus(a.Job.Amount())
		}
		for _, j := range m.unrecordedJobs {
			used[j.Spec.Team] = used[j.Spec.Team].Plus(j.Amount())
		}
	}
	for _, team := range s.quotas.Teams() {
		if counted := s.quotas.Used(team); !closeAmounts(used[team], counted) {
			return fmt.Errorf("team %s uses %+v, charged %+v", team, used[team], counted)
		}
	}
	return nil
}

// checkWorkloads verifies the counts by team and priority.
func (s *State) checkWorkloads() error {
	want := map[Workload]WorkloadCount{}
	for _, m := range s.machineList {
		for _, a := range m.assignments {
			w := Workload{a.Job.Spec.Team, a.Job.priority}
			count := want[w]
			if a.stopReason == StopNone {
				count.NotStopping++
			} else {
				count.Stopping++
				count.StoppingQuota = count.StoppingQuota.Plus(a.Job.Amount())
			}
			want[w] = count
		}
	}
	for w, count := range s.workloads {
		if e := want[w]; e.NotStopping != count.NotStopping || e.Stopping != count.Stopping || !closeAmounts(e.StoppingQuota, count.StoppingQuota) {
			return fmt.Errorf("team %s has %+v at priority %d, counted %+v", w.Team, e, w.Priority, count)
		}
		delete(want, w)
	}
	if len(want) > 0 {
		return fmt.Errorf("workloads %v are not counted", want)
	}
	return nil
}

// compareMachines orders machines by ID.
func compareMachines(a, b *Machine) int { return compareToID(a, b.ID) }

// compareToID orders a machine against an ID.
func compareToID(m *Machine, id ids.MachineID) int { return strings.Compare(string(m.ID), string(id)) }

// closeResources tells whether two sums of resources agree.
func closeResources(a, b placement.Resources) bool {
	return math.Abs(a.CPUs-b.CPUs) < sumTolerance && math.Abs(a.GPUs-b.GPUs) < sumTolerance && math.Abs(a.MemoryGB-b.MemoryGB) < sumTolerance
}

// closeAmounts tells whether two sums of quota agree.
func closeAmounts(a, b quota.Amount) bool {
	return math.Abs(a.CPUs-b.CPUs) < sumTolerance && math.Abs(a.GPUs-b.GPUs) < sumTolerance
}
