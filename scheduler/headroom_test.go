package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// Headroom for latency-sensitive classes must be provisioned if the free capacity does not suffice
// for it. If the planner counts the free capacity both for the headroom and as capacity that
// fulfills the remaining demand, no machine is provisioned.
func TestHeadroomIsProvisionedInAdditionToFreeCapacity(t *testing.T) {
	h := newHarness(t, Options{FleetOptions: FleetOptions{Headroom: 3}, AdmissionOptions: AdmissionOptions{LatencySensitive: map[string]time.Duration{"hasty": time.Second}}})
	h.c.Begin(h.now)
	h.heartbeat("n-1", "a", 0)
	h.submit("job-1", wire.JobSpec{Class: "hasty", Tasks: 2, CPUs: 2})
	h.step()
	h.now = h.now.Add(2 * time.Second)
	h.heartbeat("n-1", "a", 0)
	decisions := h.step()
	provisioned := 0
	for _, r := range decisions.Provision {
		provisioned += r.Count
	}
	// The peak of 2 tasks requires headroom for 8 more tasks of 2 CPUs, and 4 CPUs are free.
	if provisioned != 2 {
		t.Fatalf("provisioned %d machines of 8 CPUs, want 2: %+v", provisioned, decisions.Provision)
	}
}
