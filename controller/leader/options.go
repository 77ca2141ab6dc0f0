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
	// roundInterval is the minimum time between two scheduling rounds.
	roundInterval = 50 * time.Millisecond
	// roundCostPerMachine is the delay of the next round for each machine that a round examines.
	// It is three times the time that the examination takes on a full CPU core, so that rounds
	// use at most a third of the CPU time.
	roundCostPerMachine = 300 * time.Nanosecond
	// lazyWriteDelay is how long the record of a task that ended may be delayed. If both the
	// task's machine and the leader fail in that time, the task runs again.
	lazyWriteDelay = 3 * time.Second
	// maxWorkerCalls and minWorkerCalls bound the limit on calls to workers in flight. Between
	// these bounds, the limit is one call for each socketsPerWorkerCall sockets.
	maxWorkerCalls       = 64
	minWorkerCalls       = 8
	socketsPerWorkerCall = 16
	// recordWriteFraction is the fraction of the key-value store's write rate that the leader's
	// records may use. Users' submissions and cancellations need the rest.
	recordWriteFraction = 0.7
)

// transactionLimits returns the limits of one transaction.
func (d *Dependencies) transactionLimits() commit.Limits {
	return settings.TransactionLimits(d.Platform)
}

// schedulerOptions returns the scheduler core's options for a term. It does not set WallClockMS.
func (d *Dependencies) schedulerOptions(revision ids.Revision, previousLeader bool) scheduler.Options {
	options := scheduler.Options{
		Revision:     revision,
		ZoneRecovery: d.Operator.ZoneRecoveryPolicy,
		LeaseOptions: scheduler.LeaseOptions{
			PreviousLeader: previousLeader,
		},
	}
	d.setPreviousLeaderGrace(&options)
	setWorkerOptions(&options, d.Platform)
	d.setRecordOptions(&options)
	setQuotaOptions(&options, d.Platform, d.Operator)
	setFleetOptions(&options, d.Platform, d.Operator)
	return options
}

// setPreviousLeaderGrace sets for how long previous leaders may answer heartbeats. Previous leaders of
// versions without the version gate may do so for the whole outage grace.
func (d *Dependencies) setPreviousLeaderGrace(options *scheduler.Options) {
	options.PreviousLeaderGrace, options.PreviousLeaderGraceWithoutReplicas = d.Operator.Grace(), d.Operator.Grace()
	if d.VersionGate.Open() {
		options.PreviousLeaderGrace = settings.IsolatedReplicaGrace(d.Platform, d.Operator)
		options.PreviousLeaderGraceWithoutReplicas = settings.IsolatedGrace(d.Platform, d.Operator)
	}
}

// setWorkerOptions sets the intervals and deadlines of the protocol with workers, the pace of scheduling
// rounds, and the limit on calls to workers.
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

// setRecordOptions sets the limits on the size and the write rate of records.
func (d *Dependencies) setRecordOptions(options *scheduler.Options) {
	options.MaxTxnOps = d.transactionLimits().Operations
	options.MaxValueBytes = settings.MaxValueBytes(d.Platform)
	options.SplitRecords, options.RecordTerminations = d.VersionGate.Open(), d.VersionGate.Open()
	options.SliceTasks = d.Operator.Quota.SliceTasks
	options.LazyWriteDelay = lazyWriteDelay
	options.WriteRate = recordWriteFraction * d.Platform.Settings.KV.Strictest().WriteRPS
}

// setQuotaOptions sets the teams' quotas and the options of the job queue.
func setQuotaOptions(options *scheduler.Options, platform *config.Platform, operator *config.Operator) {
	for _, team := range platform.Settings.Teams {
		options.Teams = append(options.Teams, quotaOf(team, operator.Quota.LendingLimits))
	}
	options.MaxSkippedJobs = operator.Quota.MaxSkippedJobs
	options.LendingSuspension = monotonic.Seconds(operator.Quota.ReclaimHoldS)
	options.ReserveAfter = monotonic.Seconds(operator.Quota.ReserveAfterS)
	options.ReserveFor = monotonic.Seconds(operator.Quota.ReserveForS)
}

// setFleetOptions sets the options for provisioning and terminating machines.
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

// objectiveKindWait is the kind of service-level objective that limits how long tasks wait to start.
const objectiveKindWait = "wait"

// minBootTimeS is a lower bound of machines' boot times in seconds, independent of the catalog. Tasks
// that must start within this time cannot wait for a machine to boot.
const minBootTimeS = 10

// latencySensitive returns the classes whose tasks must start before a new machine could boot, with
// the time within which they must start.
func latencySensitive(objectives []config.ServiceLevelObjective) map[string]time.Duration {
	classes := map[string]time.Duration{}
	for _, objective := range objectives {
		if objective.Kind == objectiveKindWait && objective.WithinS <= minBootTimeS {
			classes[objective.Class] = monotonic.Seconds(objective.WithinS)
		}
	}
	return classes
}

// quotaOf returns a team's quota. Without a lending limit, other teams may borrow the whole nominal
// quota while it is idle.
func quotaOf(team config.Team, lendingLimits map[ids.Team]float64) quota.Team {
	nominal := quota.Amount{CPUs: team.CPUs, GPUs: team.GPUs}
	lendingLimit := nominal
	if limit, ok := lendingLimits[team.Name]; ok {
		lendingLimit.CPUs = min(limit, lendingLimit.CPUs)
	}
	return quota.Team{Name: team.Name, Nominal: nominal, Limit: settings.TeamLimit(team), LendingLimit: lendingLimit}
}
