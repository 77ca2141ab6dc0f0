package scheduler

import (
	"time"

	"ospreystile.example/ospreystile/ids"
	"ospreystile.example/ospreystile/scheduler/quota"
	"ospreystile.example/ospreystile/zonerecovery"
)

// Options are the settings of one term of leadership.
type Options struct {
	// Revision is the revision of the leader's key; tokens are made of it.
	Revision ids.Revision
	// PreviousLeader tells that another leader may have acted before.
	PreviousLeader bool
	Teams          []quota.Team
	// Heartbeat and Lease are the workers' settings, Cancel is the time in
	// which a cancelled job's tasks must be gone.
	HeartbeatInterval, AgentLease, CancelDeadline time.Duration
	// PreviousLeaderGrace is how long a predecessor without the state service may have gone on
	// answering workers after this term began, and PreviousLeaderGraceWithoutReplicas the same for
	// machines on which no replica of a service is recorded.
	PreviousLeaderGrace, PreviousLeaderGraceWithoutReplicas time.Duration

	ListLag time.Duration
	// TxnOps bounds the writes of one change, and ValueBytes each value, in
	// its JSON form; 0: no bound.
	TxnOps     int
	ValueBytes int
	// SplitRecords tells that every controller can read a slice that was split; see
	// EnableSplitRecords.
	SplitRecords   bool
	SliceTasks     int
	MaxSkippedJobs int
	// LatencySensitive names the classes whose tasks must start sooner than a
	// machine boots.
	LatencySensitive  map[string]time.Duration
	LendingSuspension time.Duration
	IdleTimeout       time.Duration
	// SpotIdleFactor is how many times as long spot machines may stand idle.
	SpotIdleFactor      float64
	HeadroomIdleTimeout time.Duration
	Headroom            float64
	BootFactor          float64
	CapacityBackoff     time.Duration
	// MaxMachines bounds the machines held; 0: no bound.
	MaxMachines int
	// RoundInterval is the least time between two rounds of admission, and
	// RoundCostPerMachine the time that each machine looked at in a round keeps the next
	// one away. Reports and renewals have their turn in between, however much
	// work waits.
	RoundInterval, RoundCostPerMachine time.Duration
	// LazyWriteDelay is how long a record may lag behind tasks that ended. A
	// placement is recorded at once, since it is sent only then.
	LazyWriteDelay time.Duration
	// WriteRate is how many writes and drops a second the records may take;
	// 0: no bound.
	WriteRate float64
	// MaxWorkerCalls bounds the calls to workers under way; 0: no bound.
	MaxWorkerCalls int
	// ReserveAfter is how long a job waits to start until machines are reserved for it;
	// 0: never. ReserveFor is how long a reservation lasts. After twice ReserveAfter a
	// job starts before others go on.
	ReserveAfter, ReserveFor time.Duration
	// WallClockMS is the time of day when the term begins, to tell how long jobs
	// have waited already; 0: not known.
	WallClockMS int64
	// ZoneRecovery is how zones that fall silent are watched and return; nil: they are not.
	ZoneRecovery *zonerecovery.Policy
}
