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

// A new leader may have no heartbeat yet from the machines that run a service. It must take the zones of
// their replicas from the records, and must place no replica while it does not know these zones.
// Otherwise it counts the replicas in no zone, and places a replacement in a zone that already holds half
// of the service.
func TestNextLeaderKeepsSpreadBeforeTheFirstHeartbeats(t *testing.T) {
	for _, zones := range [][]ids.Zone{{"a", "a"}, nil} {
		h := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
		h.inherit(wire.JobSpec{Service: true, Spread: true, Tasks: 3},
			records.AdmissionSlice{Machines: []ids.MachineID{"n-1", "n-2"}, Zones: zones, Tasks: []int{0, 1, 0, 1, 1, 1, 2, 1, -1}})
		h.c.Begin(h.now)
		h.heartbeat("n-3", "a", ids.NewFencingToken(5, 0))
		h.step()
		if a := h.c.cluster.Job("job-1").Task(2).Assignment(); a != nil {
			t.Errorf("zones %v: the third replica was placed on %s in zone %s", zones, a.Machine.ID, a.Machine.Zone())
		}
		h.heartbeat("n-4", "b", ids.NewFencingToken(5, 0))
		h.step()
		if a := h.c.cluster.Job("job-1").Task(2).Assignment(); zones != nil && (a == nil || a.Machine.Zone() != "b") {
			t.Errorf("zones %v: the third replica was not placed in zone b", zones)
		}
	}
}

// A previous leader that is partitioned from the key-value store may continue to answer agents. Its
// tasks may run until its grace period and a lease have elapsed, and must use quota until then.
func TestTasksUseQuotaDuringThePreviousLeadersGrace(t *testing.T) {
	h := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
	h.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Machines: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	h.c.Begin(h.now)
	for _, step := range []struct {
		after time.Duration
		used  bool
	}{{simAgentLease + 5*time.Second, true}, {time.Minute + simAgentLease - time.Second, true}, {time.Minute + simAgentLease + 5*time.Second, false}} {
		h.now = monotonic.Instant(time.Hour).Add(step.after)
		h.step()
		if used := h.c.quotas.Used("red").CPUs > 0; used != step.used {
			t.Errorf("after %v: quota used %v, want %v", step.after, used, step.used)
		}
	}
}

// Once all other controllers follow this leader, none of them answers agents. The tasks of a failed
// machine must then be released without waiting for the grace period, but only after a lease, since a
// heartbeat sent just before may have been answered.
func TestNoGraceOnceAllControllersFollow(t *testing.T) {
	h := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: 10 * time.Minute}})
	h.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Machines: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	h.c.Begin(h.now)
	followed := 5 * time.Second
	h.c.AllControllersFollow(h.now.Add(followed))
	for _, step := range []struct {
		after time.Duration
		used  bool
	}{{followed + simAgentLease, true}, {followed + simAgentLease + 2*time.Second, false}} {
		h.now = monotonic.Instant(time.Hour).Add(step.after)
		h.step()
		if used := h.c.quotas.Used("red").CPUs > 0; used != step.used {
			t.Errorf("after %v: quota used %v, want %v", step.after, used, step.used)
		}
	}
}

// A delayed record of a submission must not recreate a job that is terminal. Records of a job can be
// observed out of order.
func TestOlderRecordDoesNotRecreateAJob(t *testing.T) {
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	spec := wire.JobSpec{Team: "red", Tasks: 1, CPUs: 1}
	h.c.ObserveJob(h.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: &spec}, 9)
	h.c.ObserveJob(h.now, "job-1", &records.Job{Status: wire.JobQueued, Tasks: 1, Spec: &spec}, 8)
	h.heartbeat("n-1", "a", 0)
	h.step()
	if h.c.cluster.Job("job-1") != nil {
		t.Fatal("the older record recreated the job")
	}
}

// A machine can fail at the same time as the leader. The new leader then gets no heartbeat from the
// machine and never sees it listed. It must terminate the machine once the list must contain it.
// Otherwise the machine's tasks use quota for about two minutes, the grace period and a lease.
func TestMachineThatFailedDuringFailoverIsTerminated(t *testing.T) {
	h := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: 90 * time.Second}, FleetOptions: FleetOptions{ListLag: 3 * time.Second}})
	h.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Machines: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	h.c.Begin(h.now)
	for s := range 20 {
		h.now = h.now.Add(time.Second)
		h.c.MachineList(h.now, h.now, nil)
		if e := h.step(); slices.Contains(e.Terminate, "n-1") {
			if s < 7 {
				t.Fatalf("terminated after %d s, within the lag of the list", s+1)
			}
			h.c.MachinesTerminated(h.now, e.Terminate)
			if h.c.quotas.Used("red").CPUs != 0 {
				t.Fatal("the task still uses quota")
			}
			return
		}
	}
	t.Fatal("the failed machine was not terminated")
}
