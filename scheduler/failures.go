package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/scheduler/cluster"
)

const (
	antiAffinityPeriod = 45 * time.Second
	quarantinePeriod   = 2 * time.Minute
	initialBackoff     = 2 * time.Second
	maxBackoff         = time.Minute
	// failedMachinesLimit is on how many machines a job fails, without one success, until
	// the fault is taken to be its own.
	failedMachinesLimit = 3
	// probingAfterRounds is after how many rounds of that it is tried task by task.
	probingAfterRounds = 2
)

// recordFailure weighs whether the machine or the job is at fault. Failures of
// several jobs on one machine condemn the machine; failures of one job on
// several machines make the job wait, but never give it up.
func (c *Core) recordFailure(a *cluster.Assignment) {
	m, j := a.Machine, a.Job
	c.zones.failed(a)
	c.addAntiAffinity(j, m)
	if j.Failures.Rounds == 0 {
		m.Health.FailuresByJob[j.ID]++
		m.Health.LastFailure = c.clock.Now()
		total := 0
		for _, n := range m.Health.FailuresByJob {
			total += n
		}
		if len(m.Health.FailuresByJob) >= 2 || total >= 2 && len(j.Failures.AntiAffinity) == 1 {
			m.Health.QuarantinedUntil, m.Health.QuarantinedForFailures = c.clock.Now().Add(quarantinePeriod), true
		}
		if j.Failures.Succeeded > 0 || len(j.Failures.AntiAffinity) < failedMachinesLimit {
			return
		}
		c.clearFailureHistory(j)
	}
	clear(j.Failures.AntiAffinity)
	if c.clock.Now() >= j.Queue.RetryAt { // the rest of a round fails with its first
		j.Failures.Rounds++
		j.Failures.Backoff = min(max(2*j.Failures.Backoff, initialBackoff), maxBackoff)
		j.Queue.RetryAt = c.clock.Now().Add(j.Failures.Backoff)
	}
}

// clearFailureHistory takes back the failures that a permanently failing job has added to
// machines' histories. A few jobs that were submitted with a mistake would otherwise
// quarantine one healthy machine after another.
func (c *Core) clearFailureHistory(j *cluster.Job) {
	for _, m := range c.cluster.Machines() {
		if m.Health.FailuresByJob[j.ID] == 0 {
			continue
		}
		delete(m.Health.FailuresByJob, j.ID)
		if m.Health.QuarantinedForFailures && len(m.Health.FailuresByJob) < 2 {
			m.Health.QuarantinedUntil, m.Health.QuarantinedForFailures = 0, false
		}
	}
	c.rounds.MarkDue()
}

// addAntiAffinity keeps a job off a machine for a while.
func (c *Core) addAntiAffinity(j *cluster.Job, m *cluster.Machine) {
	if j.Failures.AntiAffinity == nil {
		j.Failures.AntiAffinity = map[ids.MachineID]monotonic.Instant{}
	}
	j.Failures.AntiAffinity[m.ID] = c.clock.Now()
	c.rounds.RecheckAt(c.clock.Now().Add(antiAffinityPeriod))
}

// hasAntiAffinity tells whether a job keeps off a machine where it failed a while ago.
// This ends after antiAffinityPeriod: there may be no other machine for it.
func (c *Core) hasAntiAffinity(j *cluster.Job, m *cluster.Machine) bool {
	at, failed := j.Failures.AntiAffinity[m.ID]
	return failed && c.clock.Now() < at.Add(antiAffinityPeriod)
}

// probing tells whether a job has failed everywhere for so long that only one task at a
// time is tried, like a half-open circuit breaker: it must not hold room that others need
// until its user cancels it.
func probing(j *cluster.Job) bool {
	return j.Failures.Rounds >= probingAfterRounds && !j.NeedsAllTasks()
}
