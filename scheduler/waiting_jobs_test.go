package scheduler

import (
	"fmt"
	"testing"
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/records"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/wire"
)

// guestCrowd is a cluster that is full of tasks of a team without nominal quota, of which many more jobs wait. The
// team red uses none of its nominal quota.
type guestCrowd struct {
	*harness
	agents *testAgents
	// stopped is the number of kill commands.
	stopped int
}

const (
	crowdMachines    = 6
	crowdMachineCPUs = 32
	guaranteedTasks  = 6
)

// newGuestCrowd returns a cluster in which a number of the guest team's jobs wait.
func newGuestCrowd(t testing.TB, waiting int) *guestCrowd {
	t.Helper()
	teams := []quota.Team{
		{Name: "red", Nominal: quota.Amount{CPUs: 100}, Limit: quota.Amount{CPUs: 200}, LendingLimit: quota.Amount{CPUs: 100}},
		{Name: "guest", Limit: quota.Unlimited},
	}
	machine := wire.MachineType{Name: "m", CPUs: crowdMachineCPUs, MemoryGB: 64, CacheGB: 50, Price: 1, BootS: 10, Zones: []ids.Zone{"a"}}
	c := &guestCrowd{harness: newHarness(t, Options{Teams: teams, AdmissionOptions: AdmissionOptions{LendingSuspension: 5 * time.Second}}, machine)}
	c.c.Begin(c.now)
	var machines []ids.MachineID
	for n := range crowdMachines {
		machines = append(machines, ids.MachineID(fmt.Sprintf("n-%d", n)))
	}
	c.agents = newTestAgents(func(string, int) time.Duration { return 0 }, machines...)
	c.agents.observe = func(command wire.Command) {
		if command.Verb == wire.VerbKill {
			c.stopped++
		}
	}
	c.agents.sendHeartbeats(c.harness)
	for n := range crowdMachines*crowdMachineCPUs + waiting {
		c.submit(ids.JobID(fmt.Sprintf("job-g%06d", n)), wire.JobSpec{Class: "check", Team: "guest", Tasks: 1, CPUs: 1})
	}
	c.tick()
	return c
}

// tick simulates half a second.
func (c *guestCrowd) tick() {
	c.now = c.now.Add(500 * time.Millisecond)
	c.step()
	c.agents.sendHeartbeats(c.harness)
}

// startGuaranteed submits a job that fits in the nominal quota of its team, and returns the time until all its
// tasks run, at most a minute.
func (c *guestCrowd) startGuaranteed() time.Duration {
	submitted := c.now
	c.submit("job-guaranteed", wire.JobSpec{Class: "feed", Team: "red", Tasks: guaranteedTasks, CPUs: 1})
	for c.agents.count("job-guaranteed/") < guaranteedTasks && c.now < submitted.Add(time.Minute) {
		c.tick()
	}
	return c.now.Sub(submitted)
}

// A job within its team's nominal quota must start as fast behind any number of another team's waiting jobs, and no
// more tasks may be stopped than it needs. The fault: the pass ends after a number of jobs that do not fit, so it
// never reaches the job, while tasks are preempted for it again and again.
func TestGuaranteedJobStartsBehindAnotherTeamsJobs(t *testing.T) {
	for _, waiting := range []int{0, 90, 110, 3000} { // the harness lets a team search in vain 100 times
		t.Run(fmt.Sprint(waiting), func(t *testing.T) {
			c := newGuestCrowd(t, waiting)
			if took := c.startGuaranteed(); took > 3*time.Second {
				t.Errorf("started after %v", took)
			}
			for range 20 {
				c.tick()
			}
			if c.stopped != guaranteedTasks {
				t.Errorf("%d tasks were stopped for %d", c.stopped, guaranteedTasks)
			}
		})
	}
}

// BenchmarkGuaranteeBehindWaitingJobs measures the time of a round in which nothing can be placed, the time of what is
// done once a second (a scan of all jobs, and the demand of those that wait), the simulated
// time to the start of a job within its team's nominal quota, and the tasks stopped for each of its tasks.
//
//	go test ./scheduler -run - -bench GuaranteeBehindWaitingJobs
func BenchmarkGuaranteeBehindWaitingJobs(b *testing.B) {
	for _, waiting := range []int{0, 2500, 25_000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			c := newGuestCrowd(b, waiting)
			c.c.admission.maxSkippedJobs = 2000 // the default of the operators' settings
			for b.Loop() {
				c.c.scheduleRound()
			}
			began := time.Now()
			c.c.queue.groups.rescan()
			c.c.autoscaler.waiting.count()
			b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms-each-second")
			b.ReportMetric(c.startGuaranteed().Seconds(), "s-to-start")
			b.ReportMetric(float64(c.stopped)/guaranteedTasks, "stopped/task")
		})
	}
}

// A team may search for machines in vain only so often in a pass. Nothing may be stopped for the jobs behind, since
// the room would go to others, again and again.
func TestNothingIsPreemptedForJobsThatAdmissionDoesNotReach(t *testing.T) {
	c := newGuestCrowd(t, 10)
	for n := range c.c.admission.maxSkippedJobs + 2 { // different requests for a zone without machines
		c.submit(ids.JobID(fmt.Sprintf("job-a%03d", n)), wire.JobSpec{Class: "feed", Team: "red", Tasks: 1, CPUs: 1 + float64(n)/1000, Zone: "b"})
	}
	c.startGuaranteed()
	if c.stopped > 0 {
		t.Errorf("%d tasks were stopped for a job that admission does not reach", c.stopped)
	}
	for n := range 3 {
		c.c.ObserveJob(c.now, ids.JobID(fmt.Sprintf("job-a%03d", n)), &records.Job{Status: wire.JobCancelled, Tasks: 1, Spec: &wire.JobSpec{}}, 5000)
	}
	for range 6 {
		c.tick()
	}
	if running := c.agents.count("job-guaranteed/"); running != guaranteedTasks || c.stopped != guaranteedTasks {
		t.Errorf("%d tasks run and %d were stopped once admission reaches the job, want %d", running, c.stopped, guaranteedTasks)
	}
}
