package scheduler

import (
	"testing"

	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// A new leader placed a replacement replica into a zone that already held half of the service:
// it had no heartbeat from the machines yet and counted their tasks in no zone.
func TestNextLeaderKeepsSpreadBeforeTheFirstHeartbeats(t *testing.T) {
	for _, zones := range [][]ids.Zone{{"a", "a"}, nil} {
		b := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
		b.inherit(wire.JobSpec{Service: true, Spread: true, Tasks: 3},
			records.AdmissionSlice{Hosts: []ids.MachineID{"n-1", "n-2"}, Zones: zones, Tasks: []int{0, 1, 0, 1, 1, 1, 2, 1, -1}})
		b.c.Begin(b.now)
		b.heartbeat("n-3", "a", ids.NewFencingToken(5, 0))
		b.step()
		if a := b.c.cluster.Job("job-1").Task(2).Assignment(); a != nil {
			t.Errorf("zones %v: the third replica went to %s in zone %s", zones, a.Machine.ID, a.Machine.Zone())
		}
		b.heartbeat("n-4", "b", ids.NewFencingToken(5, 0))
		b.step()
		if a := b.c.cluster.Job("job-1").Task(2).Assignment(); zones != nil && (a == nil || a.Machine.Zone() != "b") {
			t.Errorf("zones %v: the third replica did not go to zone b", zones)
		}
	}
}

// A previous leader without the store may go on answering workers. Until its grace and a lease
// are over, its tasks may run.
func TestTasksCountDuringThePreviousLeadersGrace(t *testing.T) {
	b := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
	b.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	b.c.Begin(b.now)
	for _, step := range []struct {
		after time.Duration
		held  bool
	}{{simAgentLease + 5*time.Second, true}, {time.Minute + simAgentLease - time.Second, true}, {time.Minute + simAgentLease + 5*time.Second, false}} {
		b.now = monotonic.Instant(time.Hour).Add(step.after)
		b.step()
		if held := b.c.quotas.Used("red").CPUs > 0; held != step.held {
			t.Errorf("after %v: still counted %v, want %v", step.after, held, step.held)
		}
	}
}

// Once all other controllers follow this leader none of them answers workers, and tasks of a
// dead machine are released without the grace, but after a lease: a heartbeat sent just before
// may have been answered.
func TestNoGraceOnceAllControllersFollow(t *testing.T) {
	b := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: 10 * time.Minute}})
	b.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	b.c.Begin(b.now)
	followed := 5 * time.Second
	b.c.AllControllersFollow(b.now.Add(followed))
	for _, step := range []struct {
		after time.Duration
		held  bool
	}{{followed + simAgentLease, true}, {followed + simAgentLease + 2*time.Second, false}} {
		b.now = monotonic.Instant(time.Hour).Add(step.after)
		b.step()
		if held := b.c.quotas.Used("red").CPUs > 0; held != step.held {
			t.Errorf("after %v: still counted %v, want %v", step.after, held, step.held)
		}
	}
}

// A late record of a submission must not bring back a job that is over.
func TestOlderRecordDoesNotReviveAJob(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	spec := wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1}
	b.c.ObserveJob(b.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: &spec}, 9)
	b.c.ObserveJob(b.now, "job-1", &records.Job{Status: wire.JobQueued, Tasks: 1, Spec: &spec}, 8)
	b.heartbeat("n-1", "a", 0)
	b.step()
	if b.c.cluster.Job("job-1") != nil {
		t.Fatal("the job came back")
	}
}

// A machine died around a failover. The new leader had no heartbeat from it, never saw it
// listed, and counted its tasks for two minutes.
func TestMachineThatDiedAtTheFailoverIsDetected(t *testing.T) {
	b := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: 90 * time.Second}, FleetOptions: FleetOptions{ListLag: 3 * time.Second}})
	b.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	b.c.Begin(b.now)
	for s := range 20 {
		b.now = b.now.Add(time.Second)
		b.c.MachineList(b.now, b.now, nil)
		if e := b.step(); slices.Contains(e.Terminate, "n-1") {
			if s < 7 {
				t.Fatalf("terminated after %d s, within the lag of the list", s+1)
			}
			b.c.MachinesTerminated(b.now, e.Terminate)
			if b.c.quotas.Used("red").CPUs != 0 {
				t.Fatal("the task still counts")
			}
			return
		}
	}
	t.Fatal("the machine was never terminated")
}
