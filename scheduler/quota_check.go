package scheduler

import (
	"ospreystile.example/ospreystile/scheduler/clock"
	"ospreystile.example/ospreystile/scheduler/cluster"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// quotaSource is what a job's tasks may be charged to.
type quotaSource uint8

const (
	nominalQuota  quotaSource = iota // the team's nominal quota alone
	borrowedQuota                    // also what the cohort lends
)

// quotaCheck tells which tasks fit the teams' quotas. It charges nothing: the cluster state
// does when a task is placed.
type quotaCheck struct {
	cluster *cluster.State
	clock   *clock.Clock
	quotas  *quota.Tracker
	health  machineUsability
}

// machineUsability tells which machines new tasks may go to.
type machineUsability interface {
	// usable tells whether tasks may run on a machine, and takesTasks whether new ones may
	// be placed there: it is usable and not quarantined.
	usable(m *cluster.Machine) bool
	takesTasks(m *cluster.Machine) bool
}

// updateSurplus sets the cohort quota to what the usable machines offer beyond the sum of the
// nominal quotas. Otherwise no team could use that.
func (c *quotaCheck) updateSurplus() {
	var have quota.Amount
	for _, m := range c.cluster.Machines() {
		if c.health.usable(m) {
			have = have.Plus(quota.Amount{CPUs: m.Total().CPUs, GPUs: m.Total().GPUs})
		}
	}
	c.quotas.SetCohortQuota(have.Minus(c.quotas.Nominal()))
}

// fits tells whether n more tasks of a job fit its team's quota.
func (c *quotaCheck) fits(j *cluster.Job, source quotaSource, n int) bool {
	amount := j.Amount().Times(n)
	if source == nominalQuota {
		return c.quotas.FitsNominal(j.Spec.Team, amount)
	}
	return c.quotas.FitsBorrowing(j.Spec.Team, amount, c.clock.Now())
}

// mustBorrow tells whether a job's waiting tasks fit quota, but not the nominal quota.
func (c *quotaCheck) mustBorrow(j *cluster.Job) bool {
	n := j.TasksTogether()
	return len(j.Pending()) > 0 && !c.fits(j, nominalQuota, n) && c.fits(j, borrowedQuota, n)
}
