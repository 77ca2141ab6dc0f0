package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// A service on a partitioned machine was replaced only once the machine's lease had expired,
// and then waited for a boot as well. The next leader may never have heard of the machine.
func TestProvisionsAheadForServicesOnSilentMachines(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		b := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: inherited}})
		if inherited {
			b.inherit(wire.JobSpec{Tasks: 1, Service: true}, records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
			b.c.Begin(b.now)
		} else {
			b.c.Begin(b.now)
			b.heartbeat("n-1", "a", 0)
			b.submit("job-1", wire.JobSpec{Tasks: 1, Service: true})
			b.step()
		}
		provisioned := time.Duration(0)
		for start := b.now; b.now < start.Add(simAgentLease) && provisioned == 0; b.now = b.now.Add(500 * time.Millisecond) {
			if e := b.step(); len(e.Provision) > 0 {
				provisioned = b.now.Sub(start)
				if e.Provision[0].Count != 1 || e.Provision[0].Spot {
					t.Errorf("provisioned %+v", e.Provision)
				}
			}
		}
		if provisioned < silentReports*simHeartbeatInterval || provisioned > simAgentLease/2 {
			t.Errorf("inherited %v: provisioned after %v", inherited, provisioned)
		}
	}
}

// Headroom for latency-sensitive classes was once looked for in free capacity that had already
// been counted, and so never provisioned.
func TestHeadroomIsProvisionedBesideFreeCapacity(t *testing.T) {
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

// No machines are provisioned for work that fits once tasks end within a boot time. But work
// that has waited for a boot time has seen others take that capacity: a backlog stayed for a
// minute while hardly any machine was provisioned.
func TestMachinesAreProvisionedForWorkThatWaitedForABoot(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	o := b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	b.step()
	o = b.heartbeat("n-1", "a", o.FencingToken)
	var on []wire.TaskStatus
	for _, order := range o.Commands {
		on = append(on, wire.TaskStatus{Name: order.Name, Attempt: order.Attempt, State: wire.TaskRunning})
	}
	b.heartbeat("n-1", "a", o.FencingToken, on...)
	b.submit("job-2", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	for s := range 15 { // the type boots in 10 s
		b.now = b.now.Add(time.Second)
		b.heartbeat("n-1", "a", o.FencingToken, on...)
		if e := b.step(); len(e.Provision) > 0 {
			if s < 9 {
				t.Fatalf("provisioned after %d s, although capacity was about to become free", s+1)
			}
			return
		}
	}
	t.Fatal("no machine was provisioned for work that had waited for a boot")
}

// A machine that is late against the recent boot times of its type is not waited for:
// another is provisioned. When all take as long, no other is.
func TestLateMachinesAreReplaced(t *testing.T) {
	for _, c := range []struct {
		name       string
		bootFactor float64 // of the type's recent boots
		after      time.Duration
		replaced   int
	}{
		{"in its usual time", 1, 15 * time.Second, 0},
		{"late", 1, 22 * time.Second, 1},
		{"all are slow", 2.5, 22 * time.Second, 0},
		{"late although all are slow", 2.5, 48 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.c.autoscaler.bootFactors["m"] = c.bootFactor
			b.submit("job-1", wire.JobSpec{Class: "c", Tasks: 2, CPUs: 4, EstimateS: 30})
			if requests := b.provisionFor(c.after); len(requests) != 1+c.replaced {
				t.Errorf("provisioned %v, want %d replacements", requests, c.replaced)
			}
		})
	}
}

// provisionFor steps for a time and grants each request for machines, which never boot.
func (b *harness) provisionFor(d time.Duration) []wire.ProvisionRequest {
	var requests []wire.ProvisionRequest
	for until := b.now.Add(d); b.now < until; {
		b.now = b.now.Add(500 * time.Millisecond)
		for _, r := range b.step().Provision {
			requests = append(requests, r)
			var machines []ids.MachineID
			for i := range r.Count {
				machines = append(machines, ids.MachineID(fmt.Sprintf("%s-%d", r.RequestID, i)))
			}
			b.c.ProvisionResult(b.now, r, machines, true)
		}
	}
	return requests
}
