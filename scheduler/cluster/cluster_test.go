package cluster

import (
	"testing"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// Each method that changes the state keeps it consistent.
func TestChangesKeepInvariants(t *testing.T) {
	changes := map[string]func(s *State, j *Job, m *Machine){
		"release":  func(s *State, j *Job, _ *Machine) { s.Release(j.Active()[1]) },
		"complete": func(s *State, j *Job, _ *Machine) { s.Complete(j.Active()[0]) },
		"stop":     func(s *State, j *Job, _ *Machine) { s.Stop(j.Active()[0], StopPreempted) },
		"stop twice": func(s *State, j *Job, _ *Machine) {
			s.Stop(j.Active()[0], StopDrained)
			s.Stop(j.Active()[0], StopCancelled)
		},
		"stop and release": func(s *State, j *Job, _ *Machine) { s.Stop(j.Active()[0], StopPreempted); s.Release(j.Active()[0]) },
		"assign":           func(s *State, j *Job, m *Machine) { s.Assign(j, 2, m); s.Admit(j, 1) },
		"undo assign":      func(s *State, j *Job, m *Machine) { s.UndoAssign(s.Assign(j, 2, m)) },
		"end job":          func(s *State, j *Job, _ *Machine) { s.EndJob(j, wire.JobCancelled); s.Release(j.Active()[0]) },
		"change priority":  func(s *State, j *Job, _ *Machine) { s.Stop(j.Active()[0], StopDrained); s.SetPriority(j, wire.High) },
		"change zone":      func(s *State, _ *Job, m *Machine) { s.SetSite(m, placement.Site{Type: "large", Zone: "b"}) },
		"unrecorded tasks": func(s *State, _ *Job, m *Machine) {
			m.Agent.ReportedTasks = []ReportedTask{{Ref: ids.TaskRef{Job: "job-1", Index: 2}, Attempt: 1, State: wire.TaskRunning}}
			s.CountUnrecorded(m)
			s.CountUnrecorded(m)
		},
		"remove machine": func(s *State, _ *Job, m *Machine) {
			for _, a := range m.AssignmentsSnapshot() {
				s.Release(a)
			}
			s.RemoveMachine(m)
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			change(s, s.Job("job-1"), s.Machine("m-1"))
			checkState(t, s)
		})
	}
}

func TestReleaseMakesTaskPendingAgain(t *testing.T) {
	s := newTestState(t)
	j, m := s.Job("job-1"), s.Machine("m-1")
	s.Release(j.Active()[0])
	if got := j.Pending(); len(got) != 2 || got[0] != 2 || got[1] != 0 {
		t.Errorf("Pending = %v, want [2 0]", got)
	}
	if free := m.Free().CPUs; free != 14 {
		t.Errorf("free CPUs = %v, want 14", free)
	}
	if used := s.quotas.Used("red"); used != (quota.Amount{CPUs: 2}) {
		t.Errorf("quota in use = %+v, want 2 CPUs", used)
	}
}

func TestRemoveMachineWithAssignmentsPanics(t *testing.T) {
	s := newTestState(t)
	defer func() {
		if recover() == nil {
			t.Error("RemoveMachine did not panic for a machine with assignments")
		}
	}()
	s.RemoveMachine(s.Machine("m-1"))
}

func TestWasRemoved(t *testing.T) {
	s := newTestState(t)
	m := s.EnsureMachine("m-0")
	s.RemoveMachine(m)
	if s.Machine("m-0") != nil || !s.WasRemoved("m-0") || s.WasRemoved("m-1") {
		t.Error("m-0 is not removed, or WasRemoved is not true for m-0 alone")
	}
}

// A task that has ended takes space in the heartbeats until it is reaped. A round must be due once the space
// is free again: tasks may wait for nothing else, and no other event starts a round.
func TestReapedTasksMakeRoundDue(t *testing.T) {
	s := newTestState(t)
	m := s.Machine("m-1")
	empty := m.Free().HeartbeatBytes
	now := s.clock.Now()
	for index := range 600 {
		m.Agent.ReportedTasks = append(m.Agent.ReportedTasks, ReportedTask{Ref: ids.TaskRef{Job: "job-2", Index: index}, Attempt: 1, State: wire.TaskEnded})
	}
	s.CountUnrecorded(m)
	if used, want := empty-m.Free().HeartbeatBytes, 600*wire.MaxTaskStatusBytes("job-2"); used != want {
		t.Errorf("ended tasks take %d bytes of the heartbeats, want %d", used, want)
	}
	if after := m.FreeAfterReaping().HeartbeatBytes; after != empty {
		t.Errorf("%d bytes are free after reaping, want %d", after, empty)
	}
	s.rounds.Start(now)
	m.Agent.ReportedTasks = m.Agent.ReportedTasks[:100]
	s.CountUnrecorded(m)
	if !s.rounds.Start(now) {
		t.Error("no round is due after tasks were reaped")
	}
	m.Agent.ReportedTasks = nil
	s.CountUnrecorded(m)
	if s.rounds.Start(now) {
		t.Error("a round is due although there was enough space before")
	}
}
