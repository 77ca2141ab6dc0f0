// Package settings derives bounds from the platform's and the operators' settings for several parts
// of a controller. It holds no state.
package settings

import (
	"time"

	"ospreystile.example/ospreystile/config"
	"ospreystile.example/ospreystile/monotonic"
	"ospreystile.example/ospreystile/records/commit"
	"ospreystile.example/ospreystile/scheduler"
	"ospreystile.example/ospreystile/scheduler/quota"
)

// acknowledgeHold bounds for how long after the start of its term a leader may have to refuse to
// acknowledge cancellations, because an earlier leader may still keep tasks of the job. It is half
// of the 90 s after which a job whose status queries all fail counts as lost.
const acknowledgeHold = 45 * time.Second

const (
	// maxTransactionBytes bounds the encoded size of one transaction.
	maxTransactionBytes = 48 << 10
	// valueShare and valueReserveBytes leave a margin below the largest value that the
	// key-value store accepts, because the store's count of its size may differ.
	valueShare        = 0.95
	valueReserveBytes = 32
)

// IsolatedGrace returns for how long a leader that cannot rule out a later one may answer
// heartbeats of workers without replicas. A later leader may report a job as cancelled at any time,
// and the last lease of its tasks must expire within the cancel deadline after that.
func IsolatedGrace(platform *config.Platform, operator *config.Operator) time.Duration {
	workers := &platform.Settings.Workers
	margin := scheduler.CancelMargin(monotonic.Seconds(workers.CancelDeadlineS), monotonic.Seconds(workers.LeaseS))
	return min(operator.Grace(), margin)
}

// IsolatedReplicaGrace returns the same for workers with replicas. It is longer, so that a zone that
// is partitioned together with its leader keeps its services for the grace and a lease. The later
// leader relies on this bound: until at most scheduler.CancelMargin of it remains, no job is reported
// as cancelled whose tasks the earlier leader may keep. The result is 0 if the cancel deadline is too
// short for any grace.
func IsolatedReplicaGrace(platform *config.Platform, operator *config.Operator) time.Duration {
	isolated := IsolatedGrace(platform, operator)
	if isolated == 0 {
		return 0
	}
	return min(operator.Grace(), isolated+acknowledgeHold)
}

// TransactionLimits returns the bounds of one transaction of the key-value store.
func TransactionLimits(platform *config.Platform) commit.Limits {
	store := platform.Settings.KV.Strictest()
	// A transaction with more writes than the rate allows in one second never passes it.
	return commit.Limits{Operations: max(1, min(store.TxnOps, int(store.WriteRPS))), Bytes: maxTransactionBytes}
}

// MaxValueBytes returns how large a value in the key-value store may be, in its JSON form.
func MaxValueBytes(platform *config.Platform) int {
	return int(platform.Settings.KV.Strictest().ValueKB*1024*valueShare) - valueReserveBytes
}

// TeamLimit returns the most that a team's tasks may use at any time.
func TeamLimit(team config.Team) quota.Amount {
	if !team.Limited() {
		return quota.Unlimited
	}
	return quota.Amount{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
}
