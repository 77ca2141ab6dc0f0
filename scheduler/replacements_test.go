package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// A replacement for a service on a partitioned machine must be provisioned before the machine's lease
// expires. Otherwise the downtime of the service includes the boot time of the new machine. A new
// leader may not have received any heartbeat of the machine.
func TestProvisionsReplacementBeforeLeaseExpires(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin func(*testing.T) *harness
	}{
		{"placed in this term", beginWithService},
		{"inherited", beginWithInheritedService},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := c.begin(t)
			start := h.now
			requests := h.firstProvisionRequests(simAgentLease)
			if len(requests) == 0 {
				t.Fatal("nothing was provisioned before the lease expired")
			}
			if requests[0].Count != 1 || requests[0].Spot {
				t.Errorf("provisioned %+v, want one on-demand machine", requests)
			}
			after := h.now.Sub(start)
			if after < missedHeartbeatLimit*simHeartbeatInterval || after > simAgentLease/2 {
				t.Errorf("provisioned after %v, want missedHeartbeatLimit heartbeat intervals to half a lease", after)
			}
		})
	}
}

// beginWithService places a service on n-1.
func beginWithService(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, Options{})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	h.submit("job-1", wire.JobSpec{Tasks: 1, Service: true})
	h.step()
	return h
}

// beginWithInheritedService loads records in which a previous leader placed a service on n-1.
func beginWithInheritedService(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true}})
	h.inherit(wire.JobSpec{Tasks: 1, Service: true}, records.AdmissionSlice{Machines: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	h.c.Begin(h.now)
	return h
}

// firstProvisionRequests runs steps until machines are requested or the duration has passed. On
// return, the harness time is that of the step with the requests.
func (h *harness) firstProvisionRequests(within time.Duration) []wire.ProvisionRequest {
	for end := h.now.Add(within); h.now < end; h.now = h.now.Add(500 * time.Millisecond) {
		if requests := h.step().Provision; len(requests) > 0 {
			return requests
		}
	}
	return nil
}
