package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// newHeartbeat is a heartbeat as an agent in zone a would send it, for messages out of order.
func newHeartbeat(host ids.MachineID, tenure ids.AgentIncarnation, tick ids.Sequence, token ids.FencingToken, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: host, Endpoint: string(host), Type: "m", Zone: "a", Incarnation: tenure, Sequence: tick, FencingToken: token, Tasks: tasks}
}

// A machine whose heartbeats arrive, but which receives nothing, would take work for ever
// and do none. It gets no more, is terminated, and its work moves only then.
func TestUnreachableMachineIsTerminated(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Tasks: 1})
	b.step()
	b.step()
	b.awaitTerminationOfUnreachable()
	b.heartbeat("n-2", "a", 0)
	b.c.MachinesTerminated(b.now, []ids.MachineID{"n-1"})
	b.step()
	if a := b.assignmentOf("job-1"); a == nil || a.Machine.ID != "n-2" {
		t.Fatal("its task did not move")
	}
}

// awaitTerminationOfUnreachable steps until n-1 is terminated, which gets no command. The
// task of job-1 stays on it, and job-2, submitted meanwhile, is not placed on it.
func (b *harness) awaitTerminationOfUnreachable() {
	b.t.Helper()
	for s := range 40 {
		b.now = b.now.Add(time.Second)
		e := b.step()
		b.loseCommands(e)
		if s%3 == 0 {
			b.heartbeat("n-1", "a", 0)
		}
		if s == 16 {
			b.submit("job-2", wire.JobSpec{Tasks: 1})
		}
		if b.assignmentOf("job-2") != nil {
			b.t.Fatalf("after %d s: new work was placed on it", s)
		}
		if b.assignmentOf("job-1") == nil {
			b.t.Fatalf("after %d s: its task was released before it was terminated", s)
		}
		if slices.Contains(e.Terminate, "n-1") {
			return
		}
	}
	b.t.Fatal("never terminated")
}

// loseCommands takes the commands that a step sends, and gives no response to them.
func (b *harness) loseCommands(e Decisions) {
	for _, machine := range e.SendCommands {
		if _, _, ok := b.c.TakeCommands(b.now, machine); ok {
			b.c.CommandsResult(b.now, machine, nil)
		}
	}
}

// assignmentOf is the assignment of a job's first task, or nil if it or the job has none.
func (b *harness) assignmentOf(id ids.JobID) *cluster.Assignment {
	if j := b.c.cluster.Job(id); j != nil {
		return j.Task(0).Assignment()
	}
	return nil
}

// A lease that expires although every heartbeat was answered shows that the machine receives
// nothing. One that then shows the new token has only missed something.
func TestLeaseLostWhileAnswered(t *testing.T) {
	for _, c := range []struct {
		name       string
		shows      ids.FencingToken // 0: the first one it was told
		terminated bool
	}{
		{"receives nothing", 0, true},
		{"receives again", ids.NewFencingToken(5, 1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t, Options{})
			b.c.Begin(b.now)
			first := b.heartbeat("n-1", "a", 0).FencingToken
			b.heartbeat("n-1", "a", first)
			b.now = b.now.Add(simHeartbeatInterval)
			b.secondIncarnation(first)
			b.submit("job-1", wire.JobSpec{Tasks: 1})
			b.step()
			if b.assignmentOf("job-1") != nil {
				t.Fatal("work was placed on a machine that may receive nothing")
			}
			var terminated bool
			for s := 0; s < 20 && b.assignmentOf("job-1") == nil; s++ {
				b.now = b.now.Add(time.Second)
				b.secondIncarnation(cmp.Or(c.shows, first))
				terminated = terminated || slices.Contains(b.step().Terminate, "n-1")
			}
			if placed := b.assignmentOf("job-1") != nil; terminated != c.terminated || placed == c.terminated {
				t.Errorf("terminated %v, work placed %v", terminated, placed)
			}
		})
	}
}

// secondIncarnation has n-1 send a heartbeat of its agent's second incarnation.
func (b *harness) secondIncarnation(token ids.FencingToken) {
	b.sequence++
	b.c.Heartbeat(b.now, newHeartbeat("n-1", 2, b.sequence, token))
}

// A cancelled job's task on a machine that sends heartbeats but does not carry out commands must
// end in time as well.
func TestCancelledTaskOnAnUnreachableMachine(t *testing.T) {
	b := newHarness(t, Options{})
	token, running := b.runTask()
	b.c.ObserveJob(b.now, "job-1", &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: b.c.cluster.Job("job-1").Spec}, 500)
	for s := range 52 {
		b.now = b.now.Add(time.Second)
		b.heartbeat("n-1", "a", token, running)
		if slices.Contains(b.step().Terminate, "n-1") {
			if s < 10 {
				t.Fatalf("terminated after %d s, before it could end the task", s)
			}
			return
		}
	}
	t.Fatal("the task was left on its machine beyond the time for cancellations")
}

// A duplicate heartbeat that comes late does not renew a lease: its machine may be long dead,
// and its tasks must be able to move.
func TestDuplicateHeartbeatsDoNotRenewALease(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	o := b.heartbeat("n-1", "a", 0)
	b.submit("job-1", wire.JobSpec{Tasks: 1, Service: true})
	b.step()
	o = b.heartbeat("n-1", "a", o.FencingToken)
	run := wire.TaskStatus{Name: "job-1/0", Attempt: 1, State: wire.TaskRunning}
	b.heartbeat("n-1", "a", o.FencingToken, run)
	last := b.sequence
	for s := range 60 {
		b.now = b.now.Add(time.Second)
		for tick := last - 1; tick <= last; tick++ { // older ones, and the newest once more
			b.c.Heartbeat(b.now, newHeartbeat("n-1", 1, tick, o.FencingToken, run))
		}
		b.step()
		if m := b.c.cluster.Machine("n-1"); m == nil || len(m.Assignments()) == 0 {
			if time.Duration(s)*time.Second < simAgentLease {
				t.Fatalf("its task was released after %d s, within the lease", s)
			}
			return
		}
		if s > 3 && b.c.health.usable(b.c.cluster.Machine("n-1")) && time.Duration(s)*time.Second > 2*simHeartbeatInterval {
			t.Fatalf("after %d s of duplicates alone it counts as usable", s)
		}
	}
	t.Fatal("duplicates renewed a dead machine's lease")
}

// A duplicate heartbeat must not bring back a terminated machine: not at the leader that
// terminated it, and not at the next one, which never knew of it.
func TestDuplicateHeartbeatsDoNotReviveTerminatedMachines(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", 0)
	b.c.registry.returnMachine(b.c.cluster.Machine("n-1"), "test")
	b.step()
	b.c.MachinesTerminated(b.now, []ids.MachineID{"n-1"})
	b.heartbeat("n-1", "a", 0)
	if b.c.cluster.Machine("n-1") != nil {
		t.Fatal("it came back at the leader that terminated it")
	}

	b = newHarness(t, Options{PreviousLeader: true, PreviousLeaderGrace: time.Minute})
	b.c.Begin(b.now)
	b.heartbeat("n-1", "a", ids.NewFencingToken(4, 7))
	b.submit("job-1", wire.JobSpec{Tasks: 1})
	b.step()
	if b.c.cluster.Job("job-1").Task(0).Assignment() != nil {
		t.Fatal("the next leader placed work on a machine of which it has only an old heartbeat")
	}
	b.heartbeat("n-1", "a", ids.NewFencingToken(5, 0))
	b.c.rounds.MarkDue()
	b.step()
	if b.c.cluster.Job("job-1").Task(0).Assignment() == nil {
		t.Fatal("a machine that shows this leader's token is not used")
	}
}

// A leader that lost the store and its peers, but not its workers, goes on answering them. The
// next leader sends the workers its fencing token, and their next heartbeat ends the previous
// leader's term.
func TestNextLeaderTakesWorkersFromAnActivePreviousLeader(t *testing.T) {
	old := newHarness(t, Options{Revision: 5})
	oldToken, run := old.runTask()

	next := newHarness(t, Options{Revision: 9, PreviousLeader: true, PreviousLeaderGrace: time.Minute})
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
			next.c.HeartbeatRequestResult(next.now, h, newHeartbeat(h, 1, tick, token[h]))
		}
		for _, h := range e.SendCommands {
			if d, _, ok := next.c.TakeCommands(next.now, h); ok {
				token[h] = max(token[h], d.FencingToken)
				tick++
				next.c.CommandsResult(next.now, h, newHeartbeat(h, 1, tick, token[h]))
			}
		}
	}
	if m := next.c.cluster.Machine("n-2"); m == nil || !m.Agent.Reported {
		t.Error("a machine without tasks was not asked")
	}
	if token["n-1"].Revision() != 9 || !next.c.cluster.Machine("n-1").Agent.Fenced {
		t.Fatalf("n-1 was not fenced by the next leader: token %d", token["n-1"])
	}
	if _, ok := old.c.Heartbeat(old.now, newHeartbeat("n-1", 1, tick+1, token["n-1"], run)); ok || !old.c.Superseded() {
		t.Fatal("the previous leader goes on")
	}
}

// startOfLargeJob plays small arrays without end beside one of large tasks, and returns how
// long after its submission that one started; 0: never.
func startOfLargeJob(t *testing.T, reserveAfter time.Duration) time.Duration {
	t.Helper()
	b := newHarness(t, Options{ReserveAfter: reserveAfter, ReserveFor: time.Minute})
	b.c.Begin(b.now)
	tick := 0
	runTime := func(_ string, count int) time.Duration { return staggeredRunTime(tick, count) }
	agents := newTestAgents(runTime, "n-1", "n-2", "n-3", "n-4", "n-5", "n-6")
	var submittedAt monotonic.Instant
	for ; tick < 300; tick++ {
		b.now = b.now.Add(time.Second)
		b.submit(ids.JobID(fmt.Sprintf("job-s%d", tick)), wire.JobSpec{Tasks: 4, CPUs: 2})
		if tick == 20 {
			submittedAt = b.now
			b.submit("job-large", wire.JobSpec{Tasks: 3, CPUs: 8})
		}
		b.step()
		agents.heartbeats(b)
		if j := b.c.cluster.Job("job-large"); j != nil && j.Started() {
			return b.now.Sub(submittedAt)
		}
	}
	return 0
}

// Later jobs that fit overtake one that does not, but not for ever: without a reservation a
// large task would find every gap taken by small ones.
func TestLargeJobsStart(t *testing.T) {
	if after := startOfLargeJob(t, 0); after != 0 {
		t.Fatalf("without reservations it started after %v: the day tests nothing", after)
	}
	after := startOfLargeJob(t, time.Minute)
	t.Logf("started after %v", after)
	if after == 0 || after >= 4*time.Minute {
		t.Fatalf("it started after %v", after)
	}
}

// lateJobDay is a day on which an array is submitted while an older one, which is too large
// for the machines, takes every gap.
type lateJobDay struct {
	quotaIsShort bool // there are free machines, but no quota
	failsOver    bool // a new leader takes over while the late job waits
}

const (
	lateJobSubmitted  = 20 // seconds after the day began
	lateJobFailover   = 50
	lateJobDaySeconds = 300
)

// startOfLateJob plays the day and returns how long after its submission the late job
// started; 0: never.
func (d lateJobDay) startOfLateJob(t *testing.T, reserveAfter time.Duration) time.Duration {
	t.Helper()
	opt := Options{ReserveAfter: reserveAfter, ReserveFor: time.Minute}
	agents := newTestAgents(func(string, int) time.Duration { return 10 * time.Second }, "n-1")
	if d.quotaIsShort {
		eight := quota.Amount{CPUs: 8}
		opt.Teams = []quota.Team{{Name: "red", Nominal: eight, Limit: eight, LendingLimit: eight}}
		agents.machines = append(agents.machines, "n-2")
	}
	b := newHarness(t, opt)
	b.c.Begin(b.now)
	start := b.now
	b.submitAt(start, "job-old", 200)
	for second := range lateJobDaySeconds {
		b.now = b.now.Add(time.Second)
		if second == lateJobSubmitted {
			b.submitAt(start, "job-late", 4)
		}
		if second == lateJobFailover && d.failsOver {
			b = b.nextLeader(opt, start)
			agents.tasks["n-1"] = nil
		}
		b.step()
		agents.heartbeats(b)
		if j := b.c.cluster.Job("job-late"); j != nil && j.Started() {
			return time.Duration(second-lateJobSubmitted) * time.Second
		}
	}
	return 0
}

// submitAt submits a job with the wall clock of a day that began at start.
func (b *harness) submitAt(start monotonic.Instant, id ids.JobID, tasks int) {
	b.c.ObserveJob(b.now, id, &records.Job{Status: wire.JobQueued, Tasks: tasks, SubmittedMS: b.now.Sub(start).Milliseconds(),
		Spec: &wire.JobSpec{Team: "red", Tasks: tasks, CPUs: 2}}, ids.Revision(100+len(b.c.cluster.Jobs())))
}

// nextLeader is a new leader that has read the records of the jobs, and no others.
func (b *harness) nextLeader(opt Options, start monotonic.Instant) *harness {
	b.t.Helper()
	opt.Revision, opt.WallClockMS = 9, b.now.Sub(start).Milliseconds()
	next := newHarness(b.t, opt)
	next.now, next.sequence = b.now, b.sequence
	for id, j := range b.c.cluster.Jobs() {
		next.c.LoadJob(id, &records.Job{Status: wire.JobQueued, Tasks: j.Spec.Tasks, Spec: j.Spec, SubmittedMS: j.Queue.ReadyMS}, j.Records.Revision)
	}
	next.c.Begin(next.now)
	return next
}

// A small deployment was short of machines for minutes. A reservation was refused to a job,
// as an older job like it had found no room; and where a team's quota was short, each slot
// that came free went to the next task of its oldest jobs, and the largest began after seven
// minutes. The next leader must know how long a job has waited.
func TestEveryJobStartsThoughOlderOnesGoOn(t *testing.T) {
	const reserveAfter = 40 * time.Second
	for _, c := range []struct {
		name   string
		day    lateJobDay
		within time.Duration
	}{
		{"too few machines", lateJobDay{}, reserveAfter + 20*time.Second},
		{"too few machines and a failover", lateJobDay{failsOver: true}, reserveAfter + 20*time.Second},
		{"too little quota", lateJobDay{quotaIsShort: true}, 2*reserveAfter + 20*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if after := c.day.startOfLateJob(t, 0); after != 0 {
				t.Errorf("without reservations it started after %v: the day tests nothing", after)
			}
			after := c.day.startOfLateJob(t, reserveAfter)
			t.Logf("started after %v", after)
			if after == 0 || after > c.within {
				t.Errorf("it started after %v", after)
			}
		})
	}
}
