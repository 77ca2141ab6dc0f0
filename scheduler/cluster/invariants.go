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

// ErrInvariant is the error that all errors of CheckInvariants wrap.
var ErrInvariant = errors.New("cluster state is inconsistent")

// sumTolerance is the largest allowed difference between a stored and a recomputed sum: the rounding
// of a sum of decimals depends on the order of the terms.
const sumTolerance = 1e-6

// CheckInvariants verifies that all links, sums and indexes of the state are consistent. It examines
// the whole state and is meant for tests. The error describes the first violation found and wraps
// ErrInvariant.
func (s *State) CheckInvariants() error {
	for _, j := range s.jobs {
		if err := s.checkJob(j); err != nil {
			return fmt.Errorf("%w: job %s: %w", ErrInvariant, j.ID, err)
		}
	}
	if len(s.machines) != len(s.machineList) || !slices.IsSortedFunc(s.machineList, compareMachines) {
		return fmt.Errorf("%w: machine list is unsorted or its length %d is not the number of known machines %d", ErrInvariant, len(s.machineList), len(s.machines))
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

// checkJob verifies a job's tasks and the data derived from them.
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
			return fmt.Errorf("job is %s but has pending tasks %v", j.status, j.pending)
		}
		return nil
	}
	unmatched := len(j.pending)
	for i := range j.tasks {
		if j.tasks[i].state != TaskPending {
			continue
		}
		if unmatched--; unmatched < 0 || j.pending[unmatched] != i {
			return fmt.Errorf("task %d is pending but not at its position in the pending list %v", i, j.pending)
		}
	}
	if unmatched != 0 {
		return fmt.Errorf("pending list %v has %d entries that are not pending tasks", j.pending, unmatched)
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
			return fmt.Errorf("%d tasks are assigned in zone %s, but the counter is %d", n, zone, counted)
		}
	}
	if done != j.done || assigned != len(j.active) || assigned != inZones {
		return fmt.Errorf("%d tasks are done and %d assigned, but the counters are %d and %d, and by zone %v", done, assigned, j.done, len(j.active), j.zones)
	}
	return nil
}

// countIn returns the number of a job's assignments in a zone, recomputed from the assignments.
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
// the job and a known machine link to the same assignment.
func (s *State) checkTask(j *Job, index int) error {
	t := &j.tasks[index]
	if (t.state == TaskAssigned) != (t.assignment != nil) {
		return fmt.Errorf("task is in state %d, but has an assignment: %v", t.state, t.assignment != nil)
	}
	a := t.assignment
	if a != j.active[index] {
		return errors.New("active assignments of the job contain a different assignment")
	}
	if a == nil {
		return nil
	}
	switch m := a.Machine; {
	case a.Job != j || a.Index != index || a.Attempt != t.attempt:
		return fmt.Errorf("assignment is for attempt %d of task %s/%d", a.Attempt, a.Job.ID, a.Index)
	case s.machines[m.ID] != m:
		return fmt.Errorf("machine %s of the assignment is unknown", m.ID)
	case m.byRef[a.Ref()] != a:
		return fmt.Errorf("machine %s does not have the assignment", m.ID)
	}
	return nil
}

// checkMachine verifies a machine's assignments and the data derived from them.
func (s *State) checkMachine(m *Machine) error {
	if s.machines[m.ID] != m {
		return errors.New("machine is listed but unknown")
	}
	if len(m.byRef) != len(m.assignments) || !slices.IsSortedFunc(m.assignments, compareAssignments) {
		return fmt.Errorf("assignment list is unsorted or its length %d is not the number of assignments %d", len(m.assignments), len(m.byRef))
	}
	for _, a := range m.assignments {
		if m.byRef[a.Ref()] != a || a.Machine != m || s.jobs[a.Job.ID] != a.Job || a.Job.tasks[a.Index].assignment != a {
			return fmt.Errorf("assignment of task %s is not linked with the task, the job and the machine", a.Ref())
		}
	}
	if err := m.checkResources(); err != nil {
		return err
	}
	return m.checkNotStopping()
}

// checkResources verifies the resources in use on a machine, and that the remaining ones are free.
func (m *Machine) checkResources() error {
	var used, unrecorded placement.Resources
	for _, a := range m.assignments {
		used = used.Plus(a.Job.TaskResources())
	}
	for _, j := range m.unrecordedJobs {
		unrecorded = unrecorded.Plus(j.TaskResources())
	}
	switch {
	case !resourcesAgree(used, m.used):
		return fmt.Errorf("assignments use %+v, but the stored sum is %+v", used, m.used)
	case !resourcesAgree(unrecorded, m.unrecorded):
		return fmt.Errorf("unrecorded tasks use %+v, but the stored sum is %+v", unrecorded, m.unrecorded)
	case !resourcesAgree(m.total.Minus(used).Minus(unrecorded), m.FreeAfterReaping()):
		return fmt.Errorf("free resources are %+v, but the capacity is %+v with %+v in use", m.FreeAfterReaping(), m.total, used.Plus(unrecorded))
	case m.FreeAfterReaping().HeartbeatBytes-m.Free().HeartbeatBytes != m.leavingBytes:
		return fmt.Errorf("%d bytes of the heartbeats are free, and %d after reaping, but tasks that leave take %d", m.Free().HeartbeatBytes, m.FreeAfterReaping().HeartbeatBytes, m.leavingBytes)
	}
	return nil
}

// checkNotStopping verifies the counts of assignments that are not stopping.
func (m *Machine) checkNotStopping() error {
	var notStopping, replicas, withImages int
	for _, a := range m.assignments {
		if a.stopReason != StopNone {
			continue
		}
		notStopping++
		if a.Job.Spec.Service {
			replicas++
		}
	}
	for image, counted := range m.notStoppingByImage {
		withImages += counted
		if n := m.countNotStoppingWithImage(image); n != counted {
			return fmt.Errorf("%d assignments with image %s are not stopping, but the counter is %d", n, image, counted)
		}
	}
	if notStopping != m.notStopping || replicas != m.replicas || notStopping != withImages {
		return fmt.Errorf("%d assignments and %d replicas are not stopping, but the counters are %d and %d, and by image %v", notStopping, replicas, m.notStopping, m.replicas, m.notStoppingByImage)
	}
	return nil
}

// countNotStoppingWithImage returns the number of assignments with an image that are not stopping,
// recomputed from the assignments.
func (m *Machine) countNotStoppingWithImage(image ids.Image) int {
	n := 0
	for _, a := range m.assignments {
		if a.stopReason == StopNone && a.Job.Spec.Image == image {
			n++
		}
	}
	return n
}

// checkQuota verifies that each team's quota in use is the sum of its assignments and of its
// unrecorded tasks.
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
		if counted := s.quotas.Used(team); !amountsAgree(used[team], counted) {
			return fmt.Errorf("team %s uses %+v, but is charged for %+v", team, used[team], counted)
		}
	}
	return nil
}

// checkWorkloads verifies the counts of assignments by team and priority.
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
		if e := want[w]; e.NotStopping != count.NotStopping || e.Stopping != count.Stopping || !amountsAgree(e.StoppingQuota, count.StoppingQuota) {
			return fmt.Errorf("team %s has %+v at priority %d, but the counters are %+v", w.Team, e, w.Priority, count)
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

// resourcesAgree reports whether two sums of resources are equal within sumTolerance.
func resourcesAgree(a, b placement.Resources) bool {
	return math.Abs(a.CPUs-b.CPUs) < sumTolerance && math.Abs(a.GPUs-b.GPUs) < sumTolerance && math.Abs(a.MemoryGB-b.MemoryGB) < sumTolerance &&
		a.HeartbeatBytes == b.HeartbeatBytes
}

// amountsAgree reports whether two sums of quota are equal within sumTolerance.
func amountsAgree(a, b quota.Amount) bool {
	return math.Abs(a.CPUs-b.CPUs) < sumTolerance && math.Abs(a.GPUs-b.GPUs) < sumTolerance
}
