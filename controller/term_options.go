package controller

import (
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
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
	// maxDirectCalls and minDirectCalls bound the calls to workers under way; in
	// between it is one for so many sockets.
	maxDirectCalls       = 64
	minDirectCalls       = 8
	socketsPerDirectCall = 16
	// recordWriteShare is the part of the state service's write rate that the leader's
	// records may take; users' submissions and cancellations need the rest.
	recordWriteShare = 0.7
)

// options are the core's settings for a term.
func (n *Controller) options(revision ids.Revision, predecessor bool) scheduler.Options {
	s, op := &n.cfg.Settings, n.op
	// What an earlier leader may do follows from its version.
	grace, graceWithoutReplicas := op.Grace(), op.Grace()
	if n.upgrade.done() {
		grace, graceWithoutReplicas = n.isolatedReplicasBound(), n.isolatedBound()
	}
	o := scheduler.Options{
		Revision:     revision,
		ZoneRecovery: op.ZoneRecoveryPolicy,
		LeaseOptions: scheduler.LeaseOptions{
			PreviousLeader:                     predecessor,
			HeartbeatInterval:                  monotonic.Seconds(s.Workers.HeartbeatIntervalS),
			AgentLease:                         monotonic.Seconds(s.Workers.LeaseS),
			CancelDeadline:                     monotonic.Seconds(s.Workers.CancelDeadlineS),
			PreviousLeaderGrace:                grace,
			PreviousLeaderGraceWithoutReplicas: graceWithoutReplicas,
		},
		FleetOptions: scheduler.FleetOptions{
			ListLag:             monotonic.Seconds(s.Cloud.ListLagS),
			IdleTimeout:         monotonic.Seconds(op.Fleet.IdleTimeoutS),
			SpotIdleFactor:      op.Fleet.SpotIdleFactor,
			HeadroomIdleTimeout: monotonic.Seconds(op.Fleet.HeadroomIdleTimeoutS),
			Headroom:            op.Fleet.Headroom,
			BootFactor:          op.Fleet.BootFactor,
			CapacityBackoff:     monotonic.Seconds(op.Fleet.CapacityBackoffS),
			MaxMachines:         op.Fleet.MaxMachines,
		},
		RecordOptions: scheduler.RecordOptions{
			TxnOps:         n.limits().Operations,
			ValueBytes:     n.valueBytes(),
			SplitRecords:   n.upgrade.done(),
			SliceTasks:     op.Quota.SliceTasks,
			LazyWriteDelay: lazyWriteDelay,
			WriteRate:      recordWriteShare * s.State.Planned().WriteRPS,
		},
		AdmissionOptions: scheduler.AdmissionOptions{
			MaxSkippedJobs:      op.Quota.MaxSkippedJobs,
			LendingSuspension:   monotonic.Seconds(op.Quota.ReclaimHoldS),
			LatencySensitive:    latencySensitive(s.Objectives),
			ReserveAfter:        monotonic.Seconds(op.Quota.ReserveAfterS),
			ReserveFor:          monotonic.Seconds(op.Quota.ReserveForS),
			RoundInterval:       roundInterval,
			RoundCostPerMachine: time.Duration(float64(roundCostPerMachine) / s.Resources.CPUShare),
		},
		CommandOptions: scheduler.CommandOptions{
			MaxWorkerCalls: min(maxDirectCalls, max(minDirectCalls, s.Resources.Sockets/socketsPerDirectCall)),
		},
	}
	for _, team := range s.Teams {
		o.Teams = append(o.Teams, quotaOf(team, op.Quota.LendingLimits))
	}
	return o
}

// objectiveWait is the kind of objective that bounds how long tasks wait to start.
const objectiveWait = "wait"

// fastestBootS is below any machine's boot time, whatever the catalog says: what must
// start sooner cannot wait for a machine to boot.
const fastestBootS = 10

// latencySensitive finds the classes whose tasks must start sooner than a machine boots.
func latencySensitive(objectives []config.Objective) map[string]time.Duration {
	classes := map[string]time.Duration{}
	for _, objective := range objectives {
		if objective.Kind == objectiveWait && objective.WithinS <= fastestBootS {
			classes[objective.Class] = monotonic.Seconds(objective.WithinS)
		}
	}
	return classes
}

// quotaOf is a team's quota. Without a lending limit all that is idle is lent.
func quotaOf(team config.Team, lendingLimits map[ids.Team]float64) quota.Team {
	nominal := quota.Amount{CPUs: team.CPUs, GPUs: team.GPUs}
	lend := nominal
	if limit, ok := lendingLimits[team.Name]; ok {
		lend.CPUs = min(limit, lend.CPUs)
	}
	return quota.Team{Name: team.Name, Nominal: nominal, Limit: limitOf(team), LendingLimit: lend}
}

// limitOf is the most that a team's tasks may use at any time.
func limitOf(t config.Team) quota.Amount {
	if !t.Limited() {
		return quota.Unlimited
	}
	return quota.Amount{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
}
