package scheduler

import (
	"fmt"
	"testing"

	"slices"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// A machine that fails tasks of two jobs gets no more of them.
func TestUnhealthyMachineIsQuarantined(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	for n := range 2 {
		id := ids.JobID(fmt.Sprintf("job-%d", n))
		b.job(id, wire.JobSpec{Tasks: 1})
		b.step()
		o := b.report("n-1", "a", 0)
		run := verbs(o.Commands, wire.VerbRun)
		if len(run) != 1 {
			t.Fatalf("job %d: runs %v", n, run)
		}
		b.report("n-1", "a", o.FencingToken, wire.TaskStatus{Name: string(id) + "/0", Attempt: 1, State: wire.TaskEnded, Cause: wire.CauseError})
		b.c.ObserveJob(b.now, id, &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: b.c.cluster.Job(id).Spec}, 900)
		b.step()
		b.report("n-1", "a", o.FencingToken)
	}
	b.job("job-9", wire.JobSpec{Tasks: 1})
	b.step()
	if a := b.c.cluster.Job("job-9").Task(0).Assignment(); a != nil {
		t.Fatalf("placed on %s, which fails everything", a.Machine.ID)
	}
}

// A machine whose lease ran out in silence holds nothing any more, but often
// comes back sooner than another boots: it hung, or lost the network.
func TestSilentMachineIsKeptForAWhile(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	start := b.now
	for ; b.now < start.Add(3*simAgentLease); b.now = b.now.Add(time.Second) {
		if e := b.step(); len(e.Terminate) > 0 {
			if silent := b.now.Sub(start); silent < silentLeases*simAgentLease {
				t.Errorf("returned after %v", silent)
			}
			return
		}
	}
	t.Error("never returned")
}

// A zone that is cut off is known by its silence within seconds, and what its
// services need is rented before their leases run out. When all zones are
// silent at once, or the leader itself was paused, it is not the zone.
func TestPartitionedZoneIsNoticedSoon(t *testing.T) {
	for name, c := range map[string]struct {
		silent []ids.Zone
		stands time.Duration
		rents  bool
	}{
		"a zone is cut off":       {[]ids.Zone{"a"}, 0, true},
		"no zone is heard":        {[]ids.Zone{"a", "b"}, 0, false},
		"the leader stood still":  {nil, 8 * time.Second, false},
		"nothing is out of order": {nil, 0, false},
	} {
		b := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 999}, Limit: quota.Amount{CPUs: 999}}}})
		b.c.Begin(b.now)
		hosts := map[ids.Zone][]ids.MachineID{}
		for n := range 60 {
			zone := []ids.Zone{"a", "b"}[n%2]
			hosts[zone] = append(hosts[zone], ids.MachineID(fmt.Sprintf("n-%02d", n)))
			b.report(hosts[zone][n/2], zone, 0)
		}
		b.job("job-1", wire.JobSpec{Tasks: 60, Service: true, CPUs: 8}) // no room is left
		b.step()
		rented := 0
		start := b.now
		for tick := range 80 {
			b.now = b.now.Add(100 * time.Millisecond)
			if tick == 10 {
				b.now = b.now.Add(c.stands)
			}
			for zone, list := range hosts {
				if !slices.Contains(c.silent, zone) {
					b.report(list[tick%30], zone, 0)
				}
			}
			if tick == 10 && c.stands > 0 {
				// Of what came meanwhile only one zone's has been read yet.
				b.c.health.zoneStates["a"].lastHeard = start
			}
			for _, r := range b.step().Provision {
				rented += r.Count
			}
		}
		if (rented > 0) != c.rents {
			t.Errorf("%s: rented %d", name, rented)
		}
	}
}

// A machine on which tasks take much longer than their siblings elsewhere is
// taken last, and after more of them not at all.
func TestSlowMachinesAreTakenLast(t *testing.T) {
	b := newHarness(t, Options{Teams: []quota.Team{{Name: "red", Nominal: quota.Amount{CPUs: 640}, Limit: quota.Amount{CPUs: 640}}}})
	b.c.Begin(b.now)
	hosts := []ids.MachineID{"n-1", "n-2", "n-3"}
	token := ids.NewFencingToken(5, 0)
	for round := range 8 {
		id := ids.JobID(fmt.Sprintf("job-%d", round))
		for _, h := range hosts {
			b.report(h, "a", token)
		}
		b.job(id, wire.JobSpec{Tasks: 12})
		b.step()
		on := map[ids.MachineID][]wire.TaskStatus{}
		for i, tk := range b.c.cluster.Job(id).Tasks() {
			if tk.Assignment() == nil {
				continue
			}
			on[tk.Assignment().Machine.ID] = append(on[tk.Assignment().Machine.ID], wire.TaskStatus{Name: fmt.Sprintf("%s/%d", id, i), Attempt: tk.Attempt(), State: wire.TaskRunning})
		}
		if m := b.c.cluster.Machine("n-3"); m.Health.SlowStreak >= slowStreakLimit {
			if len(on["n-3"]) > 0 {
				t.Fatalf("round %d: the slow machine was set aside and got %d tasks", round, len(on["n-3"]))
			}
			return
		}
		for _, h := range hosts {
			b.report(h, "a", token)
			b.report(h, "a", token, on[h]...)
		}
		end := func(h ids.MachineID) {
			for i := range on[h] {
				on[h][i].State, on[h][i].Cause = wire.TaskEnded, wire.CauseDone
			}
			b.report(h, "a", token, on[h]...)
		}
		// The leader runs meanwhile: what it sleeps through counts for nobody.
		running := func(d time.Duration) {
			for until := b.now.Add(d); b.now < until; {
				b.now = b.now.Add(500 * time.Millisecond)
				for _, h := range hosts {
					b.report(h, "a", token, on[h]...)
				}
				b.step()
			}
		}
		running(10 * time.Second)
		end("n-1")
		end("n-2")
		running(20 * time.Second)
		end("n-3")
		b.step()
	}
	t.Fatalf("the slow machine was never set aside: pace %v", b.c.cluster.Machine("n-3").Health.Slowness)
}

// A zone was cut off: its machines were returned after their leases and rented
// again in the same zone, where they could not report either, and counted as
// coming.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	on := map[ids.MachineID][]wire.TaskStatus{}
	up := func(zone ids.Zone) {
		for n := range 5 {
			h := ids.MachineID(fmt.Sprintf("n-%s%d", zone, n))
			for _, o := range b.report(h, zone, ids.NewFencingToken(5, 0), on[h]...).Commands {
				on[h] = append(on[h], wire.TaskStatus{Name: o.Name, Attempt: o.Attempt, State: wire.TaskRunning})
			}
		}
	}
	up("a")
	up("b")
	wants := func(at int) {
		b.job(ids.JobID(fmt.Sprintf("job-%d", at)), wire.JobSpec{Tasks: 30, CPUs: 2, EstimateS: 1000})
	}
	rented := map[ids.Zone]int{}
	for s := range 240 {
		b.now = b.now.Add(time.Second)
		if s%3 == 0 {
			up("a")
		}
		if s == 20 || s == 200 {
			wants(s)
		}
		e := b.step()
		if s < 170 && len(e.Terminate) > 0 {
			t.Fatalf("after %d s: returned %v", s, e.Terminate)
		}
		for _, r := range e.Provision {
			if s < 170 {
				rented[r.Zone] += r.Count
			} else {
				rented[r.Zone+" again"] += r.Count
			}
			b.c.ProvisionResult(b.now, r, nil, false)
		}
	}
	if rented["a"] == 0 || rented["b"] != 0 {
		t.Errorf("while zone b was cut off: %v", rented)
	}
	if rented["b again"] == 0 {
		t.Errorf("zone b was never tried again: %v", rented)
	}
}

// The machines of a zone that was cut off for longer than two leases are not returned for
// their silence at the moment at which the first of them is heard again.
func TestMachinesOfAReturningZoneHaveTimeToReport(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	hosts := map[ids.Zone][]ids.MachineID{"a": {"a-1", "a-2", "a-3", "a-4"}, "b": {"b-1", "b-2", "b-3", "b-4", "b-5"}}
	tell := func(zone ids.Zone) {
		for _, host := range hosts[zone] {
			b.report(host, zone, 0)
		}
	}
	tell("b")
	for start := b.now; b.now < start.Add(silentLeases*simAgentLease+10*time.Second); b.now = b.now.Add(500 * time.Millisecond) {
		tell("a")
		if e := b.step(); len(e.Terminate) > 0 {
			t.Fatalf("returned %v in the partition", e.Terminate)
		}
	}
	b.report("b-1", "b", 0)
	for start := b.now; b.now < start.Add(simHeartbeatInterval); b.now = b.now.Add(200 * time.Millisecond) {
		tell("a")
		if e := b.step(); len(e.Terminate) > 0 {
			t.Fatalf("returned %v before they could report", e.Terminate)
		}
	}
	returned := 0
	for start := b.now; b.now < start.Add(4*simHeartbeatInterval); b.now = b.now.Add(200 * time.Millisecond) {
		tell("a")
		b.report("b-1", "b", 0)
		returned += len(b.step().Terminate)
	}
	if returned != 4 {
		t.Errorf("%d machines returned that stayed silent, want 4", returned)
	}
}
