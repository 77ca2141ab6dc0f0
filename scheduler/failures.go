package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

const (
	// antiAffinityPeriod is how long a job avoids a machine where one of its tasks failed.
	antiAffinityPeriod = 45 * time.Second
	// quarantinePeriod is how long no tasks are placed on a machine that is taken to be at fault.
	quarantinePeriod = 2 * time.Minute
	// A machine is quarantined once tasks of quarantineJobs different jobs have failed on it. It
	// is also quarantined after quarantineFailures failures if the job that failed last has
	// failed on no other machine.
	quarantineJobs     = 2
	quarantineFailures = 2
	// initialBackoff is how long a job that fails on all machines waits after its first round of
	// failures. The backoff doubles with each further round, up to maxBackoff.
	initialBackoff = 2 * time.Second
	maxBackoff     = time.Minute
	// failedMachinesLimit is the number of machines on which a job must fail, without any
	// successful task, before the job rather than the machines is taken to be at fault.
	failedMachinesLimit = 3
	// probingAfterRounds is the number of rounds of failures on all machines after which only
	// one task of a job is tried at a time.
	probingAfterRounds = 2
)

// failureHistory records the failures of jobs and machines and determines which of the two is at
// fault. Heartbeats and the task lifecycle report how tasks ended. Placement queries a job's
// anti-affinity. failureHistory quarantines machines and delays jobs, but it terminates no machine
// and ends no job.
type failureHistory struct {
	cluster *cluster.State
	clock   *clock.Clock
	rounds  *clock.RoundTrigger
	zones   taskFailureObserver
}

// taskFailureObserver is notified when a task fails.
type taskFailureObserver interface{ taskFailed(a *cluster.Assignment) }

// recordFailure records a failed task and determines whether the machine or the job is at fault.
// Failures of several jobs on one machine quarantine the machine. Failures of one job on several
// machines delay the job, but it is retried indefinitely.
func (f *failureHistory) recordFailure(a *cluster.Assignment) {
	m, j := a.Machine, a.Job
	f.zones.taskFailed(a)
	if m.Health.Probe == a {
		f.probeFailed(m, j)
	}
	f.addAntiAffinity(j, m)
	if j.Failures.FailedRounds == 0 {
		f.countAgainstMachine(m, j)
		if j.Failures.Succeeded > 0 || len(j.Failures.AntiAffinity) < failedMachinesLimit {
			return
		}
		f.clearFailureHistory(j)
	}
	clear(j.Failures.AntiAffinity)
	f.backOff(j)
}

// recordSuccess clears the machine's failures after a task that succeeded. Unless the job has ended,
// it also counts the success and resets the job's failure rounds and backoff. The count of a job's
// successes is never reset.
func (f *failureHistory) recordSuccess(a *cluster.Assignment) {
	health := &a.Machine.Health
	clear(health.FailuresByJob)
	if health.Probe == a && health.QuarantinedForFailures {
		health.EndQuarantine()
		f.rounds.MarkDue()
	}
	j := a.Job
	if j.Terminal() {
		return
	}
	j.Failures.Succeeded++
	j.Failures.FailedRounds, j.Failures.Backoff = 0, 0
}

// countAgainstMachine counts a failure of a job's task against its machine and quarantines the
// machine if it is likely to be at fault.
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

// probeFailed delays the next probe of the machine and that of the job, for longer with each failure.
func (f *failureHistory) probeFailed(m *cluster.Machine, j *cluster.Job) {
	now := f.clock.Now()
	interval := minProbeInterval
	for range m.Health.FailedProbes {
		interval = min(2*interval, maxProbeInterval)
	}
	m.Health.Probe, m.Health.ProbeAt = nil, now.Add(interval)
	m.Health.FailedProbes++
	j.Failures.ProbeBackoff = min(max(2*j.Failures.ProbeBackoff, minJobProbeInterval), maxJobProbeInterval)
	j.Failures.ProbeAt = now.Add(j.Failures.ProbeBackoff)
}

// jobCancelled ends the quarantine of machines on which only the tasks of a job failed that was cancelled before
// any of them succeeded: the job may have been at fault. Its failures still count, beside those of other jobs.
func (f *failureHistory) jobCancelled(j *cluster.Job) {
	if len(j.Failures.AntiAffinity) == 0 || j.Failures.Succeeded > 0 {
		return
	}
	for _, m := range f.cluster.Machines() {
		health := &m.Health
		if health.QuarantinedForFailures && health.FailuresByJob[j.ID] > 0 && len(health.FailuresByJob) == 1 {
			health.EndQuarantine()
			f.rounds.MarkDue()
		}
	}
}

// backOff delays a job that fails on all machines. Only the first failure of a round counts,
// because the other tasks of the round fail for the same reason.
func (f *failureHistory) backOff(j *cluster.Job) {
	if f.clock.Now() < j.Queue.RetryAt {
		return
	}
	j.Failures.FailedRounds++
	j.Failures.Backoff = min(max(2*j.Failures.Backoff, initialBackoff), maxBackoff)
	j.Queue.RetryAt = f.clock.Now().Add(j.Failures.Backoff)
}

// clearFailureHistory removes the failures of a job that fails on all machines from the histories
// of the machines. Otherwise a few faulty jobs would quarantine one healthy machine after another.
func (f *failureHistory) clearFailureHistory(j *cluster.Job) {
	for _, m := range f.cluster.Machines() {
		health := &m.Health
		if health.FailuresByJob[j.ID] == 0 {
			continue
		}
		delete(health.FailuresByJob, j.ID)
		if health.QuarantinedForFailures && len(health.FailuresByJob) < quarantineJobs {
			health.EndQuarantine()
		}
	}
	f.rounds.MarkDue()
}

// addAntiAffinity makes a job avoid a machine for antiAffinityPeriod.
func (f *failureHistory) addAntiAffinity(j *cluster.Job, m *cluster.Machine) {
	if j.Failures.AntiAffinity == nil {
		j.Failures.AntiAffinity = map[ids.MachineID]monotonic.Instant{}
	}
	j.Failures.AntiAffinity[m.ID] = f.clock.Now()
	f.rounds.RecheckAt(f.clock.Now().Add(antiAffinityPeriod))
}

// hasAntiAffinity reports whether a job avoids a machine. The anti-affinity ends after
// antiAffinityPeriod, because there may be no other machine for the job.
func (f *failureHistory) hasAntiAffinity(j *cluster.Job, m *cluster.Machine) bool {
	since, failed := j.Failures.AntiAffinity[m.ID]
	return failed && f.clock.Now() < since.Add(antiAffinityPeriod)
}

// probing reports whether a job has failed on all machines for so many rounds that only one task
// is tried at a time, like a half-open circuit breaker. Until its user cancels it, such a job must
// not hold resources that others need.
func probing(j *cluster.Job) bool {
	return j.Failures.FailedRounds >= probingAfterRounds && !j.NeedsAllTasks()
}
