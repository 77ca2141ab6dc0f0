package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Options holds the settings of one term of leadership, grouped by purpose. The scheduler applies
// no defaults: every field must be set unless its comment says what 0 means.
type Options struct {
	// Revision is the revision of the leader key. All fencing tokens of the term contain it.
	Revision ids.Revision
	// WallClockMS is the wall-clock time at the start of the term, in Unix milliseconds. The time
	// that jobs have already waited is computed from it. 0 means unknown.
	WallClockMS int64
	// Teams are the teams with their quotas.
	Teams []quota.Team

	LeaseOptions
	AdmissionOptions
	FleetOptions
	RecordOptions
	CommandOptions

	// ZoneRecovery is the policy for zone outages and recovery. nil disables zone recovery.
	ZoneRecovery *zonerecovery.Policy
}

// LeaseOptions holds the timing of heartbeats and leases, and the time for which previous leaders
// may still act.
type LeaseOptions struct {
	// HeartbeatInterval is the time between two heartbeats of a machine. AgentLease is how long
	// an agent keeps running tasks after its last answered heartbeat. CancelDeadline is the time
	// within which the tasks of a cancelled job must have ended.
	HeartbeatInterval, AgentLease, CancelDeadline time.Duration
	// PreviousLeader reports whether another leader may have acted before this term.
	PreviousLeader bool
	// PreviousLeaderGrace is how long after the start of this term a previous leader that has
	// lost the key-value store may still answer machines. PreviousLeaderGraceWithoutReplicas
	// is the same for machines on which no replica of a service is recorded.
	PreviousLeaderGrace, PreviousLeaderGraceWithoutReplicas time.Duration
	// PreviousLeaders holds, for each other controller that has led before this term, how long before the
	// start of this term it had been superseded at least. Both grace periods count from then on. If
	// AllPreviousLeadersKnown is false, other controllers may have led as well, and the grace periods
	// also count from the start of this term.
	PreviousLeaders         map[ids.ControllerName]time.Duration
	AllPreviousLeadersKnown bool
}

// AdmissionOptions holds the settings of scheduling rounds.
type AdmissionOptions struct {
	// MaxSkippedJobs is the maximum number of jobs that one pass over the queue may skip because
	// they do not fit.
	MaxSkippedJobs int
	// LatencySensitive maps each class whose tasks must start faster than a machine boots to
	// its start time objective.
	LatencySensitive map[string]time.Duration
	// LendingSuspension is how long the idle quota of a team is not lent after the team has
	// reclaimed some of it.
	LendingSuspension time.Duration
	// ReserveAfter is how long a job waits to start until machines are reserved for it. 0
	// disables reservations. ReserveFor is how long a reservation lasts. A job that has waited
	// for twice ReserveAfter precedes jobs of its priority that have already started.
	ReserveAfter, ReserveFor time.Duration
	// RoundInterval is the minimum time between two scheduling rounds. RoundCostPerMachine is
	// the delay of the next round for each machine that a round examined. Heartbeats and
	// lease renewals are handled between rounds, regardless of the number of waiting jobs.
	RoundInterval, RoundCostPerMachine time.Duration
}

// FleetOptions holds the settings of scale out and scale in.
type FleetOptions struct {
	// ListLag is the maximum staleness of the cloud's list of machines.
	ListLag time.Duration
	// MaxMachines is the maximum number of machines in the fleet. 0 means no limit.
	MaxMachines int
	// BootFactor is the boot timeout of a machine as a multiple of the boot time of its type.
	BootFactor float64
	// CapacityBackoff is the backoff of a site after the first request for which it lacked
	// capacity. No machine is requested there in the meantime.
	CapacityBackoff time.Duration
	// IdleTimeout is how long a machine may be idle. HeadroomIdleTimeout is the same for
	// machines that are held as headroom for latency-sensitive classes. SpotIdleFactor
	// multiplies both for spot instances.
	IdleTimeout         time.Duration
	SpotIdleFactor      float64
	HeadroomIdleTimeout time.Duration
	// Headroom is the capacity kept free for latency-sensitive classes, as a fraction of
	// their recent peak number of tasks.
	Headroom float64
}

// RecordOptions holds the settings of record writing.
type RecordOptions struct {
	// MaxTxnOps is the maximum number of operations in one change, and MaxValueBytes the maximum
	// size of the JSON form of each value. If MaxValueBytes is 0, there is no limit on the size.
	MaxTxnOps, MaxValueBytes int
	// SplitRecords reports whether every controller can read a slice that is split, and
	// RecordTerminations whether it can read the records of terminations. See EnableSplitRecords.
	SplitRecords, RecordTerminations bool
	// SliceTasks is the number of tasks that share one admission record.
	SliceTasks int
	// LazyWriteDelay is how long the record of a task that ended may be delayed. Placements are
	// recorded immediately because tasks start only after that.
	LazyWriteDelay time.Duration
	// WriteRate is the maximum number of operations on records per second. 0 means no limit.
	WriteRate float64
}

// CommandOptions holds the settings of command dispatch.
type CommandOptions struct {
	// MaxWorkerCalls is the maximum number of calls to agents in flight. 0 means no limit.
	MaxWorkerCalls int
}
