package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// said is a report as a worker would make it, for messages out of order.
func newReport(host ids.MachineID, tenure ids.AgentIncarnation, tick ids.Sequence, token ids.FencingToken, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: host, Endpoint: string(host), Type: "m", Zone: "a", Incarnation: tenure, Sequence: tick, FencingToken: token, Tasks: tasks}
}

// A machine whose reports arrive, but which hears nothing, takes work for ever
// and does none. It gets no more, is returned, and its work moves only then.
func TestUnreachableMachineIsReturned(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.job("job-1", wire.JobSpec{Tasks: 1})
	b.step()
	b.step()
	returned := false
	for s := range 40 {
		b.now = b.now.Add(time.Second)
		e := b.step()
		for _, h := range e.SendCommands {
			if _, _, ok := b.c.TakeCommands(b.now, h); ok {
				b.c.CommandsResult(b.now, h, nil)
			}
		}
		if s%3 == 0 {
			b.report("n-1", "a", 0)
		}
		if s == 16 {
			b.job("job-2", wire.JobSpec{Tasks: 1})
		}
		if j := b.c.cluster.Job("job-2"); j != nil && j.Task(0).Assignment() != nil {
			t.Fatalf("after %d s: new work went to it", s)
		}
		if a := b.c.cluster.Job("job-1").Task(0).Assignment(); a == nil {
			t.Fatalf("after %d s: its task counts as gone before it was returned", s)
		}
		if slices.Contains(e.Terminate, "n-1") {
			returned = true
			break
		}
	}
	if !returned {
		t.Fatal("never returned")
	}
	b.report("n-2", "a", 0)
	b.c.MachinesTerminated(b.now, []ids.MachineID{"n-1"})
	b.step()
	if a := b.c.cluster.Job("job-1").Task(0).Assignment(); a == nil || a.Machine.ID != "n-2" {
		t.Fatal("its task did not move")
	}
}

// A lease that runs out although every report was answered shows the same. A
// machine that then shows the new token has only missed something.
func TestLeaseLostWhileAnswered(t *testing.T) {
	for _, hears := range []bool{false, true} {
		b := newHarness(t, Options{})
		b.c.Begin(b.now)
		o := b.report("n-1", "a", 0)
		b.report("n-1", "a", o.FencingToken)
		b.now = b.now.Add(simReport)
		b.tick++
		b.c.Heartbeat(b.now, newReport("n-1", 2, b.tick, o.FencingToken))
		b.job("job-1", wire.JobSpec{Tasks: 1})
		b.step()
		if b.c.cluster.Job("job-1").Task(0).Assignment() != nil {
			t.Fatal("work went to a machine that may hear nothing")
		}
		var returned bool
		for range 20 {
			if b.c.cluster.Job("job-1").Task(0).Assignment() != nil {
				break
			}
			b.now = b.now.Add(time.Second)
			b.tick++
			token := o.FencingToken
			if hears {
				token = ids.NewFencingToken(5, 1)
			}
			b.c.Heartbeat(b.now, newReport("n-1", 2, b.tick, token))
			returned = returned || slices.Contains(b.step().Terminate, "n-1")
		}
		if placed := b.c.cluster.Job("job-1").Task(0).Assignment() != nil; returned == hears || placed != hears {
			t.Errorf("hears %v: returned %v, work placed %v", hears, returned, placed)
		}
	}
}

// A cancelled job's task on a machine that talks but does not do as it is told
// must be gone in time as well.
func TestCancelledTaskOnAnUnreachableMachine(t *testing.T) {
	b := newHarness(t, Options{})
	token, running := b.runTask()
	b.c.ObserveJob(b.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: b.c.cluster.Job("job-1").Spec}, 500)
	for s := range 52 {
		b.now = b.now.Add(time.Second)
		b.report("n-1", "a", token, running)
		if slices.Contains(b.step().Terminate, "n-1") {
			if s < 10 {
				t.Fatalf("returned after %d s, before it could end the task", s)
			}
			return
		}
	}
	t.Fatal("the task was left on its machine beyond the time for cancellations")
}

// A copy of a report that comes late is no sign of life: its machine may be
// long dead, and its tasks must be able to move.
func TestCopiesAreNoSignOfLife(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	o := b.report("n-1", "a", 0)
	b.job("job-1", wire.JobSpec{Tasks: 1, Service: true})
	b.step()
	o = b.report("n-1", "a", o.FencingToken)
	run := wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskRunning}
	b.report("n-1", "a", o.FencingToken, run)
	last := b.tick
	for s := range 60 {
		b.now = b.now.Add(time.Second)
		for tick := last - 1; tick <= last; tick++ { // older ones, and the newest once more
			b.c.Heartbeat(b.now, newReport("n-1", 1, tick, o.FencingToken, run))
		}
		b.step()
		if m := b.c.cluster.Machine("n-1"); m == nil || len(m.Assignments()) == 0 {
			if time.Duration(s)*time.Second < simLease {
				t.Fatalf("its task was released after %d s, within the lease", s)
			}
			return
		}
		if s > 3 && b.c.health.usable(b.c.cluster.Machine("n-1")) && time.Duration(s)*time.Second > 2*simReport {
			t.Fatalf("after %d s of copies alone it counts as usable", s)
		}
	}
	t.Fatal("copies kept a dead machine's lease alive")
}

// A copy must not bring back a machine that was returned: not at the leader
// that returned it, and not at a successor, which never knew of it.
func TestCopiesDoNotReviveReturnedMachines(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.report("n-1", "a", 0)
	b.c.registry.returnMachine(b.c.cluster.Machine("n-1"), "test")
	b.step()
	b.c.MachinesTerminated(b.now, []ids.MachineID{"n-1"})
	b.report("n-1", "a", 0)
	if b.c.cluster.Machine("n-1") != nil {
		t.Fatal("it came back at the leader that returned it")
	}

	b = newHarness(t, Options{LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
	b.c.Begin(b.now)
	b.report("n-1", "a", ids.NewFencingToken(4, 7))
	b.job("job-1", wire.JobSpec{Tasks: 1})
	b.step()
	if b.c.cluster.Job("job-1").Task(0).Assignment() != nil {
		t.Fatal("a successor placed work on a machine that it only has an old report of")
	}
	b.report("n-1", "a", ids.NewFencingToken(5, 0))
	b.c.rounds.MarkDue()
	b.step()
	if b.c.cluster.Job("job-1").Task(0).Assignment() == nil {
		t.Fatal("a machine that shows our token is not used")
	}
}

// A leader that lost the state service and its peers, but not its workers,
// goes on answering them. Its successor tells the workers of itself, and their
// next report ends the old leader's term.
func TestSuccessorTakesWorkersFromALeaderThatKeepsThem(t *testing.T) {
	old := newHarness(t, Options{Revision: 5})
	oldToken, run := old.runTask()

	next := newHarness(t, Options{Revision: 9, LeaseOptions: LeaseOptions{PreviousLeader: true, PreviousLeaderGrace: time.Minute}})
	next.inherit(wire.JobSpec{Tasks: 1}, records.AdmissionSlice{Hosts: []ids.MachineID{"n-1"}, Zones: []ids.Zone{"a"}, Tasks: []int{0, 1, 0}})
	next.c.Begin(next.now)
	// It knows the address from the list, and has no report: all of them go
	// to the old leader. The same holds of a machine without tasks.
	list := []wire.Machine{{ID: "n-1", Endpoint: "n-1", Type: "m", Zone: "a", Status: "running", AgeS: 60},
		{ID: "n-2", Endpoint: "n-2", Type: "m", Zone: "a", Status: "running", AgeS: 60}}
	next.c.MachineList(next.now, next.now, list)
	token := map[ids.MachineID]ids.FencingToken{"n-1": oldToken, "n-2": oldToken}
	tick := ids.Sequence(50)
	for range 10 {
		next.now = next.now.Add(time.Second)
		e := next.step()
		for _, h := range e.RequestHeartbeats {
			tick++
			next.c.HeartbeatRequestResult(next.now, h, newReport(h, 1, tick, token[h]))
		}
		for _, h := range e.SendCommands {
			if d, _, ok := next.c.TakeCommands(next.now, h); ok {
				token[h] = max(token[h], d.FencingToken)
				tick++
				next.c.CommandsResult(next.now, h, newReport(h, 1, tick, token[h]))
			}
		}
	}
	if m := next.c.cluster.Machine("n-2"); m == nil || !m.Agent.Reported {
		t.Error("a machine without tasks was not asked")
	}
	if token["n-1"].Revision() != 9 || !next.c.cluster.Machine("n-1").Agent.Fenced {
		t.Fatalf("n-1 was not told of the successor: token %d", token["n-1"])
	}
	if _, ok := old.c.Heartbeat(old.now, newReport("n-1", 1, tick+1, token["n-1"], run)); ok || !old.c.Superseded() {
		t.Fatal("the old leader goes on")
	}
}

// Later jobs that fit pass one that does not, but not for ever: without room
// kept for it a large task would find every gap taken by small ones.
func TestLargeJobsStart(t *testing.T) {
	begins := func(keep time.Duration) time.Duration {
		b := newHarness(t, Options{AdmissionOptions: AdmissionOptions{ReserveAfter: keep, ReserveFor: time.Minute}})
		b.c.Begin(b.now)
		start := b.now
		on := map[ids.MachineID][]wire.TaskStatus{}
		until := map[string]monotonic.Instant{}
		hosts := []ids.MachineID{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}
		token := ids.NewFencingToken(5, 0)
		for s := range 300 {
			b.now = b.now.Add(time.Second)
			b.job(ids.JobID(fmt.Sprintf("job-s%d", s)), wire.JobSpec{Tasks: 4, CPUs: 2})
			if s == 20 {
				b.job("job-large", wire.JobSpec{Tasks: 3, CPUs: 8})
			}
			b.step()
			for _, h := range hosts {
				var tasks []wire.TaskStatus
				for _, tk := range on[h] {
					if b.now > until[tk.Name] {
						tk.State, tk.Cause = wire.TaskEnded, wire.CauseDone
					}
					tasks = append(tasks, tk)
				}
				o := b.report(h, "a", token, tasks...)
				token = max(token, o.FencingToken)
				var left []wire.TaskStatus
				for _, tk := range tasks {
					if !slices.Contains(verbs(o.Commands, wire.VerbReap), fmt.Sprintf("%s#%d", tk.Name, tk.Attempt)) {
						left = append(left, tk)
					}
				}
				for _, order := range o.Commands {
					if order.Verb == wire.VerbRun {
						left = append(left, wire.TaskStatus{Name: order.Name, Attempt: order.Attempt, State: wire.TaskRunning})
						// The gaps open one at a time.
						until[order.Name] = b.now.Add(time.Duration(5+(s*7+len(left)*3)%11) * time.Second)
					}
				}
				on[h] = left
			}
			if j := b.c.cluster.Job("job-large"); j != nil && j.Started() {
				return b.now.Sub(start) - 20*time.Second
			}
		}
		return 0
	}
	if at := begins(0); at != 0 {
		t.Fatalf("it began after %v with no room kept: the day tests nothing", at)
	}
	if at := begins(time.Minute); at == 0 || at > 4*time.Minute {
		t.Fatalf("it began after %v", at)
	}
}

// A small deployment was short of machines for minutes. Room kept for a job was
// refused to it, as an older job like it had found none; and where a team's
// quota was short, each slot that came free went to the next task of its oldest
// jobs, and the largest began after seven minutes. A successor must know how
// long a job has waited.
func TestEveryJobStartsThoughOlderOnesGoOn(t *testing.T) {
	begins := func(keep time.Duration, quotaShort, takeover bool) time.Duration {
		opt := Options{AdmissionOptions: AdmissionOptions{ReserveAfter: keep, ReserveFor: time.Minute}}
		on := map[ids.MachineID][]wire.TaskStatus{"n-1": nil}
		if quotaShort { // room there is
			eight := quota.Amount{CPUs: 8}
			opt.Teams = []quota.Team{{Name: "red", Nominal: eight, Limit: eight, LendingLimit: eight}}
			on["n-2"] = nil
		}
		b := newHarness(t, opt)
		b.c.Begin(b.now)
		start := b.now
		wall := func() int64 { return int64(b.now.Sub(start) / time.Millisecond) }
		submit := func(id ids.JobID, tasks int) {
			b.c.ObserveJob(b.now, id, &records.Job{Status: wire.JobQueued, Tasks: tasks, SubmittedMS: wall(),
				Spec: &wire.JobSpec{Team: "red", Tasks: tasks, CPUs: 2}}, ids.Revision(100+len(b.c.cluster.Jobs())))
		}
		submit("job-old", 200)
		until := map[string]monotonic.Instant{}
		for s := range 300 {
			b.now = b.now.Add(time.Second)
			if s == 20 {
				submit("job-late", 4)
			}
			if s == 50 && takeover {
				opt.Revision, opt.WallClockMS = 9, wall()
				next := newHarness(t, opt)
				next.now, next.tick = b.now, b.tick
				for id, j := range b.c.cluster.Jobs() {
					next.c.LoadJob(id, &records.Job{Status: wire.JobQueued, Tasks: j.Spec.Tasks, Spec: j.Spec, SubmittedMS: j.Queue.ReadyMS}, j.Records.Revision)
				}
				next.c.Begin(next.now)
				b = next
				on["n-1"] = nil
			}
			b.step()
			for _, h := range slices.Sorted(maps.Keys(on)) {
				tasks := on[h]
				for i := range tasks {
					if b.now > until[tasks[i].Name] {
						tasks[i].State, tasks[i].Cause = wire.TaskEnded, wire.CauseDone
					}
				}
				o := b.report(h, "a", ids.NewFencingToken(b.c.opt.Revision, 900), tasks...)
				reaped := verbs(o.Commands, wire.VerbReap)
				on[h] = slices.DeleteFunc(tasks, func(tk wire.TaskStatus) bool {
					return slices.Contains(reaped, fmt.Sprintf("%s#%d", tk.Name, tk.Attempt))
				})
				for _, order := range o.Commands {
					if order.Verb == wire.VerbRun {
						on[h] = append(on[h], wire.TaskStatus{Name: order.Name, Attempt: order.Attempt, State: wire.TaskRunning})
						until[order.Name] = b.now.Add(10 * time.Second)
					}
				}
			}
			if j := b.c.cluster.Job("job-late"); j != nil && j.Started() {
				return time.Duration(s-20) * time.Second
			}
		}
		return 0
	}
	const keep = 40 * time.Second
	for _, c := range []struct {
		quotaShort, takeover bool
		within               time.Duration
	}{{false, false, keep + 20*time.Second}, {false, true, keep + 20*time.Second}, {true, false, 2*keep + 20*time.Second}} {
		if at := begins(0, c.quotaShort, c.takeover); at != 0 {
			t.Errorf("%+v: it began after %v without the rule: the day tests nothing", c, at)
		}
		if at := begins(keep, c.quotaShort, c.takeover); at == 0 || at > c.within {
			t.Errorf("%+v: it began after %v", c, at)
		}
	}
}
