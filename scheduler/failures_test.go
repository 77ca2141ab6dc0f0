package scheduler

import (
	"fmt"
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
// cancel them. Two of them used to quarantine each machine that both had tried, for two
// minutes, and an array of one tried all of its tasks in each round.
func TestPermanentlyFailingJobsQuarantineNoMachine(t *testing.T) {
	b, agents := newFailingJobs(t)
	const settled = 40 * time.Second
	began := b.now
	mostActive, quarantines := 0, 0
	inspect := func() {
		if b.now <= began.Add(settled) {
			return
		}
		mostActive = max(mostActive, b.activeTasks())
		quarantines += b.quarantinedMachines()
	}
	starts := agents.play(b, wire.CauseError, 3*time.Minute, inspect)
	if quarantines > 0 {
		t.Errorf("healthy machines were quarantined in %d steps", quarantines)
	}
	if mostActive > 4 || starts < 30 || starts > 100 {
		t.Errorf("%d tasks started, up to %d at once", starts, mostActive)
	}
}

// A first success of a job that failed everywhere frees the rest: the mistake was mended
// elsewhere, or the fault was another.
func TestSuccessEndsTheBackoffOfFailingJobs(t *testing.T) {
	b, agents := newFailingJobs(t)
	nothing := func() {}
	agents.play(b, wire.CauseError, 3*time.Minute, nothing)
	starts := agents.play(b, wire.CauseDone, 75*time.Second, nothing)
	if starts == 0 || len(b.c.cluster.Jobs()) > 0 {
		t.Errorf("after %d starts that succeed, %d jobs are not done", starts, len(b.c.cluster.Jobs()))
	}
}

// newFailingJobs is a harness with six machines and three arrays.
func newFailingJobs(t *testing.T) (*harness, *instantAgents) {
	t.Helper()
	b := newHarness(t, Options{})
	agents := &instantAgents{ended: map[ids.MachineID][]wire.TaskStatus{}}
	for i := range 6 {
		machine := ids.MachineID(fmt.Sprintf("n-%d", i))
		agents.machines = append(agents.machines, machine)
		b.heartbeat(machine, "a", 0)
	}
	for i := range 3 {
		b.submit(ids.JobID(fmt.Sprintf("job-bad%d", i)), wire.JobSpec{Class: "c", Tasks: 5, CPUs: 1, EstimateS: 10})
	}
	return b, agents
}

// activeTasks counts the tasks that are assigned to machines.
func (b *harness) activeTasks() int {
	active := 0
	for _, j := range b.c.cluster.Jobs() {
		active += len(j.Active())
	}
	return active
}

// quarantinedMachines counts the machines that are in quarantine.
func (b *harness) quarantinedMachines() int {
	count := 0
	for _, m := range b.c.cluster.Machines() {
		if b.now < m.Health.QuarantinedUntil {
			count++
		}
	}
	return count
}

// Failures of different jobs still quarantine a machine that is at fault, also where a
// permanently failing job has failed.
func TestUnhealthyMachineBesideAPermanentlyFailingJob(t *testing.T) {
	b := newHarness(t, Options{})
	b.heartbeat("n-0", "a", 0)
	m := b.c.cluster.Machine("n-0")
	fail := func(id ids.JobID) {
		b.c.failures.recordFailure(&cluster.Assignment{Job: b.c.cluster.Job(id), Machine: m, Attempt: 1})
	}
	b.submit("job-bad", wire.JobSpec{Class: "c", Tasks: 1})
	b.submit("job-1", wire.JobSpec{Class: "c", Tasks: 4})
	b.submit("job-2", wire.JobSpec{Class: "c", Tasks: 4})
	b.c.cluster.Job("job-bad").Failures.Rounds = 1
	fail("job-bad")
	fail("job-1")
	if b.c.clock.Now() < m.Health.QuarantinedUntil {
		t.Error("quarantined for one job's failure")
	}
	fail("job-2")
	if b.c.clock.Now() >= m.Health.QuarantinedUntil {
		t.Error("not quarantined for the failures of two jobs")
	}
	b.c.failures.clearFailureHistory(b.c.cluster.Job("job-2"))
	if b.c.clock.Now() < m.Health.QuarantinedUntil {
		t.Error("still quarantined although one of them fails everywhere")
	}
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

// A machine that never boots is terminated in the end, and costs no more.
func TestMachineThatNeverBootsIsTerminated(t *testing.T) {
	b := newHarness(t, Options{})
	b.c.ProvisionResult(b.now, wire.ProvisionRequest{Type: "m", Zone: "a", Count: 1}, []ids.MachineID{"n-9"}, true)
	for range 120 {
		b.now = b.now.Add(500 * time.Millisecond)
		if len(b.step().Terminate) > 0 {
			return
		}
	}
	t.Error("never terminated")
}

// What began or ended while the leader itself was paused is reported only after it: tasks did
// not run for that long, machines are not unreachable, and none took too long to boot.
func TestProcessPauseIsNoRunTimeAndNoSilence(t *testing.T) {
	b := newHarness(t, Options{})
	b.heartbeat("n-0", "a", 0)
	b.submit("job-1", wire.JobSpec{Class: "c", Tasks: 1, EstimateS: 5})
	b.step()
	run := func() wire.TaskStatus {
		for _, o := range b.heartbeat("n-0", "a", 0).Commands {
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
	b.heartbeat("n-0", "a", 0)          // on its way since before the command came
	if b.c.cluster.Machine("n-0").Health.Unreachable {
		t.Error("a machine counts as unreachable for the time of the leader's pause")
	}
	if e := b.step(); len(e.Terminate) > 0 {
		t.Errorf("terminated %v before they could send a heartbeat", e.Terminate)
	}
	b.heartbeat("n-0", "a", 0, task)
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

// guestDay is what became of a best-effort job of a team without nominal quota.
type guestDay struct {
	startedAfter time.Duration // from its submission; 0: never
	stoppedAfter time.Duration // from its first start; 0: never
	mostTasks    int           // at once
}

// playGuestDay submits small arrays of one team without end, and a best-effort array of a
// team without nominal quota.
func playGuestDay(t *testing.T, reserveAfter time.Duration) guestDay {
	t.Helper()
	const guest = "job-guest"
	b := newHarness(t, Options{ReserveAfter: reserveAfter, ReserveFor: 90 * time.Second, Teams: []quota.Team{
		{Name: "red", Nominal: quota.Amount{CPUs: 40}, Limit: quota.Amount{CPUs: 48}, LendingLimit: quota.Amount{CPUs: 40}},
		{Name: "guest", Limit: quota.Unlimited}}})
	b.c.Begin(b.now)
	var day guestDay
	var submittedAt, startedAt monotonic.Instant
	tick := 0
	runTime := func(name string, count int) time.Duration {
		if strings.HasPrefix(name, guest) {
			return 0
		}
		return staggeredRunTime(tick, count)
	}
	agents := newTestAgents(runTime, "n-0", "n-1", "n-2", "n-3", "n-4", "n-5")
	agents.observe = func(command wire.Command) {
		switch isGuest := strings.HasPrefix(command.Name, guest); {
		case isGuest && command.Verb == wire.VerbRun && startedAt == 0:
			startedAt, day.startedAfter = b.now, b.now.Sub(submittedAt)
		case isGuest && command.Verb == wire.VerbKill && day.stoppedAfter == 0:
			day.stoppedAfter = b.now.Sub(startedAt)
		}
	}
	for ; tick < 420; tick++ {
		b.now = b.now.Add(time.Second)
		if tick%2 == 0 {
			b.submit(ids.JobID(fmt.Sprintf("job-s%d", tick)), wire.JobSpec{Class: "c", Tasks: 4, CPUs: 2, Priority: wire.Normal})
		}
		if tick == 20 {
			submittedAt = b.now
			b.submit(guest, wire.JobSpec{Class: "g", Team: "guest", Tasks: 9, CPUs: 8})
		}
		b.step()
		day.mostTasks = max(day.mostTasks, agents.count(guest))
		agents.heartbeats(b)
	}
	return day
}

// staggeredRunTime makes tasks end one after the other, so that no machine is ever empty by
// chance.
func staggeredRunTime(tick, count int) time.Duration {
	return time.Duration(5+(tick*7+count*3)%11) * time.Second
}

// Best-effort work of a team without nominal quota found each gap taken by others' work of
// higher priority, and began after seven and ten minutes. Its first task must begin within
// four, and run on for a while; beyond that it takes nothing from the others.
func TestBestEffortWorkStarts(t *testing.T) {
	if day := playGuestDay(t, 0); day.startedAfter != 0 {
		t.Fatalf("without reservations it began after %v: the day tests nothing", day.startedAfter)
	}
	day := playGuestDay(t, time.Minute)
	t.Logf("%+v", day)
	if day.startedAfter == 0 || day.startedAfter >= 4*time.Minute {
		t.Errorf("it began after %v", day.startedAfter)
	}
	if day.stoppedAfter != 0 && day.stoppedAfter < 30*time.Second {
		t.Errorf("it was stopped after %v", day.stoppedAfter)
	}
	if day.mostTasks > 1 {
		t.Errorf("it had %d tasks at once", day.mostTasks)
	}
}
