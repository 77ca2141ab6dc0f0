package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// Jobs that were submitted with a mistake fail on every machine until their users
// cancel them. Two of them used to condemn each machine that both had tried, for two
// minutes, and an array of one tried all of its tasks in each round.
func TestPermanentlyFailingJobsQuarantineNoMachine(t *testing.T) {
	b := newHarness(t, Options{})
	const machines = 6
	hosts := make([]ids.MachineID, machines)
	running := map[ids.MachineID][]wire.TaskStatus{}
	for i := range hosts {
		hosts[i] = ids.MachineID(fmt.Sprintf("n-%d", i))
		b.report(hosts[i], "a", 0)
	}
	for i := range 3 {
		b.job(ids.JobID(fmt.Sprintf("job-bad%d", i)), wire.JobSpec{Class: "c", Tasks: 5, CPUs: 1, EstimateS: 10})
	}
	tried, most, condemned := 0, 0, 0
	began := b.now
	for b.now < began.Add(3*time.Minute) {
		b.now = b.now.Add(500 * time.Millisecond)
		b.step()
		if b.now > began.Add(40*time.Second) {
			active := 0
			for _, j := range b.c.cluster.Jobs() {
				active += len(j.Active())
			}
			most = max(most, active)
			for _, m := range b.c.cluster.Machines() {
				if b.now < m.Health.QuarantinedUntil {
					condemned++
				}
			}
		}
		for _, h := range hosts {
			orders := b.report(h, "a", ids.NewFencingToken(5, b.c.cluster.Machine(h).Commands.TokenCounter), running[h]...)
			running[h] = nil
			for _, o := range orders.Commands {
				if o.Verb == wire.VerbRun {
					tried++
					running[h] = append(running[h], wire.TaskStatus{Name: o.Name, Attempt: o.Attempt, State: wire.TaskEnded, Cause: wire.CauseError})
				}
			}
		}
	}
	if condemned > 0 {
		t.Errorf("healthy machines were set aside in %d looks", condemned)
	}
	if most > 4 || tried < 30 || tried > 100 {
		t.Errorf("%d tasks tried, up to %d at once", tried, most)
	}
	// The mistake is mended elsewhere, or the fault was another after all: a first
	// success frees the rest.
	done := false
	for range 150 {
		b.now = b.now.Add(500 * time.Millisecond)
		b.step()
		for _, h := range hosts {
			orders := b.report(h, "a", ids.NewFencingToken(5, b.c.cluster.Machine(h).Commands.TokenCounter), running[h]...)
			running[h] = nil
			for _, o := range orders.Commands {
				if o.Verb == wire.VerbRun {
					done = true
					running[h] = append(running[h], wire.TaskStatus{Name: o.Name, Attempt: o.Attempt, State: wire.TaskEnded, Cause: wire.CauseDone})
				}
			}
		}
	}
	if !done || len(b.c.cluster.Jobs()) > 0 {
		t.Errorf("%d jobs go on after a success", len(b.c.cluster.Jobs()))
	}
}

// Errors of different jobs still condemn a machine that is at fault, also where a
// permanently failing job has failed.
func TestUnhealthyMachineBesideAPermanentlyFailingJob(t *testing.T) {
	b := newHarness(t, Options{})
	b.report("n-0", "a", 0)
	m := b.c.cluster.Machine("n-0")
	fail := func(id ids.JobID, j *cluster.Job) {
		a := &cluster.Assignment{Job: j, Machine: m, Attempt: 1}
		b.c.recordFailure(a)
	}
	b.job("job-bad", wire.JobSpec{Class: "c", Tasks: 1})
	b.job("job-1", wire.JobSpec{Class: "c", Tasks: 4})
	b.job("job-2", wire.JobSpec{Class: "c", Tasks: 4})
	b.c.cluster.Job("job-bad").Failures.Rounds = 1
	fail("job-bad", b.c.cluster.Job("job-bad"))
	fail("job-1", b.c.cluster.Job("job-1"))
	if b.c.clock.Now() < m.Health.QuarantinedUntil {
		t.Error("condemned for one job's failure")
	}
	fail("job-2", b.c.cluster.Job("job-2"))
	if b.c.clock.Now() >= m.Health.QuarantinedUntil {
		t.Error("not condemned for two")
	}
	b.c.clearFailureHistory(b.c.cluster.Job("job-2"))
	if b.c.clock.Now() < m.Health.QuarantinedUntil {
		t.Error("still condemned although one of them fails everywhere")
	}
}

// A machine that is late against what its type takes now is not waited for: another is
// rented. When all take as long, no other is.
func TestLateMachinesAreReplaced(t *testing.T) {
	for _, c := range []struct {
		name   string
		boots  float64 // as the type took lately
		at     time.Duration
		rented int
	}{
		{"in its usual time", 1, 15 * time.Second, 0},
		{"late", 1, 22 * time.Second, 1},
		{"all are slow", 2.5, 22 * time.Second, 0},
		{"late even so", 2.5, 48 * time.Second, 1},
	} {
		b := newHarness(t, Options{})
		b.c.autoscaler.bootFactors["m"] = c.boots
		b.job("job-1", wire.JobSpec{Class: "c", Tasks: 2, CPUs: 4, EstimateS: 30})
		var asked []wire.ProvisionRequest
		began := b.now
		for b.now < began.Add(c.at) {
			b.now = b.now.Add(500 * time.Millisecond)
			for _, r := range b.step().Provision {
				asked = append(asked, r)
				var hosts []ids.MachineID
				for i := range r.Count {
					hosts = append(hosts, ids.MachineID(fmt.Sprintf("%s-%d", r.RequestID, i)))
				}
				b.c.ProvisionResult(b.now, r, hosts, true)
			}
		}
		if len(asked) != 1+c.rented {
			t.Errorf("%s: asked for %v", c.name, asked)
		}
	}
	// One that never comes is returned in the end, and pays no more.
	b := newHarness(t, Options{})
	b.c.ProvisionResult(b.now, wire.ProvisionRequest{Type: "m", Zone: "a", Count: 1}, []ids.MachineID{"n-9"}, true)
	gone := false
	for range 120 {
		b.now = b.now.Add(500 * time.Millisecond)
		e := b.step()
		gone = gone || len(e.Terminate) > 0
	}
	if !gone {
		t.Error("never returned")
	}
}

// What began or ended while the leader itself was paused is heard of only after it:
// tasks did not run for that long, machines are not deaf, and none took too long to
// boot.
func TestProcessPauseCountsAgainstNobody(t *testing.T) {
	b := newHarness(t, Options{})
	b.report("n-0", "a", 0)
	b.job("job-1", wire.JobSpec{Class: "c", Tasks: 1, EstimateS: 5})
	b.step()
	run := func() wire.TaskStatus {
		for _, o := range b.report("n-0", "a", 0).Commands {
			if o.Verb == wire.VerbRun {
				return wire.TaskStatus{Name: o.Name, Attempt: o.Attempt, State: wire.TaskRunning}
			}
		}
		t.Fatal("nothing started")
		return wire.TaskStatus{}
	}
	task := run()
	b.c.ProvisionResult(b.now, wire.ProvisionRequest{Type: "m", Zone: "a", Count: 1}, []ids.MachineID{"n-1"}, true)
	b.c.cluster.Machine("n-1").Lifecycle.BootDeadline = b.now.Add(10 * time.Second)

	b.now = b.now.Add(20 * time.Second) // it is paused
	b.report("n-0", "a", 0)             // on its way since before the command came
	if b.c.cluster.Machine("n-0").Health.Unreachable {
		t.Error("a machine counts as deaf for what the leader slept through")
	}
	if e := b.step(); len(e.Terminate) > 0 {
		t.Errorf("returned %v before they could report", e.Terminate)
	}
	b.report("n-0", "a", 0, task)
	a := b.c.cluster.Job("job-1").Active()[0]
	b.now = b.now.Add(500 * time.Millisecond)
	b.step()
	b.now = b.now.Add(20 * time.Second) // and again
	b.step()
	if ran := runTime(b.c.clock, a); ran > time.Second {
		t.Errorf("ran for %v", ran)
	}
	b.now = b.now.Add(900 * time.Millisecond)
	b.step()
	if ran := runTime(b.c.clock, a); ran < time.Second || ran > 2*time.Second {
		t.Errorf("ran for %v", ran)
	}
}

// Best-effort work of a team without a guarantee found each gap taken by others' work of higher priority, and
// began after seven and ten minutes. Its first task must begin within four, and run on for
// a while; beyond that it takes nothing from the others.
func TestBestEffortWorkStarts(t *testing.T) {
	play := func(keep time.Duration) (began, ran time.Duration, most int) {
		limit := quota.Amount{CPUs: 48}
		b := newHarness(t, Options{
			Teams: []quota.Team{
				{Name: "red", Nominal: quota.Amount{CPUs: 40}, Limit: limit, LendingLimit: quota.Amount{CPUs: 40}},
				{Name: "guest", Limit: quota.Unlimited}},
			AdmissionOptions: AdmissionOptions{
				ReserveAfter: keep,
				ReserveFor:   90 * time.Second,
			},
		})
		b.c.Begin(b.now)
		start := b.now
		on := map[ids.MachineID][]wire.TaskStatus{}
		until := map[string]monotonic.Instant{}
		var first monotonic.Instant
		for s := range 420 {
			b.now = b.now.Add(time.Second)
			if s%2 == 0 {
				b.job(ids.JobID(fmt.Sprintf("job-s%d", s)), wire.JobSpec{Class: "c", Tasks: 4, CPUs: 2, Priority: wire.Normal})
			}
			if s == 20 {
				b.job("job-guest", wire.JobSpec{Class: "g", Team: "guest", Tasks: 9, CPUs: 8})
			}
			b.step()
			guests := 0
			for h := range 6 {
				host := ids.MachineID(fmt.Sprintf("n-%d", h))
				for i, tk := range on[host] {
					if strings.HasPrefix(tk.Name, "job-guest") {
						guests++
					} else if b.now > until[tk.Name] {
						on[host][i].State, on[host][i].Cause = wire.TaskEnded, wire.CauseDone
					}
				}
				o := b.report(host, "a", ids.NewFencingToken(5, 900), on[host]...)
				for _, order := range o.Commands {
					name := order.Name
					switch order.Verb {
					case wire.VerbRun:
						on[host] = append(on[host], wire.TaskStatus{Name: name, Attempt: order.Attempt, State: wire.TaskRunning})
						until[name] = b.now.Add(time.Duration(5+(s*7+len(on[host])*3)%11) * time.Second)
						if first == 0 && strings.HasPrefix(name, "job-guest") {
							first, began = b.now, b.now.Sub(start)-20*time.Second
						}
					case wire.VerbKill:
						if strings.HasPrefix(name, "job-guest") && ran == 0 {
							ran = b.now.Sub(first)
						}
						for i := range on[host] {
							if on[host][i].Name == name {
								on[host][i].State, on[host][i].Cause = wire.TaskEnded, wire.CauseStopped
							}
						}
					case wire.VerbReap:
						on[host] = slices.DeleteFunc(on[host], func(tk wire.TaskStatus) bool { return tk.Name == name && tk.Attempt == order.Attempt })
					}
				}
			}
			most = max(most, guests)
		}
		return began, ran, most
	}
	if began, _, _ := play(0); began != 0 {
		t.Fatalf("it began after %v without the rule: the day tests nothing", began)
	}
	began, ran, most := play(time.Minute)
	if began == 0 || began > 4*time.Minute || ran != 0 && ran < 30*time.Second || most > 1 {
		t.Errorf("it began after %v, was stopped after %v, and had %d tasks at once", began, ran, most)
	}
}
