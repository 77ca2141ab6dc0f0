package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

const (
	// antiAffinityPeriod is how long a job keeps off a machine where one of its tasks failed.
	antiAffinityPeriod = 45 * time.Second
	// quarantinePeriod is how long a machine that is at fault gets no tasks.
	quarantinePeriod = 2 * time.Minute
	// quarantineJobs is how many jobs must fail on a machine until it is quarantined, and
	// quarantineFailures how many tasks of jobs that fail nowhere else.
	quarantineJobs     = 2
	quarantineFailures = 2
	// initialBackoff is how long a job that fails everywhere waits after its first such
	// round. The wait doubles with each further round, up to maxBackoff.
	initialBackoff = 2 * time.Second
	maxBackoff     = time.Minute
	// failedMachinesLimit is on how many machines a job must fail, without one success, until
	// the fault is taken to be its own.
	failedMachinesLimit = 3
	// probingAfterRounds is after how many rounds of failing everywhere a job is tried task
	// by task.
	probingAfterRounds = 2
)

// failureHistory keeps the failures of jobs and machines, and weighs which of the two is at
// fault. Heartbeats and the task lifecycle record how tasks ended. Placement asks it for a
// job's anti-affinity. It quarantines machines and delays jobs, but terminates no machine and
// ends no job.
type failureHistory struct {
	cluster *cluster.State
	clock   *clock.Clock
	rounds  *clock.RoundTrigger
	zones   taskFailureObserver
}

// taskFailureObserver learns that a task failed.
type taskFailureObserver interface{ taskFailed(a *cluster.Assignment) }

// recordFailure weighs whether the machine or the job is at fault for a failed task.
// Failures of several jobs on one machine quarantine the machine. Failures of one job on
// several machines make the job wait, but it is tried again without end.
func (f *failureHistory) recordFailure(a *cluster.Assignment) {
	m, j := a.Machine, a.Job
	f.zones.taskFailed(a)
	f.addAntiAffinity(j, m)
	if j.Failures.Rounds == 0 {
		f.countAgainstMachine(m, j)
		if j.Failures.Succeeded > 0 || len(j.Failures.AntiAffinity) < failedMachinesLimit {
			return
		}
		f.clearFailureHistory(j)
	}
	clear(j.Failures.AntiAffinity)
	f.backOff(j)
}

// recordSuccess clears the machine's failures after a task that succeeded, and the job's
// unless it has ended. The count of a job's successes stays.
func (*failureHistory) recordSuccess(a *cluster.Assignment) {
	clear(a.Machine.Health.FailuresByJob)
	j := a.Job
	if j.Terminal() {
		return
	}
	j.Failures.Succeeded++
	j.Failures.Rounds, j.Failures.Backoff = 0, 0
}

// countAgainstMachine counts a failure of a job's task against its machine, and quarantines
// the machine if the fault is likely its own.
func (f *failureHistory) countAgainstMachine(m *cluster.Machine, j *cluster.Job) {
	health := &m.Health
	health.FailuresByJob[j.ID]++
	health.LastFailure = f.clock.Now()
	total := 0
	for _, failures := range health.FailuresByJob {
		total += failures
	}
	failedHereOnly := len(j.Failures.AntiAffinity) == 1
	if len(health.FailuresByJob) >= quarantineJobs || total >= quarantineFailures && failedHereOnly {
		health.QuarantinedUntil = f.clock.Now().Add(quarantinePeriod)
		health.QuarantinedForFailures = true
	}
}

// backOff delays a job that fails everywhere. Only the first failure of a round counts:
// the other tasks of the round fail with it.
func (f *failureHistory) backOff(j *cluster.Job) {
	if f.clock.Now() < j.Queue.RetryAt {
		return
	}
	j.Failures.Rounds++
	j.Failures.Backoff = min(max(2*j.Failures.Backoff, initialBackoff), maxBackoff)
	j.Queue.RetryAt = f.clock.Now().Add(j.Failures.Backoff)
}

// clearFailureHistory removes the failures of a job that fails everywhere from the machines'
// histories. Otherwise a few jobs that were submitted with a mistake would quarantine one
// healthy machine after another.
func (f *failureHistory) clearFailureHistory(j *cluster.Job) {
	for _, m := range f.cluster.Machines() {
		health := &m.Health
		if health.FailuresByJob[j.ID] == 0 {
			continue
		}
		delete(health.FailuresByJob, j.ID)
		if health.QuarantinedForFailures && len(health.FailuresByJob) < quarantineJobs {
			health.QuarantinedUntil, health.QuarantinedForFailures = 0, false
		}
	}
	f.rounds.MarkDue()
}

// addAntiAffinity keeps a job off a machine for antiAffinityPeriod.
func (f *failureHistory) addAntiAffinity(j *cluster.Job, m *cluster.Machine) {
	if j.Failures.AntiAffinity == nil {
		j.Failures.AntiAffinity = map[ids.MachineID]monotonic.Instant{}
	}
	j.Failures.AntiAffinity[m.ID] = f.clock.Now()
	f.rounds.RecheckAt(f.clock.Now().Add(antiAffinityPeriod))
}

// hasAntiAffinity tells whether a job keeps off a machine. It does so for antiAffinityPeriod
// only: there may be no other machine for it.
func (f *failureHistory) hasAntiAffinity(j *cluster.Job, m *cluster.Machine) bool {
	since, failed := j.Failures.AntiAffinity[m.ID]
	return failed && f.clock.Now() < since.Add(antiAffinityPeriod)
}

// probing tells whether a job has failed everywhere for so long that only one task at a
// time is tried, like a half-open circuit breaker. Until its user cancels it, it must not
// hold resources that others need.
func probing(j *cluster.Job) bool {
	return j.Failures.Rounds >= probingAfterRounds && !j.NeedsAllTasks()
}
