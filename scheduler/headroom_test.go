package scheduler

import (
	"testing"
	"time"

	"ospreystile.example/ospreystile/wire"
)

// Headroom for latency-sensitive classes was once looked for in free capacity that had already
// been counted, and so never provisioned.
func TestHeadroomIsProvisionedInAdditionToFreeCapacity(t *testing.T) {
	b := newHarness(t, Options{FleetOptions: FleetOptions{Headroom: 3}, AdmissionOptions: AdmissionOptions{LatencySensitive: map[string]time.Duration{"hasty": time.Second}}})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Class: "hasty", Tasks: 2, CPUs: 2})
	b.step()
	b.now = b.now.Add(2 * time.Second)
	b.heartbeat("n-1", "a", 0)
	e := b.step()
	provisioned := 0
	for _, r := range e.Provision {
		provisioned += r.Count
	}
	// The peak of 2 asks for 8 more tasks of 2 CPUs; 4 CPUs are free.
	if provisioned != 2 {
		t.Fatalf("provisioned %d machines of 8 CPUs: %+v", provisioned, e.Provision)
	}
}
