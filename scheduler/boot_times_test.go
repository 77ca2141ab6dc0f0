package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/wire"
)

// If a machine takes much longer to boot than recent machines of its type, another machine must be
// provisioned, since the first may never come up. If all machines of the type currently take as long,
// no other machine must be provisioned, since it would come up no sooner.
func TestLateMachinesAreReplaced(t *testing.T) {
	for _, c := range []struct {
		name       string
		bootFactor float64 // ratio of the type's recent boot times to the catalog's
		after      time.Duration
		replaced   int
	}{
		{"within the usual boot time", 1, 15 * time.Second, 0},
		{"late", 1, 22 * time.Second, 1},
		{"all are slow", 2.5, 22 * time.Second, 0},
		{"late although all are slow", 2.5, 48 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.c.autoscaler.boots.factors["m"] = c.bootFactor
			h.submit("job-1", wire.JobSpec{Class: "c", Tasks: 2, CPUs: 4, EstimateS: 30})
			if requests := h.provisionFor(c.after); len(requests) != 1+c.replaced {
				t.Errorf("provisioning requests are %v, want %d replacements", requests, c.replaced)
			}
		})
	}
}

// provisionFor steps for a duration and grants each provisioning request. The machines never boot. It
// returns the requests.
func (h *harness) provisionFor(d time.Duration) []wire.ProvisionRequest {
	var requests []wire.ProvisionRequest
	for until := h.now.Add(d); h.now < until; {
		h.now = h.now.Add(500 * time.Millisecond)
		for _, r := range h.step().Provision {
			requests = append(requests, r)
			var machines []ids.MachineID
			for i := range r.Count {
				machines = append(machines, ids.MachineID(fmt.Sprintf("%s-%d", r.RequestID, i)))
			}
			h.c.ProvisioningGranted(h.now, r, machines)
		}
	}
	return requests
}
