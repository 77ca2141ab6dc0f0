package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Options are the settings of one term of leadership, grouped by policy. The scheduler sets no
// defaults: a field must be set unless its comment says what 0 means.
type Options struct {
	// Revision is the revision of the leader's key; all fencing tokens of the term contain it.
	Revision ids.Revision
	// WallClockMS is the time of day in Unix milliseconds when the term begins, to tell how
	// long jobs have waited already; 0: not known.
	WallClockMS int64
	Teams       []quota.Team

	LeaseOptions
	AdmissionOptions
	FleetOptions
	RecordOptions
	CommandOptions

	// ZoneRecovery is the policy for zone outages and recovery; nil: zone recovery is off.
	ZoneRecovery *zonerecovery.Policy
}

// LeaseOptions are the timing of heartbeats and leases, and how long previous leaders may act.
type LeaseOptions struct {
	// HeartbeatInterval is the time between two heartbeats of a machine, AgentLease how long
	// an agent keeps its tasks without an answer, and CancelDeadline the time in which a
	// cancelled job's tasks must have ended.
	HeartbeatInterval, AgentLease, CancelDeadline time.Duration
	// PreviousLeader tells that another leader may have acted before this term.
	PreviousLeader bool
	// PreviousLeaderGrace is how long a previous leader without the key-value store may
	// answer machines after this term began, and PreviousLeaderGraceWithoutReplicas
	// the same for machines on which no replica of a service is recorded.
	PreviousLeaderGrace, PreviousLeaderGraceWithoutReplicas time.Duration
}

// AdmissionOptions are the settings of scheduling rounds.
type AdmissionOptions struct {
	// MaxSkippedJobs is how many jobs that do not fit a pass over the queue may skip.
	MaxSkippedJobs int
	// LatencySensitive names the classes whose tasks must start sooner than a machine
	// boots, with their objectives.
	LatencySensitive map[string]time.Duration
	// LendingSuspension is how long a team's idle quota is not lent after it reclaimed some.
	LendingSuspension time.Duration
	// ReserveAfter is how long a job waits to start until machines are reserved for it;
	// 0: never. ReserveFor is how long a reservation lasts. After twice ReserveAfter a
	// job goes before jobs of its priority that have started.
	ReserveAfter, ReserveFor time.Duration
	// RoundInterval is the least time between two scheduling rounds, and
	// RoundCostPerMachine the time that each machine examined in a round delays the next
	// one. Heartbeats and renewals are handled in between, however many jobs wait.
	RoundInterval, RoundCostPerMachine time.Duration
}

// FleetOptions are the settings of scale out and scale in.
type FleetOptions struct {
	// ListLag is how far the cloud's list of machines may lag behind.
	ListLag time.Duration
	// MaxMachines bounds the machines held; 0: no bound.
	MaxMachines int
	// BootFactor is how many times as long as its type's boot time a machine may take to
	// boot.
	BootFactor float64
	// CapacityBackoff is how long no machine is requested at a site after its first lack of
	// capacity.
	CapacityBackoff time.Duration
	// IdleTimeout is how long a machine may be idle. SpotIdleFactor is how many times as
	// long a spot instance may. HeadroomIdleTimeout is for spare machines of
	// latency-sensitive classes.
	IdleTimeout         time.Duration
	SpotIdleFactor      float64
	HeadroomIdleTimeout time.Duration
	// Headroom is the capacity kept free for latency-sensitive classes, as a fraction of
	// their recent peak of tasks.
	Headroom float64
}

// RecordOptions are the settings of record writing.
type RecordOptions struct {
	// MaxTxnOps bounds the operations of one change, and MaxValueBytes the JSON form of each
	// value in bytes; 0: no bound.
	MaxTxnOps, MaxValueBytes int
	// SplitRecords tells that every controller can read a slice that was split; see
	// EnableSplitRecords.
	SplitRecords bool
	// SliceTasks is how many tasks share one admission record.
	SliceTasks int
	// LazyWriteDelay is how long a record may lag behind tasks that ended. Placements are
	// recorded at once, since tasks start only after that.
	LazyWriteDelay time.Duration
	// WriteRate bounds the operations on records per second; 0: no bound.
	WriteRate float64
}

// CommandOptions are the settings of command dispatch.
type CommandOptions struct {
	// MaxWorkerCalls bounds the calls to machines in flight; 0: no bound.
	MaxWorkerCalls int
}
