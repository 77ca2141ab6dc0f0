package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
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
func (c *Core) recordFailure(a *assignment) {
	m, j := a.machine, a.job
	c.zones.failed(a)
	c.addAntiAffinity(j, m)
	if j.failureRounds == 0 {
		m.failuresByJob[j.id]++
		m.lastFailure = c.now
		total := 0
		for _, n := range m.failuresByJob {
			total += n
		}
		if len(m.failuresByJob) >= 2 || total >= 2 && len(j.antiAffinity) == 1 {
			m.quarantinedUntil, m.quarantinedForFailures = c.now.Add(quarantinePeriod), true
		}
		if j.succeeded > 0 || len(j.antiAffinity) < failedMachinesLimit {
			return
		}
		c.clearFailureHistory(j)
	}
	clear(j.antiAffinity)
	if c.now >= j.retryAt { // the rest of a round fails with its first
		j.failureRounds++
		j.backoff = min(max(2*j.backoff, initialBackoff), maxBackoff)
		j.retryAt = c.now.Add(j.backoff)
	}
}

// clearFailureHistory takes back the failures that a permanently failing job has added to
// machines' histories. A few jobs that were submitted with a mistake would otherwise
// quarantine one healthy machine after another.
func (c *Core) clearFailureHistory(j *job) {
	for _, m := range c.registry.machineList {
		if m.failuresByJob[j.id] == 0 {
			continue
		}
		delete(m.failuresByJob, j.id)
		if m.quarantinedForFailures && len(m.failuresByJob) < 2 {
			m.quarantinedUntil, m.quarantinedForFailures = 0, false
		}
	}
	c.schedulingDue = true
}

// addAntiAffinity keeps a job off a machine for a while.
func (c *Core) addAntiAffinity(j *job, m *machine) {
	if j.antiAffinity == nil {
		j.antiAffinity = map[ids.MachineID]monotonic.Instant{}
	}
	j.antiAffinity[m.host] = c.now
	c.scheduleAt(c.now.Add(antiAffinityPeriod))
}

// hasAntiAffinity tells whether a job keeps off a machine where it failed a while ago.
// This ends after antiAffinityPeriod: there may be no other machine for it.
func (c *Core) hasAntiAffinity(j *job, m *machine) bool {
	at, failed := j.antiAffinity[m.host]
	return failed && c.now < at.Add(antiAffinityPeriod)
}
