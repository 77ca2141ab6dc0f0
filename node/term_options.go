package node

import (
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/scheduler/quota"
)

const (
	roundInterval = 50 * time.Millisecond
	// roundCostPerMachine is what looking at one machine costs a whole core, three times
	// over: rounds take a third of the processor at most.
	roundCostPerMachine = 300 * time.Nanosecond
	// lazyWriteDelay is how long the record of a task that ended may wait. Were its
	// machine lost together with the leader, the task would run again.
	lazyWriteDelay = 3 * time.Second
	// maxDirectCalls bounds the calls to workers under way.
	maxDirectCalls = 64
)

// options are the core's settings for a term.
func (n *Node) options(stamp ids.Revision, predecessor bool) scheduler.Options {
	s, op := &n.cfg.Settings, n.op
	// What an earlier leader may do follows from its version.
	grace, graceWithoutReplicas := op.Grace(), op.Grace()
	if n.upgrade.done() {
		grace, graceWithoutReplicas = n.isolatedReplicasBound(), n.isolatedBound()
	}
	o := scheduler.Options{
		Revision:    stamp,
		Predecessor: predecessor,
		Report:      ids.Seconds(s.Workers.ReportS),
		Lease:       ids.Seconds(s.Workers.LeaseS),
		Cancel:      ids.Seconds(s.Workers.CancelS),
		Grace:       grace,

		GraceWithoutReplicas: graceWithoutReplicas,
		ListLag:              ids.Seconds(s.Cloud.ListLagS),
		TxnOps:               n.limits().Ops,
		ValueBytes:           n.valueBytes(),
		SplitRecords:         n.upgrade.done(),
		SliceTasks:           op.Quota.SliceTasks,
		MaxSkippedJobs:       op.Quota.PassOver,
		ReclaimHold:          ids.Seconds(op.Quota.ReclaimHoldS),
		Idle:                 ids.Seconds(op.Fleet.IdleS),
		SpotIdleFactor:       op.Fleet.SpotIdle,
		HeadroomIdle:         ids.Seconds(op.Fleet.HeadroomIdle),
		Headroom:             op.Fleet.Headroom,
		BootFactor:           op.Fleet.BootFactor,
		CapacityBackoff:      ids.Seconds(op.Fleet.CapacityBack),
		MaxMachines:          op.Fleet.MaxMachines,
		LatencySensitive:     map[string]time.Duration{},
		ReserveAfter:         ids.Seconds(op.Quota.KeepAfterS),
		ReserveFor:           ids.Seconds(op.Quota.KeepForS),
		RoundInterval:        roundInterval,
		RoundCostPerMachine:  time.Duration(float64(roundCostPerMachine) / s.Resources.CPUShare),
		LazyWriteDelay:       lazyWriteDelay,
		WriteRate:            0.7 * s.State.Planned().WriteRPS,
		MaxDirectCalls:       min(maxDirectCalls, max(8, s.Resources.Sockets/16)),
	}
	for _, t := range s.Teams {
		nominal := quota.Amount{CPUs: t.CPUs, GPUs: t.GPUs}
		lend := nominal
		if l, ok := op.Quota.LendingLimits[t.Name]; ok {
			lend.CPUs = min(l, lend.CPUs)
		}
		o.Teams = append(o.Teams, quota.Team{Name: t.Name, Nominal: nominal,
			Limit: limitOf(t), Lend: lend})
	}
	for _, a := range s.Objectives {
		// No machine boots within a few seconds, whatever the catalog says.
		if a.Kind == "wait" && a.WithinS <= 10 {
			o.LatencySensitive[a.Class] = ids.Seconds(a.WithinS)
		}
	}
	return o
}

// limitOf is the most that a team's tasks may use at any time.
func limitOf(t config.Team) quota.Amount {
	if !t.Limited() {
		return quota.Unlimited
	}
	return quota.Amount{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
}
