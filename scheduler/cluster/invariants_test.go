package cluster

import (
	"errors"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/placement"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// newTestState returns a state with one team, a machine "m-1" in zone "a" and a job "job-1" of
// three tasks, the first two of which are assigned to the machine.
func newTestState(t *testing.T) *State {
	t.Helper()
	now := clock.New(0)
	now.Begin(monotonic.Instant(time.Hour))
	enough := quota.Amount{CPUs: 64}
	quotas := quota.NewTracker([]quota.Team{{Name: "red", Nominal: enough, Limit: enough}})
	s := NewState(Settings{SliceTasks: 2, BootFactor: 2}, now, &clock.RoundTrigger{}, quotas)
	s.SetCatalog([]wire.MachineType{{Name: "large", CPUs: 16, MemoryGB: 64, CacheGB: 50, BootS: 10, Zones: []ids.Zone{"a"}}})
	m := s.EnsureMachine("m-1")
	s.SetSite(m, placement.Site{Type: "large", Zone: "a"})
	spec := &wire.JobSpec{Tasks: 3, Team: "red", CPUs: 2, MemoryGB: 4, Image: "image", Priority: wire.Normal}
	j := s.AddJob("job-1", &records.Job{Status: wire.JobQueued, Spec: spec, Tasks: 3}, 1)
	j.RebuildPending()
	s.Assign(j, 0, m)
	s.Assign(j, 1, m)
	s.Admit(j, 2)
	return s
}

// checkState fails the test unless the state is consistent.
func checkState(t *testing.T, s *State) {
	t.Helper()
	if err := s.CheckInvariants(); err != nil {
		t.Fatal(err)
	}
}

// Each case corrupts the state as a policy that writes the fields directly could.
func TestCheckInvariantsDetectsCorruption(t *testing.T) {
	corruptions := map[string]func(s *State, j *Job, m *Machine){
		"a task is assigned twice": func(s *State, j *Job, m *Machine) {
			s.attach(&Assignment{Job: j, Index: 0, Attempt: 2, Machine: m})
		},
		"a task has no assignment":        func(_ *State, j *Job, _ *Machine) { j.tasks[0].assignment = nil },
		"an assigned task is pending":     func(_ *State, j *Job, _ *Machine) { j.pending = append(j.pending, 0) },
		"a done task is not counted":      func(_ *State, j *Job, _ *Machine) { j.tasks[2].state = TaskDone },
		"a job ended with pending tasks":  func(_ *State, j *Job, _ *Machine) { j.status = wire.JobCancelled },
		"a zone count is too high":        func(_ *State, j *Job, _ *Machine) { j.zones["b"]++ },
		"a job lacks an assignment":       func(_ *State, j *Job, _ *Machine) { delete(j.active, 0) },
		"a machine lacks an assignment":   func(_ *State, j *Job, m *Machine) { m.remove(j.active[0]) },
		"used resources are too high":     func(_ *State, _ *Job, m *Machine) { m.used.CPUs++ },
		"unrecorded sum is too high":      func(_ *State, _ *Job, m *Machine) { m.unrecorded.MemoryGB++ },
		"a stop is not counted":           func(_ *State, j *Job, _ *Machine) { j.active[0].stopReason = StopDrained },
		"a replica count is too high":     func(_ *State, _ *Job, m *Machine) { m.replicas++ },
		"a machine is not listed":         func(s *State, _ *Job, _ *Machine) { s.machineList = nil },
		"a machine with tasks is unknown": func(s *State, _ *Job, _ *Machine) { clear(s.machines); s.machineList = nil },
		"quota is charged without a task": func(s *State, _ *Job, _ *Machine) { s.quotas.Charge("red", quota.Amount{CPUs: 1}) },
		"quota is released early":         func(s *State, _ *Job, _ *Machine) { s.quotas.Release("red", quota.Amount{CPUs: 1}) },
		"a new priority is not counted":   func(_ *State, j *Job, _ *Machine) { j.priority = wire.High },
		"a job with tasks is removed":     func(s *State, j *Job, _ *Machine) { s.RemoveJob(j) },
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			checkState(t, s)
			corrupt(s, s.Job("job-1"), s.Machine("m-1"))
			err := s.CheckInvariants()
			if !errors.Is(err, ErrInvariant) {
				t.Fatalf("CheckInvariants = %v, want ErrInvariant", err)
			}
			t.Log(err)
		})
	}
}
