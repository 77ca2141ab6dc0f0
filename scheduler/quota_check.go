package scheduler

import (
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// quotaSource is the quota to which a job's tasks may be charged.
type quotaSource uint8

const (
	nominalQuota  quotaSource = iota // only the team's nominal quota
	borrowedQuota                    // also quota that the cohort lends
)

// quotaCheck checks which tasks fit the teams' quotas. It does not charge quota: the cluster state
// does so when a task is placed.
type quotaCheck struct {
	cluster *cluster.State
	clock   *clock.Clock
	quotas  *quota.Tracker
	health  machineUsability
}

// machineUsability reports which machines may run tasks and which may be given new ones.
type machineUsability interface {
	// usable reports whether tasks may run on a machine.
	usable(m *cluster.Machine) bool
	// takesTasks reports whether new tasks may be placed on a machine, which requires that it is
	// usable and not quarantined.
	takesTasks(m *cluster.Machine) bool
	// mayBeProbed reports whether the machine is quarantined, but usable otherwise, and may get a task that
	// finds out whether it works.
	mayBeProbed(m *cluster.Machine) bool
}

// updateSurplus sets the cohort quota to the resources of the usable machines beyond the sum of the
// nominal quotas. Otherwise no team could use these resources.
func (c *quotaCheck) updateSurplus() {
	var capacity quota.Amount
	for _, m := range c.cluster.Machines() {
		if c.health.usable(m) {
			capacity = capacity.Plus(quota.Amount{CPUs: m.Total().CPUs, GPUs: m.Total().GPUs})
		}
	}
	c.quotas.SetCohortQuota(capacity.Minus(c.quotas.Nominal()))
}

// fits reports whether n more tasks of a job fit its team's quota.
func (c *quotaCheck) fits(j *cluster.Job, source quotaSource, n int) bool {
	amount := j.Amount().Times(n)
	if source == nominalQuota {
		return c.quotas.FitsNominal(j.Spec.Team, amount)
	}
	return c.quotas.FitsBorrowing(j.Spec.Team, amount, c.clock.Now())
}
