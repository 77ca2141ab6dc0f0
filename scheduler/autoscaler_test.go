package scheduler

import (
	"testing"

	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/wire"
)

// A service on a machine that was cut off was replaced only once the machine's
// lease had run out, and then waited for a boot as well. A successor may never
// have heard of the machine.
func TestRentsAheadForServicesOnSilentMachines(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		b := newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: inherited}})
		if inherited {
			b.inherit(wire.JobSpec{Tasks: 1, Service: true}, records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
			b.c.Begin(b.now)
		} else {
			b.c.Begin(b.now)
			b.report("n-1", "a", 0)
			b.job("job-1", wire.JobSpec{Tasks: 1, Service: true})
			b.step()
		}
		rented := time.Duration(0)
		for start := b.now; b.now < start.Add(simLease) && rented == 0; b.now = b.now.Add(500 * time.Millisecond) {
			if e := b.step(); len(e.Provision) > 0 {
				rented = b.now.Sub(start)
				if e.Provision[0].Count != 1 || e.Provision[0].Spot {
					t.Errorf("rented %+v", e.Provision)
				}
			}
		}
		if rented < silentReports*simReport || rented > simLease/2 {
			t.Errorf("inherited %v: rented after %v", inherited, rented)
		}
	}
}

// Spare room for classes in a hurry was once looked for in the free room that
// had already been counted, and so never rented.
func TestHeadroomIsRentedBesideFreeRoom(t *testing.T) {
	b := newHarness(t, Options{FleetOptions: FleetOptions{Headroom: 3}, AdmissionOptions: AdmissionOptions{LatencySensitive: map[string]time.Duration{"hasty": time.Second}}})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.job("job-1", wire.JobSpec{Class: "hasty", Tasks: 2, CPUs: 2})
	b.step()
	b.now = b.now.Add(2 * time.Second)
	b.report("n-1", "a", 0)
	e := b.step()
	rented := 0
	for _, r := range e.Provision {
		rented += r.Count
	}
	// The peak of 2 asks for 8 more tasks of 2 CPUs; 4 CPUs are free.
	if rented != 2 {
		t.Fatalf("rented %d machines of 8 CPUs: %+v", rented, e.Provision)
	}
}

// Room of tasks that end within a boot is not rented for, but work that has
// waited for a boot has seen others take it: there a backlog stayed for a
// minute while hardly anything was rented.
func TestWorkThatWaitedForABootIsRentedFor(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	o := b.report("n-1", "a", 0)
	b.job("job-1", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	b.step()
	o = b.report("n-1", "a", o.FencingToken)
	var on []wire.TaskStatus
	for _, order := range o.Commands {
		on = append(on, wire.TaskStatus{Name: order.Name, Attempt: order.Attempt, State: wire.TaskRunning})
	}
	b.report("n-1", "a", o.FencingToken, on...)
	b.job("job-2", wire.JobSpec{Tasks: 4, CPUs: 2, EstimateS: 3})
	for s := range 15 { // the type boots in 10 s
		b.now = b.now.Add(time.Second)
		b.report("n-1", "a", o.FencingToken, on...)
		if e := b.step(); len(e.Provision) > 0 {
			if s < 9 {
				t.Fatalf("rented after %d s, although room was about to come", s+1)
			}
			return
		}
	}
	t.Fatal("nothing was rented for work that had waited for a boot")
}
