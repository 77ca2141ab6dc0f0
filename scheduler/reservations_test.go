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
	b := newHarness(t, Options{
		Teams: []quota.Team{
			{Name: "red", Nominal: quota.Amount{CPUs: 40}, Limit: quota.Amount{CPUs: 48}, LendingLimit: quota.Amount{CPUs: 40}},
			{Name: "guest", Limit: quota.Unlimited}},
		AdmissionOptions: AdmissionOptions{
			ReserveAfter: reserveAfter,
			ReserveFor:   90 * time.Second,
		},
	})
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
		agents.sendHeartbeats(b)
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

// startOfLargeJob plays small arrays without end beside one of large tasks, and returns how
// long after its submission that one started; 0: never.
func startOfLargeJob(t *testing.T, reserveAfter time.Duration) time.Duration {
	t.Helper()
	b := newHarness(t, Options{AdmissionOptions: AdmissionOptions{ReserveAfter: reserveAfter, ReserveFor: time.Minute}})
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
		agents.sendHeartbeats(b)
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
	opt := Options{AdmissionOptions: AdmissionOptions{ReserveAfter: reserveAfter, ReserveFor: time.Minute}}
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
		agents.sendHeartbeats(b)
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
