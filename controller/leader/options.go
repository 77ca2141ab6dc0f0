package leader

import (
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/controller/settings"
	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/scheduler/quota"
)

const (
	// roundInterval is the least time between two scheduling rounds.
	roundInterval = 50 * time.Millisecond
	// roundCostPerMachine is three times the time that a round takes for each machine on a
	// whole core, so that rounds take at most a third of the processor.
	roundCostPerMachine = 300 * time.Nanosecond
	// lazyWriteDelay is how long the record of a task that ended may be delayed. The task runs
	// again if both its machine and the leader are lost in that time.
	lazyWriteDelay = 3 * time.Second
	// maxWorkerCalls and minWorkerCalls bound the calls to workers in flight. Between these
	// bounds, one call is allowed for each socketsPerWorkerCall sockets.
	maxWorkerCalls       = 64
	minWorkerCalls       = 8
	socketsPerWorkerCall = 16
	// recordWriteShare is the part of the key-value store's write rate for the leader's
	// records. Users' submissions and cancellations need the rest.
	recordWriteShare = 0.7
)

// transactionLimits returns the bounds of one transaction.
func (d *Dependencies) transactionLimits() commit.Limits {
	return settings.TransactionLimits(d.Platform)
}

// schedulerOptions returns the scheduler core's options for a term, without the time of day.
func (d *Dependencies) schedulerOptions(revision ids.Revision, previousLeader bool) scheduler.Options {
	options := scheduler.Options{
		Revision:     revision,
		ZoneRecovery: d.Operator.ZoneRecoveryPolicy,
		LeaseOptions: scheduler.LeaseOptions{
			PreviousLeader: previousLeader,
		},
	}
	d.setGrace(&options)
	setWorkerOptions(&options, d.Platform)
	d.setRecordOptions(&options)
	setQuotaOptions(&options, d.Platform, d.Operator)
	setFleetOptions(&options, d.Platform, d.Operator)
	return options
}

// setGrace sets for how long earlier leaders may answer heartbeats. Leaders of versions without the
// version gate may do so for the whole outage grace.
func (d *Dependencies) setGrace(options *scheduler.Options) {
	options.PreviousLeaderGrace, options.PreviousLeaderGraceWithoutReplicas = d.Operator.Grace(), d.Operator.Grace()
	if d.VersionGate.Open() {
		options.PreviousLeaderGrace = settings.IsolatedReplicaGrace(d.Platform, d.Operator)
		options.PreviousLeaderGraceWithoutReplicas = settings.IsolatedGrace(d.Platform, d.Operator)
	}
}

// setWorkerOptions sets the times of the protocol with workers, and the bounds of calls to them.
func setWorkerOptions(options *scheduler.Options, platform *config.Platform) {
	s := &platform.Settings
	options.HeartbeatInterval = monotonic.Seconds(s.Workers.HeartbeatIntervalS)
	options.AgentLease = monotonic.Seconds(s.Workers.LeaseS)
	options.CancelDeadline = monotonic.Seconds(s.Workers.CancelDeadlineS)
	options.LatencySensitive = latencySensitive(s.Objectives)
	options.RoundInterval = roundInterval
	options.RoundCostPerMachine = time.Duration(float64(roundCostPerMachine) / s.Resources.CPUShare)
	options.MaxWorkerCalls = min(maxWorkerCalls, max(minWorkerCalls, s.Resources.Sockets/socketsPerWorkerCall))
}

// setRecordOptions sets the bounds of records.
func (d *Dependencies) setRecordOptions(options *scheduler.Options) {
	options.MaxTxnOps = d.transactionLimits().Operations
	options.MaxValueBytes = settings.MaxValueBytes(d.Platform)
	options.SplitRecords = d.VersionGate.Open()
	options.SliceTasks = d.Operator.Quota.SliceTasks
	options.LazyWriteDelay = lazyWriteDelay
	options.WriteRate = recordWriteShare * d.Platform.Settings.KV.Planned().WriteRPS
}

// setQuotaOptions sets the teams' quotas and the rules of queueing.
func setQuotaOptions(options *scheduler.Options, platform *config.Platform, operator *config.Operator) {
	for _, team := range platform.Settings.Teams {
		options.Teams = append(options.Teams, quotaOf(team, operator.Quota.LendingLimits))
	}
	options.MaxSkippedJobs = operator.Quota.MaxSkippedJobs
	options.LendingSuspension = monotonic.Seconds(operator.Quota.ReclaimHoldS)
	options.ReserveAfter = monotonic.Seconds(operator.Quota.ReserveAfterS)
	options.ReserveFor = monotonic.Seconds(operator.Quota.ReserveForS)
}

// setFleetOptions sets the rules by which machines are provisioned and terminated.
func setFleetOptions(options *scheduler.Options, platform *config.Platform, operator *config.Operator) {
	fleet := &operator.Fleet
	options.ListLag = monotonic.Seconds(platform.Settings.Cloud.ListLagS)
	options.IdleTimeout = monotonic.Seconds(fleet.IdleTimeoutS)
	options.SpotIdleFactor = fleet.SpotIdleFactor
	options.HeadroomIdleTimeout = monotonic.Seconds(fleet.HeadroomIdleTimeoutS)
	options.Headroom = fleet.Headroom
	options.BootFactor = fleet.BootFactor
	options.CapacityBackoff = monotonic.Seconds(fleet.CapacityBackoffS)
	options.MaxMachines = fleet.MaxMachines
}

// objectiveWait is the kind of service-level objective that bounds how long tasks wait to start.
const objectiveWait = "wait"

// fastestBootS is a lower bound of machines' boot times in seconds, independent of the catalog.
// Tasks that must start sooner cannot wait for a machine to boot.
const fastestBootS = 10

// latencySensitive returns the classes whose tasks must start sooner than a machine boots, and
// within which time.
func latencySensitive(objectives []config.ServiceLevelObjective) map[string]time.Duration {
	classes := map[string]time.Duration{}
	for _, objective := range objectives {
		if objective.Kind == objectiveWait && objective.WithinS <= fastestBootS {
			classes[objective.Class] = monotonic.Seconds(objective.WithinS)
		}
	}
	return classes
}

// quotaOf returns a team's quota. Without a lending limit the whole nominal quota is lent while idle.
func quotaOf(team config.Team, lendingLimits map[ids.Team]float64) quota.Team {
	nominal := quota.Amount{CPUs: team.CPUs, GPUs: team.GPUs}
	lend := nominal
	if limit, ok := lendingLimits[team.Name]; ok {
		lend.CPUs = min(limit, lend.CPUs)
	}
	return quota.Team{Name: team.Name, Nominal: nominal, Limit: settings.TeamLimit(team), LendingLimit: lend}
}
