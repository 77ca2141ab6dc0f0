package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// bestEffortResult holds the outcome for a best-effort job of a team without nominal quota.
type bestEffortResult struct {
	startedAfter time.Duration // from one second before its submission; 0: never
	stoppedAfter time.Duration // from its first start; 0: never
	maxTasks     int           // the largest number of tasks at the same time
}

// runBestEffortScenario continually submits small arrays of one team, and submits one best-effort
// array of a team without nominal quota.
func runBestEffortScenario(t *testing.T, reserveAfter time.Duration) bestEffortResult {
	t.Helper()
	const bestEffortJob = "job-guest"
	h := newHarness(t, Options{
		Teams: []quota.Team{
			{Name: "red", Nominal: quota.Amount{CPUs: 40}, Limit: quota.Amount{CPUs: 48}, LendingLimit: quota.Amount{CPUs: 40}},
			{Name: "guest", Limit: quota.Unlimited}},
		AdmissionOptions: AdmissionOptions{
			ReserveAfter: reserveAfter,
			ReserveFor:   90 * time.Second,
		},
	})
	h.c.Begin(h.now)
	var result bestEffortResult
	var countedFrom, startedAt monotonic.Instant
	tick := 0
	runTime := func(name string, count int) time.Duration {
		if strings.HasPrefix(name, bestEffortJob) {
			return 0
		}
		return staggeredRunTime(tick, count)
	}
	agents := newTestAgents(runTime, "n-0", "n-1", "n-2", "n-3", "n-4", "n-5")
	agents.observe = func(command wire.Command) {
		switch isBestEffort := strings.HasPrefix(command.Name, bestEffortJob); {
		case isBestEffort && command.Verb == wire.VerbRun && startedAt == 0:
			startedAt, result.startedAfter = h.now, h.now.Sub(countedFrom)
		case isBestEffort && command.Verb == wire.VerbKill && result.stoppedAfter == 0:
			result.stoppedAfter = h.now.Sub(startedAt)
		}
	}
	for ; tick < 420; tick++ {
		h.now = h.now.Add(time.Second)
		if tick%2 == 0 {
			h.submit(ids.JobID(fmt.Sprintf("job-s%d", tick)), wire.JobSpec{Class: "c", Tasks: 4, CPUs: 2, Priority: wire.Normal})
		}
		if tick == 20 {
			countedFrom = h.now.Add(-time.Second) // the delay of an immediate start is not 0
			h.submit(bestEffortJob, wire.JobSpec{Class: "g", Team: "guest", Tasks: 9, CPUs: 8})
		}
		h.step()
		result.maxTasks = max(result.maxTasks, agents.count(bestEffortJob))
		agents.sendHeartbeats(h)
	}
	return result
}

// staggeredRunTime returns run times that make tasks end one after the other, so that no machine
// becomes empty by chance.
func staggeredRunTime(tick, count int) time.Duration {
	return time.Duration(5+(tick*7+count*3)%11) * time.Second
}

// If other teams' jobs of higher priority take all resources that become free, a best-effort job of a
// team without nominal quota may start only after seven to ten minutes. Its first task must start
// within four minutes and run for at least half a minute. Apart from that task, the job must not
// take resources from other jobs.
func TestBestEffortWorkStarts(t *testing.T) {
	if result := runBestEffortScenario(t, 0); result.startedAfter != 0 {
		t.Fatalf("started after %v without reservations: the scenario is ineffective", result.startedAfter)
	}
	result := runBestEffortScenario(t, time.Minute)
	t.Logf("%+v", result)
	if result.startedAfter == 0 || result.startedAfter > 4*time.Minute {
		t.Errorf("started after %v, want at most 4m; 0 means never", result.startedAfter)
	}
	if result.stoppedAfter != 0 && result.stoppedAfter < 30*time.Second {
		t.Errorf("stopped %v after its start, want at least 30s", result.stoppedAfter)
	}
	if result.maxTasks > 1 {
		t.Errorf("%d tasks at the same time, want at most 1", result.maxTasks)
	}
}

// largeJobStartDelay continually submits small arrays, and submits one array of large tasks. It
// returns the time from one second before its submission until the large one started, or 0 if it did
// not start.
func largeJobStartDelay(t *testing.T, reserveAfter time.Duration) time.Duration {
	t.Helper()
	h := newHarness(t, Options{AdmissionOptions: AdmissionOptions{ReserveAfter: reserveAfter, ReserveFor: time.Minute}})
	h.c.Begin(h.now)
	tick := 0
	runTime := func(_ string, count int) time.Duration { return staggeredRunTime(tick, count) }
	agents := newTestAgents(runTime, "n-1", "n-2", "n-3", "n-4", "n-5", "n-6")
	var countedFrom monotonic.Instant
	for ; tick < 300; tick++ {
		h.now = h.now.Add(time.Second)
		h.submit(ids.JobID(fmt.Sprintf("job-s%d", tick)), wire.JobSpec{Tasks: 4, CPUs: 2})
		if tick == 20 {
			countedFrom = h.now.Add(-time.Second) // the delay of an immediate start is not 0
			h.submit("job-large", wire.JobSpec{Tasks: 3, CPUs: 8})
		}
		h.step()
		agents.sendHeartbeats(h)
		if j := h.c.cluster.Job("job-large"); j != nil && j.Started() {
			return h.now.Sub(countedFrom)
		}
	}
	return 0
}

// Later jobs that fit are placed before one that does not fit, but not indefinitely. Without a
// reservation, small tasks would take all resources that become free, and a large task would starve.
func TestLargeJobsStart(t *testing.T) {
	if after := largeJobStartDelay(t, 0); after != 0 {
		t.Fatalf("started after %v without reservations: the scenario is ineffective", after)
	}
	after := largeJobStartDelay(t, time.Minute)
	t.Logf("started after %v", after)
	if after == 0 || after > 4*time.Minute {
		t.Fatalf("started after %v, want at most 4m; 0 means never", after)
	}
}

// lateJobScenario submits an array while an older array, which has more tasks than the machines can
// run, takes all resources that become free.
type lateJobScenario struct {
	limitedByQuota bool // there are free machines, but no quota
	failsOver      bool // a new leader takes over while the late job waits
}

const (
	lateJobSubmitSecond    = 20 // seconds after the scenario began
	lateJobFailoverSecond  = 50
	lateJobScenarioSeconds = 300
)

// startDelay runs the scenario. It returns how long after its submission the late job started, or 0
// if it did not start.
func (d lateJobScenario) startDelay(t *testing.T, reserveAfter time.Duration) time.Duration {
	t.Helper()
	opt := Options{AdmissionOptions: AdmissionOptions{ReserveAfter: reserveAfter, ReserveFor: time.Minute}}
	agents := newTestAgents(func(string, int) time.Duration { return 10 * time.Second }, "n-1")
	if d.limitedByQuota {
		eight := quota.Amount{CPUs: 8}
		opt.Teams = []quota.Team{{Name: "red", Nominal: eight, Limit: eight, LendingLimit: eight}}
		agents.machines = append(agents.machines, "n-2")
	}
	h := newHarness(t, opt)
	h.c.Begin(h.now)
	start := h.now
	h.submitAt(start, "job-old", 200)
	for elapsedS := range lateJobScenarioSeconds {
		h.now = h.now.Add(time.Second)
		if elapsedS == lateJobSubmitSecond {
			h.submitAt(start, "job-late", 4)
		}
		if elapsedS == lateJobFailoverSecond && d.failsOver {
			h = h.nextLeader(opt, start)
			agents.tasks["n-1"] = nil
		}
		h.step()
		agents.sendHeartbeats(h)
		if j := h.c.cluster.Job("job-late"); j != nil && j.Started() {
			return time.Duration(elapsedS-lateJobSubmitSecond) * time.Second
		}
	}
	return 0
}

// submitAt submits a job whose submission time is measured by a wall clock that began at start.
func (h *harness) submitAt(start monotonic.Instant, id ids.JobID, tasks int) {
	h.c.ObserveJob(h.now, id, &records.Job{Status: wire.JobQueued, Tasks: tasks, SubmittedMS: h.now.Sub(start).Milliseconds(),
		Spec: &wire.JobSpec{Team: "red", Tasks: tasks, CPUs: 2}}, ids.Revision(100+len(h.c.cluster.Jobs())))
}

// nextLeader returns the harness of a new leader that has loaded the records of the jobs, but no
// admission records.
func (h *harness) nextLeader(opt Options, start monotonic.Instant) *harness {
	h.t.Helper()
	opt.Revision, opt.WallClockMS = 9, h.now.Sub(start).Milliseconds()
	next := newHarness(h.t, opt)
	next.now, next.sequence = h.now, h.sequence
	for id, j := range h.c.cluster.Jobs() {
		next.c.LoadJob(id, &records.Job{Status: wire.JobQueued, Tasks: j.Spec.Tasks, Spec: j.Spec, SubmittedMS: j.Queue.ReadyMS}, j.Records.Revision)
	}
	next.c.Begin(next.now)
	return next
}

// While machines or quota are scarce, a late job must still start in time. This fails if a job gets no
// reservation because an equal request of an older job found no machine. It also fails if, in a team
// at its quota limit, all quota that becomes free goes to the next tasks of the team's oldest jobs: a
// large job may then start only after seven minutes. A new leader must know how long a job has
// waited.
func TestLateJobStartsWhileOlderJobContinues(t *testing.T) {
	const reserveAfter = 40 * time.Second
	for _, c := range []struct {
		name     string
		scenario lateJobScenario
		within   time.Duration
	}{
		{"too few machines", lateJobScenario{}, reserveAfter + 20*time.Second},
		{"too few machines and a failover", lateJobScenario{failsOver: true}, reserveAfter + 20*time.Second},
		{"too little quota", lateJobScenario{limitedByQuota: true}, 2*reserveAfter + 20*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if after := c.scenario.startDelay(t, 0); after != 0 {
				t.Errorf("started after %v without reservations: the scenario is ineffective", after)
			}
			after := c.scenario.startDelay(t, reserveAfter)
			t.Logf("started after %v", after)
			if after == 0 || after > c.within {
				t.Errorf("started after %v, which is too late; 0 means never", after)
			}
		})
	}
}
