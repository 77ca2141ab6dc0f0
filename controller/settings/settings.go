// Package settings derives bounds that several parts of a controller share from the platform's
// and the operators' settings. It holds no state.
package settings

import (
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// acknowledgeHold is for how long after its term began a leader may have to refuse to
// acknowledge cancellations, because an earlier leader may still keep tasks of the job. It is
// half of the 90 s after which a job counts as forgotten about which no question is answered.
const acknowledgeHold = 45 * time.Second

const (
	// maxTransactionBytes bounds the encoded size of one transaction.
	maxTransactionBytes = 48 << 10
	// valueShare and valueReserveBytes leave a margin below the largest value that the
	// key-value store takes, for how the store counts its size.
	valueShare        = 0.95
	valueReserveBytes = 32
)

// IsolatedGrace is for how long a leader that cannot rule out a later one may answer
// heartbeats of workers without replicas. Users may be told at any time that a job is
// cancelled, and the lease that is renewed last must end within the cancel deadline of that.
func IsolatedGrace(platform *config.Platform, operator *config.Operator) time.Duration {
	workers := &platform.Settings.Workers
	margin := scheduler.CancelMargin(monotonic.Seconds(workers.CancelDeadlineS), monotonic.Seconds(workers.LeaseS))
	return min(operator.Grace(), margin)
}

// IsolatedReplicaGrace is the same for workers with replicas. It is longer, so that a zone
// that is cut off together with its leader keeps its services for the grace and a lease. The
// later leader counts on this bound: until no more than scheduler.CancelMargin of it is left, no user
// is told that a job is cancelled whose tasks the earlier leader may keep. The result is 0
// where the cancel deadline leaves no room for it.
func IsolatedReplicaGrace(platform *config.Platform, operator *config.Operator) time.Duration {
	isolated := IsolatedGrace(platform, operator)
	if isolated == 0 {
		return 0
	}
	return min(operator.Grace(), isolated+acknowledgeHold)
}

// TransactionLimits are the bounds of one transaction of the key-value store.
func TransactionLimits(platform *config.Platform) commit.Limits {
	store := platform.Settings.KV.Planned()
	// A transaction with more writes than the rate allows in one second never passes it.
	return commit.Limits{Operations: max(1, min(store.TxnOps, int(store.WriteRPS))), Bytes: maxTransactionBytes}
}

// MaxValueBytes is how large a value in the key-value store may be, in its JSON form.
func MaxValueBytes(platform *config.Platform) int {
	return int(platform.Settings.KV.Planned().ValueKB*1024*valueShare) - valueReserveBytes
}

// TeamLimit is the most that a team's tasks may use at any time.
func TeamLimit(team config.Team) quota.Amount {
	if !team.Limited() {
		return quota.Unlimited
	}
	return quota.Amount{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
}
